package wal_test

import (
	"crypto/rand"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/wal"
	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
)

const (
	lastWorkIndex   = 8
	maxOpenAttempts = 100 // far above the crash points for which a disk is full
)

// persistentWorkload saves entries and takes snapshots. After a failed operation it opens
// the folder again, until the disk crashes.
func persistentWorkload(t *testing.T, fs *faultfs.FS) (a acknowledged) {
	t.Helper()
	for range maxOpenAttempts {
		l, s, err := wal.Open(folder, fs, rand.Reader)
		if fs.Crashed() {
			return a
		}
		if err != nil {
			mustBeFull(t, err)
			continue
		}
		checkRecovered(t, 0, a, s)
		a = acknowledged{s.ID, s.HardState.Term, s.Snapshot.GetIndex() + uint64(len(s.Entries)), s.Snapshot.GetIndex()}
		err = saveUpTo(l, s, &a)
		_ = l.Close()
		if err == nil || fs.Crashed() {
			return a
		}
		mustBeFull(t, err)
	}
	t.Fatal("the folder didn't open again on a disk with room")
	return a
}

func mustBeFull(t *testing.T, err error) {
	t.Helper()
	if fault.KindOf(err) == fault.Corrupt || !strings.Contains(err.Error(), faultfs.ErrFull.Error()) {
		t.Fatalf("on a full disk: %v", err)
	}
}

// saveUpTo saves the entries up to lastWorkIndex that the log doesn't hold, with a
// snapshot after each third.
func saveUpTo(l *wal.Log, s *wal.State, a *acknowledged) error {
	hard := &wire.HardState{Term: 2, Vote: "b"}
	for i := s.Snapshot.GetIndex() + uint64(len(s.Entries)) + 1; i <= lastWorkIndex; i++ {
		if err := l.Save(hard, []*wire.LogEntry{newEntry(i, 2)}); err != nil {
			return err
		}
		a.term, a.last = 2, i
		if i%3 != 0 {
			continue
		}
		if err := l.SaveSnapshot(&wire.LogSnapshot{Index: i - 1, Term: 2, State: []byte("state")}, hard, []*wire.LogEntry{newEntry(i, 2)}); err != nil {
			return err
		}
		a.snapshot = i - 1
	}
	return nil
}

// leftFiles returns the names of a folder beyond those that an open log needs.
func leftFiles(fs *faultfs.FS, snapshot uint64) (left []string) {
	names, _ := fs.ReadDir(folder)
	logs := 0
	for _, name := range names {
		switch {
		case name == "replica-id", name == fmt.Sprintf("snapshot-%020d", snapshot):
		case strings.HasPrefix(name, "log-") && !strings.HasSuffix(name, ".tmp") && logs == 0:
			logs++
		default:
			left = append(left, name)
		}
	}
	return left
}

// fullDisks calls try with a disk for each point at which it becomes full, and for several
// durations.
func fullDisks(t *testing.T, seeds uint64, try func(what string, fs *faultfs.FS)) {
	t.Helper()
	whole := newDisk(0)
	persistentWorkload(t, whole)
	tried := 0
	for at := 1; at <= whole.CrashPoints(); at++ {
		for _, points := range []int{1, 2, 3, 5, 8, 13, 40} {
			for seed := range 2 * seeds {
				fs := newDisk(seed / 2)
				fs.FullAt, fs.FullUntil, fs.FullSyncs = at, at+points, seed%2 == 1
				try(fmt.Sprintf("full from %d for %d, seed %d", at, points, seed), fs)
				tried++
			}
		}
	}
	t.Logf("%d full disks at %d crash points", tried, whole.CrashPoints())
}

func TestFailedOpeningLeavesNoFileOpen(t *testing.T) {
	fullDisks(t, 1, func(what string, fs *faultfs.FS) {
		for range 20 {
			l, _, err := wal.Open(folder, fs, rand.Reader)
			if err == nil {
				_ = l.Close()
			}
			if n := fs.OpenFiles(); n != 0 {
				t.Fatalf("%s: %d files are open after an opening that ended with %v", what, n, err)
			}
		}
	})
}

func TestFullDiskOpensAgainWithAllThatWasAcknowledged(t *testing.T) {
	fullDisks(t, 1, func(what string, fs *faultfs.FS) {
		a := persistentWorkload(t, fs)
		if a.last != lastWorkIndex {
			t.Fatalf("%s: %+v", what, a)
		}
		fs.FullAt, fs.Full = 0, false
		l, s := mustOpen(t, fs)
		checkRecovered(t, 0, a, s)
		if left := leftFiles(fs, s.Snapshot.GetIndex()); len(left) != 0 || fs.OpenFiles() != 1 {
			t.Fatalf("%s: left over: %q, %d files open", what, left, fs.OpenFiles())
		}
		_ = l.Close()
	})
}

func TestPowerLossAfterFullDiskOpensAgain(t *testing.T) {
	fullDisks(t, 1, func(what string, fs *faultfs.FS) {
		for after := 1; after < 60; after += 1 + after/8 {
			fs := copyOf(fs)
			fs.CrashAt = fs.FullAt + after
			a := persistentWorkload(t, fs)
			fs.FullAt, fs.Full = 0, false
			for range 3 {
				fs.Restart()
				l, s, err := wal.Open(folder, fs, rand.Reader)
				if err != nil {
					t.Fatalf("%s, crash %d later: %v", what, after, err)
				}
				checkRecovered(t, after, a, s)
				_ = l.Close()
			}
		}
	})
}

func TestFailedSnapshotLeavesNoTemporaryFile(t *testing.T) {
	fs := newDisk(1)
	l, _ := mustOpen(t, fs)
	fs.CapacityBytes = 1
	for i := range uint64(3) {
		if l.WriteSnapshot(&wire.LogSnapshot{Index: i + 1, State: make([]byte, 100)}) == nil {
			t.Fatal("a snapshot was written on a full disk")
		}
	}
	if left := leftFiles(fs, 0); len(left) != 0 {
		t.Fatalf("left over: %q", left)
	}
}

func TestFilesOfACrashDoNotKeepAFullDiskFromOpening(t *testing.T) {
	for _, left := range []string{"snapshot-7.tmp", "snapshot-00000000000000000007", "log-00000000000000000000"} {
		fs := newDisk(1)
		saveEntries(t, fs, 4)
		size := fs.Size(logFile(t, fs))
		file, err := fs.Create(filepath.Join(folder, left))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := file.Write(make([]byte, 1000)); err != nil {
			t.Fatal(err)
		}
		_ = file.Close()
		fs.CapacityBytes = 1000 + size
		if _, s := mustOpen(t, fs); len(s.Entries) != 4 {
			t.Fatalf("%s: %d entries", left, len(s.Entries))
		}
	}
}

// copyOf returns an empty disk that becomes full like another one, on which changes of
// names survive in any order.
func copyOf(other *faultfs.FS) *faultfs.FS {
	fs := newDisk(uint64(other.FullAt))
	fs.FullAt, fs.FullUntil, fs.FullSyncs, fs.Unordered = other.FullAt, other.FullUntil, other.FullSyncs, true
	return fs
}

// Sizes that coordination/replica keeps to with the largest catalogue.
const (
	smallDiskBytes    = 64_000_000
	longestLogBytes   = 21 << 20
	largestStateBytes = 8 << 20
)

// Guards against a folder that is within its bounds and can't be opened again for want of
// room, as opening writes the log anew beside the old one, also after a snapshot that was
// cut off.
func TestLongestLogOpensOnASmallDisk(t *testing.T) {
	fs := faultfs.New(func(int) int { return 0 })
	fs.CapacityBytes = smallDiskBytes
	l, _, err := wal.Open(folder, fs, rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	hard := &wire.HardState{Term: 2, Vote: "b"}
	if err := l.SaveSnapshot(&wire.LogSnapshot{Index: 1, Term: 2, State: make([]byte, largestStateBytes)}, hard, nil); err != nil {
		t.Fatal(err)
	}
	last := uint64(1)
	for l.Size() < longestLogBytes {
		last++
		e := newEntry(last, 2)
		e.Data = make([]byte, 1<<20)
		if err := l.Save(nil, []*wire.LogEntry{e}); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.WriteSnapshot(&wire.LogSnapshot{Index: last, Term: 2, State: make([]byte, largestStateBytes)}); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	for range 2 {
		l, s, err := wal.Open(folder, fs, rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		if s.Snapshot.GetIndex() != 1 || uint64(len(s.Entries)) != last-1 {
			t.Fatalf("snapshot at %d and %d entries, want 1 and %d", s.Snapshot.GetIndex(), len(s.Entries), last-1)
		}
		_ = l.Close()
	}
	if fs.PeakBytes > smallDiskBytes {
		t.Errorf("%d bytes were needed", fs.PeakBytes)
	}
}
