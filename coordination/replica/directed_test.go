package replica

import (
	"slices"
	"testing"

	"github.com/apricotspoke/apricotspoke/coordination/raft"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// leaderNode returns the running leader with the highest term, or nil.
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

// runRounds ticks all nodes and delivers all messages, for a number of rounds.
func (s *sim) runRounds(rounds int) {
	for range rounds {
		for _, n := range s.nodes {
			s.tick(n)
		}
		for len(s.network) > 0 {
			s.deliver(0, false)
		}
	}
}

func (s *sim) nodesExcept(excluded ...*simNode) (found []*simNode) {
next:
	for _, n := range s.nodes {
		for _, x := range excluded {
			if n == x {
				continue next
			}
		}
		found = append(found, n)
	}
	return found
}

func TestLearnerRejoinsWhenItsAdditionIsNotCommitted(t *testing.T) {
	s := newSim(t, 1, 5)
	s.healAndConverge()
	leader := s.leaderNode()
	learner := s.nodesExcept(leader)[0]
	s.loseFolder(learner)
	s.join(learner, leader) // removes the replica's former ID
	s.runRounds(30)
	leader = s.leaderNode()
	for _, n := range s.nodesExcept(leader, learner) {
		s.blocked[[2]string{leader.address, n.address}] = true
	}
	s.join(learner, leader)
	s.runRounds(3)
	if len(learner.replica.Status().Members) == 0 {
		t.Fatal("the learner did not receive the member list that adds it")
	}
	leader.replica = nil
	s.runRounds(60)
	s.healAndConverge()
}

func TestLeaderIsKeptWhenLongPartitionHeals(t *testing.T) {
	s := newSim(t, 1, 3)
	s.healAndConverge()
	leader := s.leaderNode()
	term := leader.replica.Status().Term
	away := s.nodesExcept(leader)[0]
	s.isolate(away)
	for range 50 {
		s.propose(leader)
		s.runRounds(20)
	}
	clear(s.blocked)
	s.runRounds(100)
	if now := s.leaderNode(); now != leader || leader.replica.Status().Term != term {
		t.Fatalf("the leader or its term changed: term %d, now %d", term, now.replica.Status().Term)
	}
	if len(away.log) != 50 {
		t.Fatalf("the replica has applied %d of 50 operations", len(away.log))
	}
}

func TestReplicaCutOffFromLeaderOnlyDoesNotDisruptIt(t *testing.T) {
	s := newSim(t, 1, 3)
	s.healAndConverge()
	leader := s.leaderNode()
	term := leader.replica.Status().Term
	away := s.nodesExcept(leader)[0]
	s.blocked[[2]string{leader.address, away.address}] = true
	s.runRounds(500)
	if leader.replica.Status().Term != term || !leader.replica.Status().IsLeader {
		t.Fatal("a replica that can't hear the leader has deposed it")
	}
}

func TestLossOfSecondHostRightAfterRepairLosesNoData(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(t, seed, 3)
		s.healAndConverge()
		first := s.nodes[seed%3]
		for range 30 {
			s.propose(s.leaderNode())
			s.runRounds(1)
		}
		s.loseFolder(first)
		for !s.mayLoseFolder() {
			if l := s.leaderNode(); l != nil {
				s.join(first, l)
				s.propose(l)
			}
			s.runRounds(1)
		}
		acked := len(s.acked)
		s.loseFolder(s.nodesExcept(first)[seed%2])
		s.healAndConverge()
		s.checkProposalOutcomes()
		if acked < 30 || s.counts["lost folder"] != 2 {
			t.Fatalf("seed %d: %d acknowledged, %d data folders lost", seed, acked, s.counts["lost folder"])
		}
	}
}

func TestLearnerDoesNotVoteBeforeItHasCaughtUp(t *testing.T) {
	s := newSim(t, 1, 3)
	s.healAndConverge()
	leader := s.leaderNode()
	lost := s.nodesExcept(leader)[0]
	s.loseFolder(lost)
	s.join(lost, leader)
	s.runRounds(30)
	s.join(lost, leader)
	s.blocked[[2]string{leader.address, lost.address}] = true
	for range 30 {
		s.propose(leader)
		s.runRounds(5)
	}
	if n := len(activeVoters(leader.replica.Status().Members)); n != 2 {
		t.Fatalf("%d voters while the learner lags", n)
	}
	clear(s.blocked)
	s.runRounds(100)
	if n := len(activeVoters(leader.replica.Status().Members)); n != 3 {
		t.Fatalf("%d voters after the learner caught up", n)
	}
}

func TestIsolatedLeaderConfirmsNoReadAndStepsDown(t *testing.T) {
	s := newSim(t, 1, 3)
	s.healAndConverge()
	old := s.leaderNode()
	s.runRounds(5)
	// Replies to earlier heartbeats are still in flight when the read is requested.
	s.tick(old)
	s.tick(old)
	for range len(s.network) {
		s.deliver(0, false)
	}
	answers := s.network
	s.network = nil
	s.isolate(old)
	s.read(old)
	if len(answers) < 2 {
		t.Fatal("no replies in flight")
	}
	for _, m := range answers {
		old.replica.step(m)
		s.process(old)
	}
	s.runRounds(100)
	if s.counts["confirmed read"] != 0 {
		t.Fatal("a leader without a quorum confirmed a read")
	}
	if old.replica.Status().IsLeader || s.leaderNode() == nil {
		t.Fatal("the old leader did not step down, or no new one was elected")
	}
}

// The leader hears the follower, whose copy the quorum needs, all the time.
func TestSnapshotLostWithoutReportDelaysCommitsForLessThanTheTarget(t *testing.T) {
	s := newSim(t, 1, 3)
	s.healAndConverge()
	leader := s.leaderNode()
	behind, away := s.nodesExcept(leader)[0], s.nodesExcept(leader)[1]
	s.isolate(behind)
	for range 30 {
		s.propose(leader)
		s.runRounds(2)
	}
	clear(s.blocked)
	s.isolate(away)
	lost := 0
	for range recoveryTicks {
		for _, n := range s.nodes {
			s.tick(n)
		}
		for len(s.network) > 0 {
			if lost == 0 && s.network[0].Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_SNAPSHOT {
				s.network, lost = s.network[1:], 1
				continue
			}
			s.deliver(0, false)
		}
		if l := s.leaderNode(); lost > 0 && l != nil && len(s.pendingProposals) == 0 {
			s.propose(l)
		}
	}
	if lost == 0 || !slices.Contains(s.acked, "op-31") {
		t.Fatalf("%d snapshots lost, last acknowledged %s", lost, s.acked[len(s.acked)-1])
	}
}
