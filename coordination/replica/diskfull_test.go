package replica

import (
	"errors"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
)

// Times in ticks of 30 ms.
const (
	reopenTicks = 34  // the second after which a process opens a replica that failed or was removed again
	ackTicks    = 133 // the 4 s in which a change must be acknowledged
)

// stop ends a node's replica. Its disk keeps what is written, also unsynced, and the
// replica is opened again after some ticks.
func (s *sim) stop(n *simNode, ticks int) {
	_ = n.replica.log.Close() // it may have failed
	n.replica, n.reopenIn = nil, ticks
}

// reopen opens the replica of a node that was stopped, when it is due.
func (s *sim) reopen(n *simNode) {
	if n.reopenIn == 0 {
		return
	}
	n.reopenIn--
	if n.reopenIn > 0 {
		return
	}
	switch err := s.open(n); {
	case errors.Is(err, faultfs.ErrFull):
		s.counts["opening on a full disk"]++
		n.reopenIn = reopenTicks
	case errors.Is(err, faultfs.ErrCrashed):
		s.counts["crash at a disk operation"]++
	case err != nil:
		s.t.Fatalf("%s does not open: %v", n.address, err)
	}
}

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

// fullDisk is a way in which a node's disk is full.
type fullDisk struct {
	files   string // see faultfs.FS.FullFor
	syncs   bool
	restart bool // the process starts on the full disk
	newDisk bool // and its folder is empty
}

// fill fills a node's disk.
func (s *sim) fill(t *testing.T, n *simNode, d fullDisk) {
	t.Helper()
	if d.newDisk {
		if !s.mayLoseFolder() {
			t.Fatal("a second disk is lost before the first one is replaced")
		}
		n.lostIDs[n.replica.id] = true
		n.fs = faultfs.New(s.random.IntN)
	}
	n.fs.Full, n.fs.FullFor, n.fs.FullSyncs = true, d.files, d.syncs
	if d.restart && n.replica != nil {
		s.stop(n, 1)
	}
}

// changeRounds proposes an operation in every fourth round and lets new replicas join. It
// returns the longest time in rounds in which no operation was acknowledged.
func (s *sim) changeRounds(rounds int) (longest int) {
	since, acked := 0, len(s.acked)
	for round := range rounds {
		leader := s.leaderNode()
		for _, n := range s.nodes {
			if leader != nil && round%4 == 0 {
				s.join(n, leader)
			}
		}
		if leader = s.leaderNode(); leader != nil && round%4 == 0 {
			s.propose(leader)
		}
		s.runRounds(1)
		s.collectAnswers()
		since++
		if len(s.acked) > acked {
			since, acked = 0, len(s.acked)
		}
		longest = max(longest, since)
	}
	return longest
}

func TestChangesGoOnAfterDisksWereFullInTurn(t *testing.T) {
	orders := [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
	ways := map[string]fullDisk{
		"everything":             {},
		"everything and syncs":   {syncs: true},
		"log":                    {files: "log-*"},
		"snapshot":               {files: "snapshot-*"},
		"rewriting at a start":   {files: "log-*.tmp", restart: true},
		"everything at a start":  {syncs: true, restart: true},
		"identity of a new disk": {files: "replica-id*", restart: true, newDisk: true},
		"all of a new disk":      {syncs: true, restart: true, newDisk: true},
	}
	for what, way := range ways {
		t.Run(what, func(t *testing.T) {
			longest, total := 0, make(map[string]int)
			for _, ticks := range []int{34, 100, 334} { // 1, 3 and 10 s
				for seed, order := range orders {
					during := runFullDisks(t, uint64(seed), order, ticks, way, total)
					longest = max(longest, during)
				}
			}
			t.Logf("longest time without an acknowledgement while disks were full: %d ticks; %v", longest, total)
		})
	}
}

// runFullDisks fills the disks of three nodes in turn and checks what follows. It returns
// the longest time without an acknowledgement while a disk was full.
func runFullDisks(t *testing.T, seed uint64, order [3]int, ticks int, way fullDisk, total map[string]int) (longest int) {
	t.Helper()
	s := newSim(t, seed, 3)
	s.healAndConverge()
	for _, i := range order {
		n := s.nodes[i]
		for way.newDisk && !s.mayLoseFolder() {
			s.changeRounds(1)
		}
		s.fill(t, n, way)
		longest = max(longest, s.changeRounds(ticks))
		n.fs.Full = false
	}
	if without := s.changeRounds(3 * ackTicks); without > ackTicks {
		t.Fatalf("order %v, %d ticks each: no change was acknowledged for %d ticks after the last disk had room", order, ticks, without)
	}
	acked := len(s.acked)
	s.proposeRounds(t, ackTicks)
	for _, n := range s.nodes {
		checkDisk(t, n)
	}
	s.healAndConverge()
	s.checkLogMatching()
	s.checkProposalOutcomes()
	if len(s.acked) < acked+ackTicks {
		t.Fatalf("%d of %d operations are left", len(s.acked), acked+ackTicks)
	}
	for what, n := range s.counts {
		total[what] += n
	}
	return longest
}

// checkDisk checks that a node's replica runs and that its disk holds one log, one
// snapshot, the identity, and nothing else.
func checkDisk(t *testing.T, n *simNode) {
	t.Helper()
	names, _ := n.fs.ReadDir("/data")
	if n.replica == nil || len(names) > 3 || n.fs.OpenFiles() != 1 || strings.Contains(strings.Join(names, " "), ".tmp") {
		t.Fatalf("%s: runs: %v, %d files open, on the disk: %q", n.address, n.replica != nil, n.fs.OpenFiles(), names)
	}
}
