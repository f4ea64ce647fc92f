package wal_test

import (
	"crypto/rand"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/wal"
	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
)

// diskWithState returns a disk on which a replica has saved entries and a snapshot.
func diskWithState(t *testing.T, seed uint64) (fs *faultfs.FS, id string) {
	t.Helper()
	fs = newDisk(seed)
	l, s := mustOpen(t, fs)
	if err := saveUpTo(l, s, &acknowledged{}); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return fs, s.ID
}

func TestFolderWhoseClearingWasCutOpensAgain(t *testing.T) {
	outcomes := make(map[bool]int)
	for point := 1; ; point++ {
		finished := false
		for seed := range uint64(50) {
			fs, id := diskWithState(t, seed)
			fs.Unordered = seed%2 == 1
			fs.CrashAt = fs.CrashPoints() + point
			err := wal.Clear(folder, fs)
			finished = !fs.Crashed()
			fs.Restart()
			checkCleared(t, fs, id, err == nil, outcomes)
		}
		if finished {
			break
		}
	}
	if outcomes[true] == 0 || outcomes[false] == 0 {
		t.Fatalf("folders cleared or not: %v", outcomes)
	}
}

// checkCleared checks that a folder holds either all of the state that it had, or a new
// replica's that stays.
func checkCleared(t *testing.T, fs *faultfs.FS, id string, wasCleared bool, outcomes map[bool]int) {
	t.Helper()
	l, s, err := wal.Open(folder, fs, rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	if (s.ID == id) == s.Created || wasCleared && !s.Created || !s.Created && s.Snapshot.GetIndex()+uint64(len(s.Entries)) != lastWorkIndex {
		t.Fatalf("the folder opened with %+v, cleared: %v", s, wasCleared)
	}
	outcomes[s.Created]++
	if err := l.Save(&wire.HardState{Term: 7}, nil); err != nil {
		t.Fatal(err)
	}
	fs.Restart()
	if _, again := mustOpen(t, fs); again.ID != s.ID || again.HardState.Term != 7 {
		t.Fatalf("after another crash the folder opened with %+v", again)
	}
}
