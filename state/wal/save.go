package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// Save writes and syncs a hard state (nil when unchanged) and entries. An entry at
// an index that the log already holds replaces that entry and all later ones.
func (l *Log) Save(hard *wire.HardState, entries []*wire.LogEntry) error {
	if l.failed != nil {
		return l.failed
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	return l.fail(l.write(&wire.LogBatch{HardState: hard, Entries: entries}))
}

// SaveSnapshot writes and syncs a snapshot and starts a new log file with the hard
// state and the entries after the snapshot. It removes older files.
func (l *Log) SaveSnapshot(snapshot *wire.LogSnapshot, hard *wire.HardState, tail []*wire.LogEntry) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.WriteSnapshot(snapshot); err != nil {
		return l.fail(err)
	}
	return l.fail(l.UseSnapshot(snapshot, hard, tail))
}

// WriteSnapshot writes and syncs a snapshot that the log doesn't use yet, so the log goes
// on if that fails. It is the only method that may run concurrently with Save, but not
// with UseSnapshot or SaveSnapshot.
func (l *Log) WriteSnapshot(snapshot *wire.LogSnapshot) error {
	payload, err := proto.Marshal(snapshot)
	if err != nil {
		return err
	}
	return l.writeAtomically(snapshotName(snapshot.Index), encodeFrame(0, payload))
}

// UseSnapshot starts a new log file after a snapshot that WriteSnapshot has written, and
// removes older files. If it fails before the new file has its name, the log goes on with
// the current file and Err returns nil.
func (l *Log) UseSnapshot(snapshot *wire.LogSnapshot, hard *wire.HardState, tail []*wire.LogEntry) error {
	return l.Rewrite(snapshot.Index, hard, tail)
}

// Rewrite is UseSnapshot for the index of a snapshot, which may be the one in use or 0 for
// none. It drops what the file holds beside the given state.
func (l *Log) Rewrite(snapshotIndex uint64, hard *wire.HardState, tail []*wire.LogEntry) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.startLogFile(hard, snapshotIndex, tail); err != nil {
		return err
	}
	if names, err := l.files.ReadDir(l.folder); err == nil {
		l.removeOldFiles(names, snapshotIndex)
	}
	return nil
}

// Err returns the failure after which the log refuses all use, or nil.
func (l *Log) Err() error { return l.failed }

// Size returns the size of the current log file in bytes.
func (l *Log) Size() int64 { return l.bytes }

// Close closes the log and unlocks the data folder. Later writes fail with the message
// of a data folder that can't be written, and "the log is closed" as its cause.
func (l *Log) Close() error {
	if l.file != nil {
		_ = l.file.Close()
	}
	l.fail(fault.New(fault.Internal, "the log is closed"))
	return l.lock.Close()
}

// fail records the first failure, which makes all later writes fail, and returns the
// recorded one. It returns nil if err is nil and nothing has failed.
func (l *Log) fail(err error) error {
	if err != nil && l.failed == nil {
		l.failed = fault.Wrap(err, fault.Internal, "the data folder %s can't be written; free space on its disk or replace the disk, then restart", l.folder)
	}
	return l.failed
}

func (l *Log) write(batch *wire.LogBatch) error {
	payload, err := proto.Marshal(batch)
	if err != nil {
		return err
	}
	frame := encodeFrame(l.sequence, payload)
	if _, err := l.file.Write(frame); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.sequence++
	l.bytes += int64(len(frame))
	return nil
}

// writeAtomically writes and syncs a file under a temporary name and then renames it, so
// that the file is either complete or absent after a crash.
func (l *Log) writeAtomically(name string, data []byte) error {
	path := filepath.Join(l.folder, name)
	file, err := l.writeTemporary(path, data)
	if err != nil {
		return err
	}
	_ = file.Close() // it is synced
	return l.renameAndSync(path)
}

// writeTemporary writes and syncs the temporary file of a path and returns it open. A
// failure leaves no file.
func (l *Log) writeTemporary(path string, data []byte) (File, error) {
	file, err := l.files.Create(path + temporarySuffix)
	if err != nil {
		return nil, err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		_ = file.Close()
		_ = l.files.Remove(path + temporarySuffix)
		return nil, err
	}
	return file, nil
}

// renameAndSync gives a temporary file its name and syncs the folder, so that the
// rename survives a crash.
func (l *Log) renameAndSync(path string) error {
	if err := l.files.Rename(path+temporarySuffix, path); err != nil {
		_ = l.files.Remove(path + temporarySuffix)
		return err
	}
	return l.files.SyncDir(l.folder)
}

// startLogFile starts the next log file, whose first frame holds the given state. The
// current file stays in use if that fails before the new one has its name.
func (l *Log) startLogFile(hard *wire.HardState, snapshotIndex uint64, tail []*wire.LogEntry) error {
	payload, err := proto.Marshal(&wire.LogBatch{HardState: hard, Entries: tail, SnapshotIndex: snapshotIndex})
	if err != nil {
		return err
	}
	frame := encodeFrame(0, payload)
	path := filepath.Join(l.folder, fmt.Sprintf("%s%020d", logPrefix, l.generation+1))
	file, err := l.writeTemporary(path, frame)
	if err != nil {
		return err
	}
	if err := l.renameAndSync(path); err != nil {
		_ = file.Close()
		return l.fail(err)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = file
	l.generation++
	l.sequence = 1
	l.bytes = int64(len(frame))
	return nil
}

// freeRoom removes what a crash or a failed write has left, so that there is room for the
// next log file. Older files are removed only once the name of the current one is synced.
func (l *Log) freeRoom(names []string, snapshotIndex uint64) {
	l.remove(names, func(name string) bool { return strings.HasSuffix(name, temporarySuffix) })
	if l.files.SyncDir(l.folder) == nil {
		l.removeOldFiles(names, snapshotIndex)
	}
}

// removeOldFiles removes the files that the current log file doesn't need.
func (l *Log) removeOldFiles(names []string, snapshotIndex uint64) {
	current := fmt.Sprintf("%s%020d", logPrefix, l.generation)
	l.remove(names, func(name string) bool {
		return strings.HasSuffix(name, temporarySuffix) ||
			strings.HasPrefix(name, logPrefix) && name != current ||
			strings.HasPrefix(name, snapshotPrefix) && name != snapshotName(snapshotIndex)
	})
}

// remove removes the old ones of files. A file that is left over does no harm until the
// next try, so errors are ignored.
func (l *Log) remove(names []string, old func(name string) bool) {
	for _, name := range names {
		if old(name) {
			_ = l.files.Remove(filepath.Join(l.folder, name))
		}
	}
}
