// Package membership decides with which members the control group runs: which voters are a
// quorum, and which change of the members its leader makes next. It does no I/O and reads
// no clock.
package membership

import "slices"

// minHalvedVoters is the least number of voters of which half may be a quorum. Half of two
// would be a single voter.
const minHalvedVoters = 4

// Voters is the set of the replica IDs of a member list's voters.
type Voters map[string]bool

// canBeHalved reports whether half of the voters are a quorum once one of them is lost.
func (v Voters) canBeHalved() bool { return len(v)%2 == 0 && len(v) >= minHalvedVoters }

// Quorum is the rule by which the members of the control group decide.
//
// A quorum is a majority of the voters. If their number is even and at least one of them
// has lost its disk, half of them are enough, without those that have lost theirs. Such a
// half has a voter in common with each majority. Two halves without a common voter can't
// both decide: each would contain a voter that the other one knew to be lost before it
// asked, so each of these two voters would have answered after the other one was lost.
// This holds if all answers that are counted were given after Lost was known.
//
// While a change of one voter is not known to be committed, the voters before it must agree
// too where halves are possible: a majority after the change need not have a voter in common
// with half of those before it, nor half of those after it with a majority before it.
type Quorum struct {
	Voters Voters
	Before Voters          // before a change that is not known to be committed; nil if there is none
	Lost   map[string]bool // IDs of replicas whose disks were lost; they never answer again
}

// Value returns the highest value that a quorum has reached, where of returns the value of
// a voter. It is 0 if there are no voters.
func (q Quorum) Value(of func(id string) uint64) uint64 {
	value, halved := q.valueIn(q.Voters, of)
	if len(q.Before) > 0 && (halved || q.Before.canBeHalved()) {
		before, _ := q.valueIn(q.Before, of)
		value = min(value, before)
	}
	return value
}

// Agrees reports whether the voters for which has returns true are a quorum.
func (q Quorum) Agrees(has func(id string) bool) bool {
	return q.Value(indicator(has)) == 1
}

// Refuses reports whether the voters for which has returns true are so many that the others
// can't be a quorum.
func (q Quorum) Refuses(has func(id string) bool) bool {
	return !q.Agrees(func(id string) bool { return !has(id) })
}

// Contains reports whether a replica is a voter, before or after the change.
func (q Quorum) Contains(id string) bool { return q.Voters[id] || q.Before[id] }

func indicator(has func(id string) bool) func(id string) uint64 {
	return func(id string) uint64 {
		if has(id) {
			return 1
		}
		return 0
	}
}

// valueIn returns the highest value that a quorum of some voters has reached, and whether
// half of them are enough.
func (q Quorum) valueIn(voters Voters, of func(id string) uint64) (value uint64, halved bool) {
	values := make([]uint64, 0, len(voters))
	for id := range voters {
		if !q.Lost[id] {
			values = append(values, of(id))
		}
	}
	needed := len(voters)/2 + 1
	if voters.canBeHalved() && len(values) < len(voters) {
		needed, halved = len(voters)/2, true
	}
	if len(voters) == 0 || needed > len(values) {
		return 0, halved
	}
	slices.Sort(values)
	return values[len(values)-needed], halved
}
