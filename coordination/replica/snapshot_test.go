package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/wal"
	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
	"google.golang.org/protobuf/proto"
)

// gatedFS blocks each sync of a snapshot file until it receives from gate, or gate
// is closed.
type gatedFS struct {
	wal.Disk
	gate    chan struct{}
	waiting chan struct{} // receives a value when a sync is blocked
}

type gatedFile struct {
	wal.File
	files gatedFS
}

func (g gatedFS) Create(path string) (wal.File, error) {
	file, err := g.Disk.Create(path)
	if err == nil && strings.Contains(path, "snapshot-") {
		return gatedFile{file, g}, nil
	}
	return file, err
}

func (f gatedFile) Sync() error {
	select {
	case f.files.waiting <- struct{}{}:
	default:
	}
	<-f.files.gate
	return f.File.Sync()
}

// TestSlowSnapshotDoesNotBlockProposals commits proposals while the write of a
// snapshot is blocked. It then stops the replica either while its second snapshot
// is blocked or just after it was written. In both cases the data folder must
// start from the snapshot that was last in use, and lose no operation.
func TestSlowSnapshotDoesNotBlockProposals(t *testing.T) {
	for _, c := range []struct {
		name         string
		writtenFirst bool // the second snapshot is written before the stop
	}{{"stopped while it is written", false}, {"written before the stop", true}} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) { testStopDuringSnapshot(t, c.writtenFirst) })
		})
	}
}

func testStopDuringSnapshot(t *testing.T, writtenFirst bool) {
	files := gatedFS{gate: make(chan struct{}), waiting: make(chan struct{}, 1)}
	machine := &recordingMachine{}
	folder := t.TempDir()
	r, err := Open(Options{DataFolder: folder, Address: "a", Bootstrap: true, StateMachine: machine, Dial: dial, FileSystem: files, SnapshotIntervalEntries: 10})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	propose := func(id string) {
		t.Helper()
		within, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		for {
			_, err := r.Propose(within, command(id))
			if err == nil {
				return
			}
			if within.Err() != nil {
				t.Fatalf("%s: %v", id, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	for i := range 10 {
		propose(fmt.Sprint(i))
	}
	<-files.waiting
	for i := range 100 {
		propose(fmt.Sprint("meanwhile-", i))
	}
	files.gate <- struct{}{}
	for r.Status().SnapshotIndex == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	first := r.Status().SnapshotIndex
	<-files.waiting // the next snapshot is blocked too
	if writtenFirst {
		close(files.gate)
		for r.Status().SnapshotIndex == first {
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
	} else {
		cancel()
		synctest.Wait() // until the replica has left its loop and waits for the write
		close(files.gate)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	used := r.Status().SnapshotIndex
	if !writtenFirst && used != first {
		t.Errorf("the snapshot at %d was put into use after the stop", used)
	}
	reopenedMachine := &recordingMachine{}
	reopened, err := Open(Options{DataFolder: folder, Address: "a", StateMachine: reopenedMachine, Dial: dial})
	if err != nil {
		t.Fatal(err)
	}
	if index := reopened.Status().SnapshotIndex; index != used {
		t.Errorf("the data folder starts from the snapshot at %d, the last one in use was at %d", index, used)
	}
	all := machine.operations()
	kept := reopenedMachine.operations()
	before := int(used) - bootstrapEntries
	if before < 1 || !slices.Equal(kept, all[:before]) {
		t.Errorf("the snapshot at %d contains %q, want the first %d operations", used, kept, before)
	}
	runReplica(t, reopened)
	for len(reopenedMachine.operations()) < len(all) {
		time.Sleep(10 * time.Millisecond)
	}
	if !slices.Equal(reopenedMachine.operations(), all) {
		t.Errorf("after replaying the log the operations are %q, want %q", reopenedMachine.operations(), all)
	}
}

// bootstrapEntries is the number of log entries of a new group before the first
// command: the member list and the leader's empty entry.
const bootstrapEntries = 2

// runReplica runs a replica until the test ends.
func runReplica(t *testing.T, r *Replica) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// TestReceivedSnapshotSupersedesOwnSnapshot receives a snapshot and an entry while
// the replica's own, older snapshot is being written, and crashes at each disk
// operation of that. The data folder must always open again.
func TestReceivedSnapshotSupersedesOwnSnapshot(t *testing.T) {
	for point := 1; ; point++ {
		s := newSim(t, 1, 1)
		s.random = rand.New(rand.NewPCG(uint64(point), 1))
		n := s.nodes[0]
		n.fs = faultfs.New(s.random.IntN)
		s.start(n)
		older := &wire.LogSnapshot{Index: 5, Term: 1, State: encodeState(t, n)}
		r := n.replica
		r.writingSnapshot = true
		r.snapshotResults <- snapshotResult{older, r.log.WriteSnapshot(older)}
		newer, err := proto.Marshal(&wire.LogSnapshot{Index: 50, Term: 2, State: encodeState(t, n)})
		if err != nil {
			t.Fatal(err)
		}
		n.fs.CrashAt = n.fs.CrashPoints() + point
		r.raft.Step(&wire.PeerMessage{Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_SNAPSHOT, From: "x", To: r.id, Term: 2, Index: 50, LogTerm: 2, Snapshot: newer})
		r.raft.Step(&wire.PeerMessage{Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND, From: "x", To: r.id, Term: 2, Index: 50, LogTerm: 2,
			Entries: []*wire.LogEntry{{Index: 51, Term: 2}}})
		if err := r.processReady(); err == nil && !n.fs.Crashed() {
			if st := r.raft.Status(); st.SnapshotIndex != 50 || st.LastIndex != 51 {
				t.Fatalf("snapshot index %d, last index %d, want 50 and 51", st.SnapshotIndex, st.LastIndex)
			}
			return
		}
		s.start(n) // fails the test if the data folder does not open
	}
}

func encodeState(t *testing.T, n *simNode) []byte {
	t.Helper()
	data, err := n.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}
