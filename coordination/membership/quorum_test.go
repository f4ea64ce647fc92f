package membership

import (
	"math/bits"
	"slices"
	"testing"
)

// names are the IDs of the replicas of the tests; a subset of them is a bit set.
var names = []string{"a", "b", "c", "d", "e", "f"}

func setOf(subset uint) Voters {
	voters := make(Voters)
	for i, name := range names {
		if subset>>i&1 == 1 {
			voters[name] = true
		}
	}
	return voters
}

// agrees reports whether a subset of the replicas decides.
func agrees(q Quorum, subset uint) bool {
	return q.Agrees(func(id string) bool { return subset>>slices.Index(names, id)&1 == 1 })
}

// rule is a Quorum with its sets as bit sets.
type rule struct{ voters, before, lost uint }

func (r rule) quorum() Quorum {
	return Quorum{Voters: setOf(r.voters), Before: setOf(r.before), Lost: setOf(r.lost)}
}

// deciding returns the sets of replicas that decide by a rule.
func (r rule) deciding() (sets []uint) {
	q := r.quorum()
	for subset := range uint(1) << len(names) {
		if subset&^(r.voters|r.before) == 0 && subset&r.lost == 0 && agrees(q, subset) {
			sets = append(sets, subset)
		}
	}
	return sets
}

// rulesOfAChange returns the rules by which replicas may decide at the same time while a
// group's voters change: by those before, by those after while the change is not known to be
// committed, and by those after; each for all sets of lost replicas.
func rulesOfAChange(before, after uint) (rules []rule) {
	for _, voters := range []rule{{voters: before}, {voters: after, before: before}} {
		all := voters.voters | voters.before
		for lost := range uint(1) << len(names) {
			if lost&^all == 0 {
				rules = append(rules, rule{voters.voters, voters.before, lost})
			}
		}
	}
	return rules
}

// Guards against two leaders, or a leader without a committed entry: any two sets that
// decide must have a replica in common. Two sets without one are possible only if each of
// them contains a replica that the other one knew to be lost, which can't be: both would
// have answered after the other one was lost.
func TestSetsThatDecideDuringAChangeIntersect(t *testing.T) {
	pairs, halves := 0, 0
	for size := 1; size < len(names); size++ {
		smaller, larger := uint(1)<<size-1, uint(1)<<(size+1)-1
		for _, change := range [][2]uint{{smaller, larger}, {larger, smaller}} {
			rules := rulesOfAChange(change[0], change[1])
			for i, first := range rules {
				for _, second := range rules[i:] {
					checkIntersection(t, first, second, &pairs, &halves)
				}
			}
		}
	}
	t.Logf("%d pairs, %d without a common replica that can't both have answered", pairs, halves)
	if halves == 0 {
		t.Error("no set of half of the voters decided")
	}
}

func checkIntersection(t *testing.T, first, second rule, pairs, halves *int) {
	t.Helper()
	for _, a := range first.deciding() {
		for _, b := range second.deciding() {
			*pairs++
			switch {
			case a&b != 0:
			case a&second.lost != 0 && b&first.lost != 0:
				*halves++
			default:
				t.Fatalf("%+v by %b and %+v by %b have no replica in common", first, a, second, b)
			}
		}
	}
}

func TestHalfOfTheVotersDecidesOnlyWithoutALostOne(t *testing.T) {
	for _, c := range []struct {
		name         string
		voters, lost uint
		subset       uint
		want         bool
	}{
		{"two of four", 0b1111, 0, 0b0011, false},
		{"two of four beside a lost one", 0b1111, 0b1000, 0b0011, true},
		{"one of four beside lost ones", 0b1111, 0b1110, 0b0001, false},
		{"two of four, one of them lost", 0b1111, 0b0010, 0b0011, false},
		{"two of five beside lost ones", 0b11111, 0b11000, 0b00011, false},
		{"three of six beside lost ones", 0b111111, 0b110000, 0b000111, true},
		{"one of two beside a lost one", 0b11, 0b10, 0b01, false},
		{"two of three beside a lost one", 0b111, 0b100, 0b011, true},
		{"none of none", 0, 0, 0, false},
	} {
		if got := agrees(rule{voters: c.voters, lost: c.lost}.quorum(), c.subset); got != c.want {
			t.Errorf("%s: agrees %v", c.name, got)
		}
	}
}

func TestValueIsTheHighestThatAQuorumHasReached(t *testing.T) {
	values := map[string]uint64{"a": 9, "b": 7, "c": 5, "d": 3, "e": 1}
	of := func(id string) uint64 { return values[id] }
	for _, c := range []struct {
		rule rule
		want uint64
	}{
		{rule{voters: 0b111}, 7},
		{rule{voters: 0b1111}, 5},
		{rule{voters: 0b1111, lost: 0b1000}, 7},
		{rule{voters: 0b1111, lost: 0b0001}, 5},
		{rule{voters: 0b111, before: 0b1111}, 5},
		{rule{voters: 0b1111, before: 0b111}, 5},
		{rule{voters: 0b1111, before: 0b11100, lost: 0b0001}, 3},
		{rule{}, 0},
	} {
		if got := c.rule.quorum().Value(of); got != c.want {
			t.Errorf("%+v: value %d, want %d", c.rule, got, c.want)
		}
	}
}

func TestRefusalOfAllButTooFewEndsACampaign(t *testing.T) {
	for voters := range uint(1) << len(names) {
		q := rule{voters: voters}.quorum()
		for refusing := range uint(1) << len(names) {
			left := bits.OnesCount(voters &^ refusing)
			refused := q.Refuses(func(id string) bool { return refusing>>slices.Index(names, id)&1 == 1 })
			if want := left < bits.OnesCount(voters)/2+1; refused != want {
				t.Fatalf("voters %b, refusing %b: refused %v", voters, refusing, refused)
			}
		}
	}
}
