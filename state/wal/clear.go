package wal

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// clearedFile is the name of the identity while the folder is being cleared.
const clearedFile = "cleared"

// Clear deletes the state of a replica that has ended, so that the next Open starts a new
// one. If it is interrupted, the folder keeps all of its state, or Open ends the clearing.
func Clear(folder string, files FileSystem) error {
	lock, err := files.Lock(filepath.Join(folder, lockFile))
	if err != nil {
		return fault.Wrap(err, fault.Conflict, "the data folder %s is in use by another process", folder)
	}
	defer lock.Close()
	l := &Log{folder: folder, files: files, lock: lock}
	names, err := files.ReadDir(folder)
	if err != nil {
		return err
	}
	if slices.Contains(names, identityFile) {
		if err := files.Rename(filepath.Join(folder, identityFile), filepath.Join(folder, clearedFile)); err != nil {
			return err
		}
	}
	return l.endClearing(names)
}

// endClearing removes the state in a folder, and then the mark that it is being cleared.
// Each step is synced before the next one.
func (l *Log) endClearing(names []string) error {
	if err := l.files.SyncDir(l.folder); err != nil {
		return err
	}
	for _, name := range names {
		if !isState(name) {
			continue
		}
		if err := l.files.Remove(filepath.Join(l.folder, name)); err != nil {
			return err
		}
	}
	if err := l.files.SyncDir(l.folder); err != nil {
		return err
	}
	if err := l.files.Remove(filepath.Join(l.folder, clearedFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return l.files.SyncDir(l.folder)
}

// isState reports whether a file holds a log or a snapshot, also a temporary one.
func isState(name string) bool {
	return strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix) || strings.HasSuffix(name, temporarySuffix)
}
