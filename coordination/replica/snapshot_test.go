package replica

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/state/wal"
)

// gatedFiles holds up the sync of snapshots until the gate is closed.
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

func TestSlowSnapshotHoldsUpNoProposal(t *testing.T) {
	files := gatedFiles{gate: make(chan struct{}), waiting: make(chan struct{}, 1)}
	machine := &ledger{}
	folder := t.TempDir()
	r, err := Open(Options{Folder: folder, Address: "a", Bootstrap: true, Machine: machine, Dial: dial, Files: files, SnapshotInterval: 10})
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
	close(files.gate)
	for r.Status().SnapshotIndex == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	again := &ledger{}
	if _, err := Open(Options{Folder: folder, Address: "a", Machine: again, Dial: dial}); err != nil {
		t.Fatal(err)
	}
	if n := len(again.list()); n < 10 {
		t.Fatalf("the snapshot holds %d operations", n)
	}
}
