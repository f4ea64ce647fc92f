package wal_test

import (
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/wal"
	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
)

const folder = "/data"

func newDisk(seed uint64) *faultfs.FS {
	return faultfs.New(mathrand.New(mathrand.NewPCG(seed, 1)).IntN)
}

func newEntry(index, term uint64) *wire.LogEntry {
	return &wire.LogEntry{Index: index, Term: term, Data: []byte(strings.Repeat("x", int(index)%50))}
}

func mustOpen(t *testing.T, fs wal.FileSystem) (*wal.Log, *wal.State) {
	t.Helper()
	l, s, err := wal.Open(folder, fs, rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return l, s
}

// acknowledged is the state that the log has acknowledged as durable.
type acknowledged struct {
	id       string
	term     uint64
	last     uint64 // highest entry index
	snapshot uint64
}

// workload saves entries, some of them twice, and takes snapshots until an operation
// fails.
func workload(fs wal.FileSystem) (a acknowledged) {
	l, s, err := wal.Open(folder, fs, rand.Reader)
	if err != nil {
		return a
	}
	a.id = s.ID
	hard := &wire.HardState{Term: 1}
	for i := uint64(1); i <= 12; i++ {
		term := uint64(1)
		if i > 6 {
			term, hard = 2, &wire.HardState{Term: 2, Vote: "b"}
		}
		if l.Save(hard, []*wire.LogEntry{newEntry(i, term), newEntry(i+1, term)}) != nil {
			return a
		}
		a.term, a.last = term, i+1
		if i%4 != 0 {
			continue
		}
		snapshot := &wire.LogSnapshot{Index: i - 1, Term: term, State: []byte("state")}
		if l.SaveSnapshot(snapshot, hard, []*wire.LogEntry{newEntry(i, term), newEntry(i+1, term)}) != nil {
			return a
		}
		a.snapshot = i - 1
	}
	return a
}

func TestCrashAtEveryPointKeepsWhatWasAcknowledged(t *testing.T) {
	whole := newDisk(0)
	workload(whole)
	for point := 1; point <= whole.CrashPoints(); point++ {
		for seed := range uint64(8) {
			fs := newDisk(seed)
			fs.CrashAt = point
			a := workload(fs)
			fs.Restart()
			l, s, err := wal.Open(folder, fs, rand.Reader)
			if err != nil {
				t.Fatalf("point %d seed %d: %v", point, seed, err)
			}
			checkRecovered(t, point, a, s)
			if err := l.Save(&wire.HardState{Term: 9}, nil); err != nil {
				t.Fatalf("point %d: %v", point, err)
			}
		}
	}
	t.Logf("%d crash points, 8 seeds each", whole.CrashPoints())
}

func checkRecovered(t *testing.T, point int, a acknowledged, s *wal.State) {
	t.Helper()
	last := s.Snapshot.GetIndex() + uint64(len(s.Entries))
	if a.id != "" && s.ID != a.id {
		t.Fatalf("point %d: the identity changed", point)
	}
	if s.HardState.Term < a.term || last < a.last || s.Snapshot.GetIndex() < a.snapshot {
		t.Fatalf("point %d: recovered term %d last %d snapshot %d, acknowledged %+v", point, s.HardState.Term, last, s.Snapshot.GetIndex(), a)
	}
	for i, e := range s.Entries {
		if e.Index != s.Snapshot.GetIndex()+uint64(i)+1 || len(e.Data) != int(e.Index)%50 {
			t.Fatalf("point %d: entry %d is wrong", point, e.Index)
		}
	}
}

func logFile(t *testing.T, fs *faultfs.FS) string {
	t.Helper()
	names, _ := fs.ReadDir(folder)
	for _, name := range names {
		if strings.HasPrefix(name, "log-") {
			return filepath.Join(folder, name)
		}
	}
	t.Fatal("no log file")
	return ""
}

func saveEntries(t *testing.T, fs *faultfs.FS, entries uint64) {
	t.Helper()
	l, _ := mustOpen(t, fs)
	for i := uint64(1); i <= entries; i++ {
		if err := l.Save(nil, []*wire.LogEntry{newEntry(i, 1)}); err != nil {
			t.Fatal(err)
		}
	}
	_ = l.Close()
}

func TestTornTailIsCut(t *testing.T) {
	for _, tail := range [][]byte{{1}, make([]byte, 4096), []byte("APW1 torn header that is long enough to read")} {
		fs := newDisk(1)
		saveEntries(t, fs, 5)
		fs.Append(logFile(t, fs), tail)
		l, s := mustOpen(t, fs)
		if len(s.Entries) != 5 || s.TornBytes != len(tail) {
			t.Fatalf("%d entries, %d bytes cut", len(s.Entries), s.TornBytes)
		}
		_ = l.Close()
		if _, s = mustOpen(t, fs); s.TornBytes != 0 || len(s.Entries) != 5 {
			t.Fatal("the torn tail was not removed from the disk")
		}
	}
}

func TestEveryDamagedByteBeforeTheLastFrameIsRefused(t *testing.T) {
	fs := newDisk(1)
	saveEntries(t, fs, 4)
	l, _ := mustOpen(t, fs)
	path := logFile(t, fs)
	middle := fs.Size(path)
	if err := l.Save(nil, []*wire.LogEntry{newEntry(5, 1)}); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	for offset := range middle {
		fs.FlipByte(path, offset)
		_, _, err := wal.Open(folder, fs, rand.Reader)
		if fault.KindOf(err) != fault.Corrupt || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), "byte ") {
			t.Fatalf("byte %d: %v", offset, err)
		}
		fs.FlipByte(path, offset)
	}
	mustOpen(t, fs)
}

func TestFailedWriteOrSyncStopsTheLog(t *testing.T) {
	for name, injectFault := range map[string]func(*faultfs.FS){
		"full":        func(fs *faultfs.FS) { fs.CapacityBytes = 1 },
		"failed sync": func(fs *faultfs.FS) { fs.SyncsToFailure = 1 },
	} {
		fs := newDisk(1)
		l, _ := mustOpen(t, fs)
		if err := l.Save(nil, []*wire.LogEntry{newEntry(1, 1)}); err != nil {
			t.Fatal(err)
		}
		injectFault(fs)
		if err := l.Save(nil, []*wire.LogEntry{newEntry(2, 1)}); !errors.Is(err, faultfs.ErrFull) && !errors.Is(err, faultfs.ErrSyncFailed) {
			t.Fatalf("%s: %v", name, err)
		}
		fs.CapacityBytes, fs.SyncsToFailure = 0, 0
		if l.Save(nil, []*wire.LogEntry{newEntry(2, 1)}) == nil || l.SaveSnapshot(&wire.LogSnapshot{Index: 1}, nil, nil) == nil {
			t.Fatalf("%s: the log accepted a later write", name)
		}
		fs.Restart()
		if _, s := mustOpen(t, fs); len(s.Entries) < 1 || s.Entries[0].Index != 1 {
			t.Fatalf("%s: the acknowledged entry was lost", name)
		}
	}
}

func TestIdentityWithoutItsLogIsRefused(t *testing.T) {
	fs := newDisk(1)
	saveEntries(t, fs, 2)
	if err := fs.Remove(logFile(t, fs)); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, _, err := wal.Open(folder, fs, rand.Reader); fault.KindOf(err) != fault.Corrupt {
			t.Fatalf("opened under the old identity: %v", err)
		}
	}
}

func TestFolderIsLocked(t *testing.T) {
	path := t.TempDir()
	l, first, err := wal.Open(path, wal.Disk{}, rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := wal.Open(path, wal.Disk{}, rand.Reader); fault.KindOf(err) != fault.Conflict {
		t.Fatalf("second open: %v", err)
	}
	_ = l.Close()
	_, second, err := wal.Open(path, wal.Disk{}, rand.Reader)
	if err != nil || second.ID != first.ID || second.Created {
		t.Fatalf("reopened: %v", err)
	}
}
