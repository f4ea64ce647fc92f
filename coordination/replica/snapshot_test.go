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

// gatedFiles holds up each sync of a snapshot until the gate lets one pass, or
// is closed.
type gatedFiles struct {
	wal.Disk
	gate    chan struct{}
	waiting chan struct{}
}

type gatedFile struct {
	wal.File
	files gatedFiles
}

func (g gatedFiles) Create(path string) (wal.File, error) {
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

// TestSlowSnapshotHoldsUpNoProposal stops a replica while its second snapshot is
// held up, and just after that one was written. In both cases the folder must
// rest on the snapshot that was in use at the end, and lose nothing.
func TestSlowSnapshotHoldsUpNoProposal(t *testing.T) {
	for _, c := range []struct {
		name         string
		writtenFirst bool // before the stop
	}{{"stopped while it is written", false}, {"written before the stop", true}} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) { stopBesideSnapshot(t, c.writtenFirst) })
		})
	}
}

func stopBesideSnapshot(t *testing.T, writtenFirst bool) {
	files := gatedFiles{gate: make(chan struct{}), waiting: make(chan struct{}, 1)}
	machine := &ledger{}
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
	<-files.waiting // the next snapshot is held up too
	if writtenFirst {
		close(files.gate)
		for r.Status().SnapshotIndex == first {
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
	} else {
		cancel()
		synctest.Wait() // the replica has left its loop and waits for the write
		close(files.gate)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	used := r.Status().SnapshotIndex
	if !writtenFirst && used != first {
		t.Errorf("the snapshot at %d came into use after the stop", used)
	}
	again := &ledger{}
	reopened, err := Open(Options{DataFolder: folder, Address: "a", StateMachine: again, Dial: dial})
	if err != nil {
		t.Fatal(err)
	}
	if index := reopened.Status().SnapshotIndex; index != used {
		t.Errorf("the folder rests on the snapshot at %d, the last one in use was at %d", index, used)
	}
	all := machine.list()
	kept := again.list()
	before := int(used) - ownEntries
	if before < 1 || !slices.Equal(kept, all[:before]) {
		t.Errorf("the snapshot at %d holds %q, want the first %d operations", used, kept, before)
	}
	runReplica(t, reopened)
	for len(again.list()) < len(all) {
		time.Sleep(10 * time.Millisecond)
	}
	if !slices.Equal(again.list(), all) {
		t.Errorf("the log behind the snapshot gives %q, want %q", again.list(), all)
	}
}

// ownEntries are those of a new group itself, before the first command: its
// members and the first entry of its leader.
const ownEntries = 2

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

// TestReceivedSnapshotOvertakesOwn crashes at each point of taking in a
// snapshot and an entry while the replica's own, older snapshot is written.
func TestReceivedSnapshotOvertakesOwn(t *testing.T) {
	for point := 1; ; point++ {
		s := newSim(t, 1, 1)
		s.random = rand.New(rand.NewPCG(uint64(point), 1))
		n := s.nodes[0]
		n.fs = faultfs.New(s.random.IntN)
		s.start(n)
		older := &wire.LogSnapshot{Index: 5, Term: 1, State: snapshotOf(t, n)}
		r := n.replica
		r.writing = true
		r.written <- writtenSnapshot{older, r.log.WriteSnapshot(older)}
		newer, err := proto.Marshal(&wire.LogSnapshot{Index: 50, Term: 2, State: snapshotOf(t, n)})
		if err != nil {
			t.Fatal(err)
		}
		n.fs.CrashAt = n.fs.Points() + point
		r.raft.Step(&wire.PeerMessage{Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_SNAPSHOT, From: "x", To: r.id, Term: 2, Index: 50, LogTerm: 2, Snapshot: newer})
		r.raft.Step(&wire.PeerMessage{Kind: wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND, From: "x", To: r.id, Term: 2, Index: 50, LogTerm: 2,
			Entries: []*wire.LogEntry{{Index: 51, Term: 2}}})
		if err := r.process(); err == nil && !n.fs.Crashed() {
			if st := r.raft.Status(); st.SnapshotIndex != 50 || st.LastIndex != 51 {
				t.Fatalf("snapshot %d, last %d", st.SnapshotIndex, st.LastIndex)
			}
			return
		}
		s.start(n) // fails the test when the folder does not open
	}
}

func snapshotOf(t *testing.T, n *simNode) []byte {
	t.Helper()
	data, err := n.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}
