package replica

import "testing"

// block drops the messages between two nodes.
func (s *sim) block(a, b *simNode) {
	s.blocked[[2]string{a.address, b.address}] = true
	s.blocked[[2]string{b.address, a.address}] = true
}

// Guards against two leaders at once. Of four voters, one is cut off and becomes a learner by
// the leader and one other, of which the fourth hears nothing. The other one loses its disk,
// and the leader is cut off as well: those that know only the list before must not decide by
// half of it, if the leader and the other one could by a majority of three.
func TestHalfOfTheListBeforeDoesNotDecideBesideTheListAfter(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, 4)
		s.minVoters = 3
		s.healAndConverge()
		leader := s.leaderNode()
		rest := s.nodesExcept(leader)
		cutOff, other, unaware := rest[0], rest[1], rest[2]
		s.isolate(cutOff)
		s.runUntilDemotion(leader)
		s.network = nil // nobody has heard of it yet
		s.block(leader, unaware)
		s.block(other, unaware)
		s.propose(leader)
		s.runRounds(5)

		s.clearDisk(other)
		clear(s.blocked)
		s.isolate(leader)
		s.start(other)
		for range 100 {
			s.askElectors(cutOff)
			s.askElectors(unaware)
			s.runRounds(1)
		}
		s.healAndConverge()
		s.checkLogMatching()
		s.checkProposalOutcomes()
	}
}

// runUntilDemotion runs until the leader has made a silent voter a learner, and nobody else
// knows it.
func (s *sim) runUntilDemotion(leader *simNode) {
	for range 2 * pauseTicks {
		for _, n := range s.nodesExcept(leader) {
			s.tick(n)
		}
		s.tick(leader)
		if learnersOf(leader.replica.raft.Status().Members) > 0 {
			return
		}
		for len(s.network) > 0 {
			s.deliver(0, false)
		}
	}
	s.t.Fatalf("the leader has demoted no voter")
}
