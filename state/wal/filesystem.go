package wal

import (
	"io"
	"os"
	"syscall"
)

// FileSystem is the file system as the log uses it. Tests replace it to simulate a
// crash, a full disk or a failed sync.
type FileSystem interface {
	MkdirAll(path string) error
	Create(path string) (File, error) // truncates an existing file
	ReadFile(path string) ([]byte, error)
	ReadDir(path string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(path string) error
	Lock(path string) (io.Closer, error) // fails if another process holds the lock
}

// File is a file that is open for appending.
type File interface {
	io.WriteCloser
	Sync() error
}

// Disk is the operating system's file system.
type Disk struct{}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// MkdirAll creates a folder and its parents.
func (Disk) MkdirAll(path string) error { return os.MkdirAll(path, folderMode) }

// Create opens an empty file for writing.
func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
}

// ReadFile reads a whole file.
func (Disk) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir returns the names in a folder.
func (Disk) ReadDir(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Rename moves a file, replacing any file at the new path.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (Disk) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the creations, renames and removals in a folder durable.
func (Disk) SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Lock takes an exclusive lock, which Close or the end of the process releases.
func (Disk) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}
