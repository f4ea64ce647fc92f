package controlplane

import (
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/state/wal"
	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
)

// simDisk is the disk of a simulated host. It may be used by several goroutines, and its
// syncs may take long.
type simDisk struct {
	mu         sync.Mutex
	fs         *faultfs.FS
	stallUntil time.Time // before which no sync begins
}

func newSimDisk(random *rand.Rand) *simDisk {
	own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	return &simDisk{fs: faultfs.New(own.IntN)}
}

// with calls f while nothing else uses the disk.
func (d *simDisk) with(f func(fs *faultfs.FS)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.fs)
}

func (d *simDisk) stall(until time.Time) { d.with(func(*faultfs.FS) { d.stallUntil = until }) }

// awaitStall waits until syncs begin again.
func (d *simDisk) awaitStall() {
	var until time.Time
	d.with(func(*faultfs.FS) { until = d.stallUntil })
	time.Sleep(time.Until(until))
}

// simDisk implements wal.FileSystem.

func (d *simDisk) MkdirAll(string) error { return nil }

func (d *simDisk) Create(path string) (created wal.File, err error) {
	d.with(func(fs *faultfs.FS) {
		var file wal.File
		if file, err = fs.Create(path); err == nil {
			created = &simFile{disk: d, file: file}
		}
	})
	return created, err
}

func (d *simDisk) ReadFile(path string) (data []byte, err error) {
	d.with(func(fs *faultfs.FS) { data, err = fs.ReadFile(path) })
	return data, err
}

func (d *simDisk) ReadDir(path string) (names []string, err error) {
	d.with(func(fs *faultfs.FS) { names, err = fs.ReadDir(path) })
	return names, err
}

func (d *simDisk) Rename(from, to string) (err error) {
	d.with(func(fs *faultfs.FS) { err = fs.Rename(from, to) })
	return err
}

func (d *simDisk) Remove(path string) (err error) {
	d.with(func(fs *faultfs.FS) { err = fs.Remove(path) })
	return err
}

func (d *simDisk) SyncDir(path string) (err error) {
	d.awaitStall()
	d.with(func(fs *faultfs.FS) { err = fs.SyncDir(path) })
	return err
}

func (d *simDisk) Lock(path string) (lock io.Closer, err error) {
	d.with(func(fs *faultfs.FS) { lock, err = fs.Lock(path) })
	if err != nil {
		return nil, err
	}
	return &simLock{disk: d, lock: lock}, nil
}

type simLock struct {
	disk *simDisk
	lock io.Closer
}

func (l *simLock) Close() (err error) {
	l.disk.with(func(*faultfs.FS) { err = l.lock.Close() })
	return err
}

type simFile struct {
	disk *simDisk
	file wal.File
}

func (f *simFile) Write(data []byte) (n int, err error) {
	f.disk.with(func(*faultfs.FS) { n, err = f.file.Write(data) })
	return n, err
}

func (f *simFile) Sync() (err error) {
	f.disk.awaitStall()
	f.disk.with(func(*faultfs.FS) { err = f.file.Sync() })
	return err
}

func (f *simFile) Close() (err error) {
	f.disk.with(func(*faultfs.FS) { err = f.file.Close() })
	return err
}
