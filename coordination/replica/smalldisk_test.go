package replica

import (
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"pgregory.net/rapid"
)

// A disk of 64 MB, scaled down by 2,048 with all sizes.
const (
	scaledDiskBytes  = 64_000_000 >> 11
	scaledInterval   = defaultSnapshotIntervalBytes >> 11
	scaledKeptBytes  = defaultKeptBytes >> 11
	scaledMaxCommand = maxCommandBytes >> 11
)

// useSmallDisks makes the replicas due for snapshots by bytes alone.
func (s *sim) useSmallDisks(padBytes int) {
	s.snapshotBytes, s.padBytes = scaledInterval, padBytes
	for _, n := range s.nodes {
		s.limitLog(n.replica)
	}
}

func (s *sim) limitLog(r *Replica) {
	if s.snapshotBytes != 0 {
		r.options.SnapshotIntervalBytes, r.options.SnapshotIntervalEntries = s.snapshotBytes, 1_000_000
		r.options.KeptEntries, r.options.KeptBytes = defaultKeptEntries, scaledKeptBytes
	}
}

// checkDisks checks that no log has reached half of its disk, and that none needed more
// than the disk.
func (s *sim) checkDisks() {
	for _, n := range s.nodes {
		if n.replica != nil && n.replica.log.Size() > scaledDiskBytes/2 {
			s.t.Fatalf("the log of %s has %d bytes on a disk of %d", n.address, n.replica.log.Size(), scaledDiskBytes)
		}
		if n.fs.PeakBytes > scaledDiskBytes {
			s.t.Fatalf("%s needed %d bytes on a disk of %d", n.address, n.fs.PeakBytes, scaledDiskBytes)
		}
	}
}

// keptBytes returns the size of the entries that a replica holds in memory.
func (n *simNode) keptBytes() (size int) {
	for _, e := range n.replica.raft.Entries(0) {
		size += len(e.Data)
	}
	return size
}

// Guards against a log that keeps up to a thousand entries whatever their size: a start
// then takes as long as they are many, needs their size twice on the disk, and keeps them
// in memory for followers that don't need them.
func TestLogIsBoundedByBytes(t *testing.T) {
	for _, padBytes := range []int{scaledInterval / 40, scaledMaxCommand - 100} {
		s := newSim(t, 1, 3)
		s.healAndConverge()
		s.useSmallDisks(padBytes)
		for range 400 {
			s.propose(s.leaderNode())
			s.runRounds(1)
			s.checkDisks()
		}
		s.runRounds(5)
		s.collectAnswers()
		if len(s.acked) < 390 {
			t.Errorf("pad %d: %d of 400 operations were acknowledged", padBytes, len(s.acked))
		}
		for _, n := range s.nodes {
			if size := int(n.replica.log.Size()); size > 2*scaledInterval+2*padBytes {
				t.Errorf("pad %d: the log of %s has %d bytes, snapshots are due every %d", padBytes, n.address, size, scaledInterval)
			}
			if size := n.keptBytes(); size > 2*scaledInterval+2*padBytes+scaledKeptBytes {
				t.Errorf("pad %d: %s holds entries of %d bytes", padBytes, n.address, size)
			}
			s.start(n)
		}
		s.healAndConverge()
		s.checkDisks()
		s.checkProposalOutcomes()
	}
}

// Guards against a log that grows until the disk is full while no snapshot can be written,
// and against large changes that take the room of small ones meanwhile.
func TestFullLogRefusesChangesAndLosesNone(t *testing.T) {
	s := newSim(t, 1, 3)
	s.healAndConverge()
	s.useSmallDisks(scaledMaxCommand - 100)
	for _, n := range s.nodes {
		n.fs.Full, n.fs.FullFor = true, "snapshot-*"
	}
	for range 100 {
		s.propose(s.leaderNode())
		s.runRounds(1)
		s.checkDisks()
	}
	s.collectAnswers()
	if len(s.rejected) == 0 {
		t.Error("no change was refused")
	}
	err := s.leaderNode().replica.checkRoom(scaledMaxCommand)
	if f := fault.From(err); f == nil || f.Kind != fault.Overloaded || f.RetryAfter == 0 {
		t.Errorf("the refusal is %v", err)
	}
	s.padBytes = 0
	s.proposeRounds(t, 4)
	s.healAndConverge()
	s.runRounds(snapshotRetryTicks)
	s.padBytes = scaledInterval / 40
	s.proposeRounds(t, 20)
	s.checkProposalOutcomes()
	s.checkDisks()
}

// TestReplicasUnderFaultsOnSmallDisks is the model with operations of all sizes. No log
// may outgrow half of its disk, whatever happens.
func TestReplicasUnderFaultsOnSmallDisks(t *testing.T) {
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), 3)
		s.healAndConverge()
		s.useSmallDisks(scaledMaxCommand - 100)
		for i := range modelSteps {
			s.randomStep()
			s.checkDisks()
			if i%50 == 0 {
				s.checkLogMatching()
			}
		}
		s.healAndConverge()
		s.checkDisks()
		s.checkLogMatching()
		s.checkProposalOutcomes()
		refused += len(s.rejected)
	})
	t.Logf("%d changes were refused", refused)
}
