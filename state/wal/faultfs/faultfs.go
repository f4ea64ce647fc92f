// Package faultfs is an in-memory file system for tests. After a crash it keeps
// what a disk is sure to keep: the contents of each file up to its last sync, and
// the names up to the last sync of the folder. Of later writes and names, a random
// part survives. It can crash at any operation, run out of space for a while and fail a
// sync.
package faultfs

import (
	"errors"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/apricotspoke/apricotspoke/state/wal"
)

// ErrCrashed is returned by every operation between a crash and Restart.
var ErrCrashed = errors.New("faultfs: crashed")

// ErrFull is returned by operations that need room on a full disk.
var ErrFull error = syscall.ENOSPC

// ErrSyncFailed is returned by a sync that is set to fail.
var ErrSyncFailed = errors.New("faultfs: sync failed")

type inode struct {
	data        []byte
	syncedBytes int
}

// FS is a disk with one folder. It is not safe for concurrent use.
type FS struct {
	names       map[string]*inode
	journal     []func(names map[string]*inode) // the changes of names since the last sync of the folder
	durable     map[string]*inode
	openFiles   int
	locked      bool
	crashed     bool
	crashPoints int
	random      func(n int) int

	PeakBytes      int // most bytes that all files together have held
	CrashAt        int // number of the crash point at which to crash; 0 for never
	CapacityBytes  int // of all files together; 0 for no limit
	SyncsToFailure int // the sync with this number, counted from now, fails; 0 for none

	// While Full is set, creates and writes fail, a write after half of its data. FullAt and
	// FullUntil are the first crash point at which Full is set by itself, and the one from
	// which it isn't any more; 0 for never.
	Full              bool
	FullAt, FullUntil int
	FullFor           string // pattern of the names of the files that find the disk full; "" for all
	FullSyncs         bool   // syncs and renames fail too while the disk is full
	Unordered         bool   // each unsynced change of a name survives a crash or not, whatever becomes of the others
}

// New returns an empty disk. random decides which unsynced data survives a crash.
func New(random func(n int) int) *FS {
	return &FS{names: map[string]*inode{}, durable: map[string]*inode{}, random: random}
}

// CrashPoints returns the number of crash points so far: one before and one after
// each operation that changes the disk.
func (f *FS) CrashPoints() int { return f.crashPoints }

// Crashed reports whether the disk has crashed and was not restarted.
func (f *FS) Crashed() bool { return f.crashed }

// Restart makes the disk usable again, with the data that survived the crash.
func (f *FS) Restart() {
	kept := f.random(len(f.journal) + 1)
	f.names = copyNames(f.durable)
	for i, change := range f.journal {
		if f.survives(i, kept) {
			change(f.names)
		}
	}
	f.durable = copyNames(f.names)
	f.journal = nil
	for _, path := range slices.Sorted(maps.Keys(f.names)) {
		f.tear(f.names[path])
	}
	f.locked, f.crashed, f.CrashAt, f.openFiles = false, false, 0, 0
}

// survives reports whether an unsynced change of a name survives a crash, given how many
// survive if they do so in order.
func (f *FS) survives(change, kept int) bool {
	if f.Unordered {
		return f.random(2) == 0
	}
	return change < kept
}

// OpenFiles returns the number of files that are open.
func (f *FS) OpenFiles() int { return f.openFiles }

// isFullFor reports whether the disk is full for a path at this crash point.
func (f *FS) isFullFor(path string) bool {
	if f.FullAt > 0 && f.crashPoints >= f.FullAt {
		f.Full = f.crashPoints < f.FullUntil
	}
	if !f.Full || f.FullFor == "" {
		return f.Full
	}
	matches, err := filepath.Match(f.FullFor, filepath.Base(path))
	return matches && err == nil
}

func (f *FS) isFullForSyncs(path string) bool { return f.isFullFor(path) && f.FullSyncs }

// pathOf returns the present path of a file, or "" if it was removed.
func (f *FS) pathOf(node *inode) string {
	for path, n := range f.names {
		if n == node {
			return path
		}
	}
	return ""
}

// tear keeps a random part of the unsynced tail, sometimes overwritten with zeros.
func (f *FS) tear(node *inode) {
	tail := len(node.data) - node.syncedBytes
	end := node.syncedBytes + f.random(tail+1)
	node.data = append([]byte(nil), node.data[:end]...)
	if f.random(3) == 0 {
		clear(node.data[node.syncedBytes:])
	}
	node.syncedBytes = len(node.data)
}

// FlipByte inverts all bits of one byte of a file.
func (f *FS) FlipByte(path string, offset int) { f.names[path].data[offset] ^= 0xff }

// Append adds synced bytes to a file.
func (f *FS) Append(path string, data []byte) {
	node := f.names[path]
	node.data = append(node.data, data...)
	node.syncedBytes = len(node.data)
}

// Size returns the length of a file.
func (f *FS) Size(path string) int { return len(f.names[path].data) }

func copyNames(names map[string]*inode) map[string]*inode {
	copied := make(map[string]*inode, len(names))
	for name, node := range names {
		copied[name] = node
	}
	return copied
}

// passCrashPoint counts a crash point and crashes the disk if CrashAt is reached.
func (f *FS) passCrashPoint() error {
	if f.crashed {
		return ErrCrashed
	}
	f.crashPoints++
	if f.crashPoints == f.CrashAt {
		f.crashed = true
		return ErrCrashed
	}
	return nil
}

// change runs an operation between two crash points.
func (f *FS) change(do func() error) error {
	if err := f.passCrashPoint(); err != nil {
		return err
	}
	if err := do(); err != nil {
		return err
	}
	return f.passCrashPoint()
}

func (f *FS) changeNames(isFull func() bool, do func(names map[string]*inode)) error {
	return f.change(func() error {
		if isFull() {
			return ErrFull
		}
		do(f.names)
		f.journal = append(f.journal, do)
		return nil
	})
}

// MkdirAll does nothing, since the one folder exists.
func (f *FS) MkdirAll(string) error { return nil }

// Create creates an empty file.
func (f *FS) Create(path string) (wal.File, error) {
	node := &inode{}
	isFull := func() bool { return f.isFullFor(path) }
	if err := f.changeNames(isFull, func(names map[string]*inode) { names[path] = node }); err != nil {
		return nil, err
	}
	f.openFiles++
	return &file{fs: f, node: node}, nil
}

// ReadFile returns a file's contents.
func (f *FS) ReadFile(path string) ([]byte, error) {
	node, ok := f.names[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), node.data...), nil
}

// ReadDir returns the sorted names in a folder.
func (f *FS) ReadDir(path string) ([]string, error) {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(f.names)) {
		if rest, ok := strings.CutPrefix(name, path+string(filepath.Separator)); ok {
			names = append(names, rest)
		}
	}
	return names, nil
}

// Rename moves a file, replacing any file at the new path.
func (f *FS) Rename(from, to string) error {
	node := f.names[from]
	isFull := func() bool { return f.isFullForSyncs(from) }
	return f.changeNames(isFull, func(names map[string]*inode) {
		names[to] = node
		delete(names, from)
	})
}

// Remove deletes a file.
func (f *FS) Remove(path string) error {
	never := func() bool { return false }
	return f.changeNames(never, func(names map[string]*inode) { delete(names, path) })
}

// SyncDir makes the present names durable.
func (f *FS) SyncDir(path string) error {
	return f.change(func() error {
		if err := f.countSync(path); err != nil {
			return err
		}
		f.durable, f.journal = copyNames(f.names), nil
		return nil
	})
}

// countSync counts a sync of a path and returns ErrSyncFailed if it is the one to fail, or ErrFull
// on a disk that is full for syncs.
func (f *FS) countSync(path string) error {
	if f.isFullForSyncs(path) {
		return ErrFull
	}
	if f.SyncsToFailure == 0 {
		return nil
	}
	f.SyncsToFailure--
	if f.SyncsToFailure == 0 {
		return ErrSyncFailed
	}
	return nil
}

// Lock takes the only lock of the disk.
func (f *FS) Lock(string) (io.Closer, error) {
	if f.locked {
		return nil, syscall.EWOULDBLOCK
	}
	f.locked = true
	return unlocker{f}, nil
}

type unlocker struct{ fs *FS }

func (u unlocker) Close() error {
	u.fs.locked = false
	return nil
}

type file struct {
	fs     *FS
	node   *inode
	closed bool
}

func (f *file) Write(data []byte) (int, error) {
	err := f.fs.change(func() error {
		if f.fs.isFullFor(f.fs.pathOf(f.node)) || f.fs.CapacityBytes > 0 && f.fs.usedBytes()+len(data) > f.fs.CapacityBytes {
			f.node.data = append(f.node.data, data[:len(data)/2]...)
			return ErrFull
		}
		f.node.data = append(f.node.data, data...)
		f.fs.PeakBytes = max(f.fs.PeakBytes, f.fs.usedBytes())
		return nil
	})
	return len(data), err
}

func (f *file) Sync() error {
	return f.fs.change(func() error {
		if err := f.fs.countSync(f.fs.pathOf(f.node)); err != nil {
			return err
		}
		f.node.syncedBytes = len(f.node.data)
		return nil
	})
}

// Close doesn't count towards the crash points.
func (f *file) Close() error {
	if !f.closed {
		f.closed = true
		f.fs.openFiles--
	}
	return nil
}

func (f *FS) usedBytes() int {
	total := 0
	for _, node := range f.names {
		total += len(node.data)
	}
	return total
}
