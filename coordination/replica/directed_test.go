package replica

import (
	"testing"

	"github.com/apricotspoke/apricotspoke/coordination/raft"
)

func (s *sim) leaderNode() *simNode {
	var found *simNode
	for _, n := range s.nodes {
		if n.replica == nil || n.replica.raft.Status().Role != raft.Leader {
			continue
		}
		if found == nil || n.replica.raft.Status().Term > found.replica.raft.Status().Term {
			found = n
		}
	}
	return found
}

// run ticks all and delivers all messages for a number of rounds.
func (s *sim) run(rounds int) {
	for range rounds {
		for _, n := range s.nodes {
			s.tick(n)
		}
		for len(s.net) > 0 {
			s.deliver(0, false)
		}
	}
}

func (s *sim) others(not ...*simNode) (found []*simNode) {
next:
	for _, n := range s.nodes {
		for _, x := range not {
			if n == x {
				continue next
			}
		}
		found = append(found, n)
	}
	return found
}

func TestLearnerWhoseAdmissionWasNotCommittedJoinsAgain(t *testing.T) {
	s := newSim(t, 1, 5)
	s.settle()
	leader := s.leaderNode()
	learner := s.others(leader)[0]
	s.lose(learner)
	s.join(learner, leader) // removes the former identity
	s.run(30)
	leader = s.leaderNode()
	for _, n := range s.others(leader, learner) {
		s.blocked[[2]string{leader.address, n.address}] = true
	}
	s.join(learner, leader)
	s.run(3)
	if len(learner.replica.Status().Members) == 0 {
		t.Fatal("the learner did not hear of its admission")
	}
	leader.replica = nil
	s.run(60)
	s.settle()
}

func TestReturnFromLongPartitionKeepsLeader(t *testing.T) {
	s := newSim(t, 1, 3)
	s.settle()
	leader := s.leaderNode()
	term := leader.replica.Status().Term
	away := s.others(leader)[0]
	s.cut(away)
	for range 50 {
		s.propose(leader)
		s.run(20)
	}
	clear(s.blocked)
	s.run(100)
	if now := s.leaderNode(); now != leader || leader.replica.Status().Term != term {
		t.Fatalf("term %d became %d", term, now.replica.Status().Term)
	}
	if len(away.log) != 50 {
		t.Fatalf("caught up to %d of 50", len(away.log))
	}
}

func TestReplicaThatOnlyMissesTheLeaderDoesNotDisturbIt(t *testing.T) {
	s := newSim(t, 1, 3)
	s.settle()
	leader := s.leaderNode()
	term := leader.replica.Status().Term
	away := s.others(leader)[0]
	s.blocked[[2]string{leader.address, away.address}] = true
	s.run(500)
	if leader.replica.Status().Term != term || !leader.replica.Status().IsLeader {
		t.Fatal("a replica that can't hear the leader was elected")
	}
}

func TestSecondHostLostRightAfterRepairLosesNothing(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(t, seed, 3)
		s.settle()
		first := s.nodes[seed%3]
		for range 30 {
			s.propose(s.leaderNode())
			s.run(1)
		}
		s.lose(first)
		for !s.mayLose() {
			if l := s.leaderNode(); l != nil {
				s.join(first, l)
				s.propose(l)
			}
			s.run(1)
		}
		acked := len(s.acked)
		s.lose(s.others(first)[seed%2])
		s.settle()
		s.checkOutcome()
		if acked < 30 || s.counts["lost folder"] != 2 {
			t.Fatalf("seed %d: %d acknowledged, %d folders lost", seed, acked, s.counts["lost folder"])
		}
	}
}

func TestLearnerDoesNotVoteBeforeItHasCaughtUp(t *testing.T) {
	s := newSim(t, 1, 3)
	s.settle()
	leader := s.leaderNode()
	lost := s.others(leader)[0]
	s.lose(lost)
	s.join(lost, leader)
	s.run(30)
	s.join(lost, leader)
	s.blocked[[2]string{leader.address, lost.address}] = true
	for range 30 {
		s.propose(leader)
		s.run(5)
	}
	if n := len(activeVoters(leader.replica.Status().Members)); n != 2 {
		t.Fatalf("%d voters while the learner is behind", n)
	}
	clear(s.blocked)
	s.run(100)
	if n := len(activeVoters(leader.replica.Status().Members)); n != 3 {
		t.Fatalf("%d voters after the learner caught up", n)
	}
}

func TestLeaderCutOffConfirmsNoReadAndStepsDown(t *testing.T) {
	s := newSim(t, 1, 3)
	s.settle()
	old := s.leaderNode()
	s.run(5)
	// Answers to earlier heartbeats are still under way when the read is asked.
	s.tick(old)
	s.tick(old)
	for range len(s.net) {
		s.deliver(0, false)
	}
	answers := s.net
	s.net = nil
	s.cut(old)
	s.read(old)
	if len(answers) < 2 {
		t.Fatal("no answers under way")
	}
	for _, m := range answers {
		old.replica.step(m)
		s.process(old)
	}
	s.run(100)
	if s.counts["confirmed read"] != 0 {
		t.Fatal("a leader without quorum confirmed a read")
	}
	if old.replica.Status().IsLeader || s.leaderNode() == nil {
		t.Fatal("the old leader did not step down for a new one")
	}
}
