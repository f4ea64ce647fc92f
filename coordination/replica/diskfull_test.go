package replica

import (
	"strings"
	"testing"
)

// proposeRounds proposes an operation in each of several rounds and checks that all are
// acknowledged.
func (s *sim) proposeRounds(t *testing.T, rounds int) {
	t.Helper()
	acked := len(s.acked)
	for range rounds {
		s.propose(s.leaderNode())
		s.runRounds(1)
	}
	s.runRounds(5)
	s.collectAnswers()
	if n := len(s.acked) - acked; n != rounds {
		t.Fatalf("%d of %d operations were acknowledged", n, rounds)
	}
}

func TestSnapshotWithoutRoomDoesNotStopTheReplica(t *testing.T) {
	for _, file := range []string{"snapshot-*", "log-*.tmp"} {
		s := newSim(t, 1, 3)
		s.healAndConverge()
		leader := s.leaderNode()
		leader.fs.Full, leader.fs.FullFor = true, file
		s.proposeRounds(t, 100)
		if names, _ := leader.fs.ReadDir("/data"); strings.Contains(strings.Join(names, " "), ".tmp") {
			t.Fatalf("left over: %q", names)
		}
		leader.fs.Full = false
		before := leader.replica.Status().SnapshotIndex
		s.proposeRounds(t, snapshotRetryTicks+20)
		if after := leader.replica.Status().SnapshotIndex; after == before || leader.replica.log.Size() > 10000 {
			t.Fatalf("the snapshot at %d is still the last one, the log has %d bytes", after, leader.replica.log.Size())
		}
		s.healAndConverge()
		s.checkProposalOutcomes()
	}
}
