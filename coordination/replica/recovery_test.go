package replica

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
)

const (
	// recoveryTicks is the target recoveryS of 12 s, less 4 s in which processes start
	// and open their links, in ticks of 30 ms.
	recoveryTicks = 8000 / 30
	// joinTicks is JoinInterval.
	joinTicks = 10
	// membershipCheckTicks is membershipCheckAfter of package controlplane.
	membershipCheckTicks = 3000 / 30
	// minReachable is the least number of voters that must be reachable for another one
	// to be removed.
	minReachable = 4
	// sampledOrder is the stride at which orders are run by default.
	sampledOrder = 211
)

var (
	recoverySeeds  = flag.Int("recovery.seeds", 1, "seeds of the orders of faults")
	recoveryStride = flag.Int("recovery.stride", sampledOrder, "run one order in this many with each seed")
)

// faultEvents are the events whose orders are run. An order holds each of them once,
// except for "back" and "admit".
var faultEvents = []string{"admit", "admit", "back", "back", "disk", "leader", "power", "promote"}

// brokenAdmissions are orders in which an admission breaks off after each of its steps.
// They are run with more seeds than the sample of all orders.
var brokenAdmissions = []string{
	"disk back admit leader admit power promote back",
	"disk back admit admit leader power back promote",
	"disk back admit admit power back leader promote",
	"disk back promote leader admit power back admit",
	"disk back promote power back admit leader admit",
}

const brokenAdmissionSeeds = 12

// recoverySim adds to sim hosts that stay down and replicas that the group removes.
type recoverySim struct {
	*sim
	victims   []*simNode
	lists     map[uint64][][]*wire.Member // not overtaken by a committed list, by index
	noLeader  map[*simNode]int            // ticks without a known leader
	reopening map[*simNode]int            // ticks until a removed replica is opened again
}

type namedT struct {
	t    *testing.T
	name string
}

func (n namedT) Fatalf(format string, args ...any) {
	n.t.Helper()
	n.t.Fatalf("%s: "+format, append([]any{n.name}, args...)...)
}

// TestQuorumWithItsDisksRecoversInTime runs orders of a lost disk, power lost at all
// others, their returns, the steps of an admission, and a lost leader. Between them,
// messages are lost, replicas fall behind or are removed, and at five voters a second
// disk is lost.
func TestQuorumWithItsDisksRecoversInTime(t *testing.T) {
	runs := &recoveryRuns{t: t, causes: make(map[string]int)}
	for _, voters := range []int{3, 5} {
		number := 0
		forEachOrder(faultEvents, func(order []string) {
			number++
			for seed := range *recoverySeeds {
				if (number+seed)%*recoveryStride == 0 {
					runs.run(voters, seed, number, order)
				}
			}
		})
		for i, order := range brokenAdmissions {
			for seed := range brokenAdmissionSeeds {
				runs.run(voters, seed, -i, strings.Fields(order))
			}
		}
	}
	t.Logf("%d runs, slowest recovery %d of %d ticks, %v", runs.number, runs.slowest, recoveryTicks, runs.causes)
	for _, what := range []string{"lost disk", "second lost disk", "power lost", "leader lost", "removed while away", "removal not committed", "addition not committed", "promotion not committed", "snapshot with another list"} {
		if runs.causes[what] == 0 {
			t.Errorf("no run caused: %s", what)
		}
	}
}

func (r *recoveryRuns) run(voters, seed, number int, order []string) {
	name := fmt.Sprintf("%d voters, seed %d, order %d %s", voters, seed, number, strings.Join(order, " "))
	s := newRecoverySim(namedT{r.t, name}, uint64(seed<<32+number), voters)
	s.run(order)
	r.record(s.sim, s.recover())
}

// forEachOrder calls f with each distinct order of sorted events.
func forEachOrder(events []string, f func([]string)) {
	var extend func(order, rest []string)
	extend = func(order, rest []string) {
		if len(rest) == 0 {
			f(order)
		}
		for i, e := range rest {
			if i > 0 && rest[i-1] == e {
				continue
			}
			extend(append(slices.Clone(order), e), slices.Delete(slices.Clone(rest), i, i+1))
		}
	}
	extend(nil, events)
}

func newRecoverySim(t namedT, seed uint64, voters int) *recoverySim {
	s := &recoverySim{
		sim: newSim(t, seed, voters), lists: map[uint64][][]*wire.Member{}, noLeader: map[*simNode]int{}, reopening: map[*simNode]int{},
	}
	s.healAndConverge()
	first := s.random.IntN(voters)
	s.victims = []*simNode{s.nodes[first], s.nodes[(first+1)%voters]}
	return s
}

// run causes the events of an order, with random pauses and further faults between them.
func (s *recoverySim) run(order []string) {
	for _, event := range order {
		switch event {
		case "disk":
			s.loseDisk(s.victims[0])
		case "power":
			s.losePower()
		case "back":
			s.startOne()
		case "admit":
			s.admit()
		case "promote":
			s.runUntilPromotion()
		case "leader":
			s.loseLeader()
		}
		if s.random.IntN(2) == 0 {
			s.furtherFault()
			s.runLossy([]int{0, 1, 3, 8, 40}[s.random.IntN(5)], s.random.IntN(2) == 0)
		}
	}
}

// furtherFault sometimes causes one more fault or change.
func (s *recoverySim) furtherFault() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	switch s.random.IntN(12) {
	case 0:
		n.frozen = true
	case 1:
		s.isolate(n)
	case 2:
		clear(s.blocked)
		s.unfreeze(n)
	case 3, 4:
		s.write()
	case 5:
		s.removeAway()
	case 6, 7:
		if len(s.nodes) > 3 {
			s.loseDisk(s.victims[1])
		}
	}
}

// write proposes enough for a snapshot.
func (s *recoverySim) write() {
	for range 15 {
		if l := s.leaderNode(); l != nil {
			s.propose(l)
			s.runLossy(1, false)
		}
	}
}

// runLossy runs rounds in which, if lossy is set, half of the messages are lost.
func (s *recoverySim) runLossy(rounds int, lossy bool) {
	for range rounds {
		for _, n := range s.nodes {
			s.tick(n)
		}
		s.deliverLossy(lossy)
	}
}

func (s *recoverySim) deliverLossy(lossy bool) {
	for len(s.network) > 0 {
		if lossy && s.random.IntN(2) == 0 {
			s.network = s.network[1:]
			continue
		}
		s.deliver(0, false)
	}
	s.recordLists()
}

// recordLists records the member lists that may be in effect.
func (s *recoverySim) recordLists() {
	for _, n := range s.nodes {
		if n.replica == nil {
			continue
		}
		st := n.replica.raft.Status()
		if known := s.lists[st.MembersIndex]; len(known) == 0 || !slices.EqualFunc(known[len(known)-1], st.Members, sameMember) {
			s.lists[st.MembersIndex] = append(known, st.Members)
		}
	}
	for index := range s.lists {
		if index < s.membersIndex {
			delete(s.lists, index)
		}
	}
}

func sameMember(a, b *wire.Member) bool {
	return a.Id == b.Id && a.Learner == b.Learner && a.Removed == b.Removed
}

// keepsQuorum reports whether a quorum of each list that may be in effect keeps its
// disks without those of n.
func (s *recoverySim) keepsQuorum(n *simNode) bool {
	s.recordLists()
	for _, lists := range s.lists {
		for _, members := range lists {
			voters := activeVoters(members)
			kept := 0
			for _, id := range voters {
				if host := s.nodesByID[id]; host != n && !host.lostIDs[id] {
					kept++
				}
			}
			if kept < len(voters)/2+1 {
				return false
			}
		}
	}
	return true
}

// loseDisk ends a node that loses its disk, if a quorum keeps its disks.
func (s *recoverySim) loseDisk(n *simNode) {
	if !s.keepsQuorum(n) {
		return
	}
	what := "lost disk"
	for _, id := range activeVoters(s.members) {
		if host := s.nodesByID[id]; host != n && host.lostIDs[id] {
			what = "second lost disk"
		}
	}
	s.counts[what]++
	s.clearDisk(n)
}

func (s *sim) clearDisk(n *simNode) {
	for id, host := range s.nodesByID {
		if host == n {
			n.lostIDs[id] = true
		}
	}
	n.fs = faultfs.New(s.random.IntN)
	n.replica = nil
}

// losePower ends all nodes but the first victim, some of them in a disk operation.
func (s *recoverySim) losePower() {
	s.counts["power lost"]++
	for _, n := range s.nodes {
		if n == s.victims[0] || n.replica == nil {
			continue
		}
		s.countUncommitted(n)
		if s.random.IntN(3) == 0 {
			n.fs.CrashAt = n.fs.CrashPoints() + 1 + s.random.IntN(6)
			s.propose(n)
			s.tick(n)
		}
		n.replica = nil
	}
}

// startOne starts the first victim or a random node that is down.
func (s *recoverySim) startOne() {
	var down []*simNode
	if v := s.victims[0]; v.replica == nil && s.random.IntN(3) == 0 {
		s.start(v)
		return
	}
	for _, n := range s.nodes {
		if n.replica == nil {
			down = append(down, n)
		}
	}
	if len(down) > 0 {
		s.start(down[s.random.IntN(len(down))])
	}
}

// admit takes one or more steps of the admission of the lost replicas' successors.
func (s *recoverySim) admit() {
	s.admitAll()
	for range s.random.IntN(3) {
		s.runLossy(3, false)
		s.admitAll()
	}
}

// admitAll takes the next step of admission for each replica that has not joined.
func (s *recoverySim) admitAll() {
	for _, n := range s.nodes {
		for _, to := range s.nodes {
			s.join(n, to)
		}
	}
}

// runUntilPromotion goes on with the admission until a promotion is proposed and not
// committed.
func (s *recoverySim) runUntilPromotion() {
	for range 30 {
		s.admitAll()
		for _, n := range s.nodes {
			s.tick(n)
			if n.running() && n == s.leaderNode() && learnersOf(n.replica.raft.Status().Members) < learnersOf(s.members) {
				return
			}
		}
		s.deliverLossy(false)
	}
}

// loseLeader ends, freezes or isolates the leader.
func (s *recoverySim) loseLeader() {
	l := s.leaderNode()
	if l == nil {
		return
	}
	s.counts["leader lost"]++
	s.countUncommitted(l)
	switch s.random.IntN(3) {
	case 0:
		l.replica = nil
	case 1:
		l.frozen = true
	default:
		s.isolate(l)
	}
}

// removeAway has the leader remove a voter that is down, frozen or cut off, if at
// least minReachable voters are not.
func (s *recoverySim) removeAway() {
	l := s.leaderNode()
	if l == nil || !l.running() {
		return
	}
	reachable, away := 0, ""
	for _, id := range activeVoters(l.replica.raft.Status().Members) {
		if n := s.nodesByID[id]; n.running() && n.replica.id == id && !s.blocked[[2]string{l.address, n.address}] {
			reachable++
		} else {
			away = id
		}
	}
	if away == "" || reachable < minReachable {
		return
	}
	memberChangeRequest{ctx: context.Background(), change: &wire.MemberChange{RemoveId: away}, done: make(chan result, 1)}.run(l.replica)
	s.process(l)
	s.counts["removed while away"]++
}
