// Package wal stores a replica's identity, hard state, log and snapshots in one
// data folder. Save and SaveSnapshot return after the data is synced. After a
// failed write or sync of the log file the log refuses all further use.
package wal

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

const (
	identityFile    = "replica-id"
	lockFile        = "lock"
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
	identityBytes   = 16
)

// State is what the data folder held when it was opened.
type State struct {
	ID        string
	Created   bool // the folder was empty
	HardState *wire.HardState
	Snapshot  *wire.LogSnapshot // nil when there is none
	Entries   []*wire.LogEntry  // after the snapshot
	TornBytes int               // bytes of a torn frame that were cut off the log file
}

// Log is an open data folder. It is not safe for concurrent use, except as stated for
// WriteSnapshot.
type Log struct {
	folder     string
	files      FileSystem
	lock       io.Closer
	file       File
	generation uint64 // number in the name of the current file
	sequence   uint64 // of the next frame
	bytes      int64  // size of the current file
	failed     error  // first failed write or sync, or the error after Close; later writes return it
}

// Open locks a data folder, reads it and starts a new log file with the state that
// is still needed. An empty folder gets a new identity, read from entropy.
func Open(folder string, files FileSystem, entropy io.Reader) (*Log, *State, error) {
	if err := files.MkdirAll(folder); err != nil {
		return nil, nil, fault.Wrap(err, fault.Internal, "the data folder %s can't be created", folder)
	}
	if err := files.SyncDir(filepath.Dir(folder)); err != nil {
		return nil, nil, fault.Wrap(err, fault.Internal, "the parent folder of %s can't be synced", folder)
	}
	lock, err := files.Lock(filepath.Join(folder, lockFile))
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.Conflict, "the data folder %s is in use by another process", folder)
	}
	l := &Log{folder: folder, files: files, lock: lock}
	state, err := l.load(entropy)
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	return l, state, nil
}

func (l *Log) load(entropy io.Reader) (*State, error) {
	names, err := l.readNames()
	if err != nil {
		return nil, err
	}
	state := &State{HardState: &wire.HardState{}}
	current := newest(names, logPrefix)
	if current != "" {
		if err := l.readLog(current, state); err != nil {
			return nil, err
		}
	} else if slices.Contains(names, identityFile) {
		return nil, fault.New(fault.Corrupt, "%s has an identity but no log", l.folder)
	}
	l.freeRoom(names, state.Snapshot.GetIndex())
	if err := l.startLogFile(state.HardState, state.Snapshot.GetIndex(), state.Entries); err != nil {
		return nil, l.fail(err)
	}
	if err := l.loadIdentity(names, state, entropy); err != nil {
		return nil, err
	}
	l.removeOldFiles(names, state.Snapshot.GetIndex())
	return state, nil
}

// readNames returns the names in the folder, after it has ended a clearing that was
// interrupted.
func (l *Log) readNames() ([]string, error) {
	names, err := l.files.ReadDir(l.folder)
	if err == nil && slices.Contains(names, clearedFile) {
		if err = l.endClearing(names); err == nil {
			names, err = l.files.ReadDir(l.folder)
		}
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the data folder %s can't be read or cleared", l.folder)
	}
	return names, nil
}

// loadIdentity reads the identity, or creates one in a folder without any state.
func (l *Log) loadIdentity(names []string, state *State, entropy io.Reader) error {
	path := filepath.Join(l.folder, identityFile)
	if slices.Contains(names, identityFile) {
		data, err := l.files.ReadFile(path)
		if err != nil {
			return fault.Wrap(err, fault.Internal, "%s can't be read", path)
		}
		state.ID = strings.TrimSpace(string(data))
		if raw, err := hex.DecodeString(state.ID); err != nil || len(raw) != identityBytes {
			return corrupt(path, 0, "the identity is damaged")
		}
		return nil
	}
	if state.HardState.Term != 0 || state.Snapshot != nil || len(state.Entries) != 0 {
		return fault.New(fault.Corrupt, "%s has a log but no identity", l.folder)
	}
	raw := make([]byte, identityBytes)
	if _, err := io.ReadFull(entropy, raw); err != nil {
		return err
	}
	state.ID, state.Created = hex.EncodeToString(raw), true
	return l.fail(l.writeAtomically(identityFile, []byte(state.ID+"\n")))
}

func newest(names []string, prefix string) string {
	found := ""
	for _, name := range names {
		if strings.HasPrefix(name, prefix) && !strings.HasSuffix(name, temporarySuffix) && name > found {
			found = name
		}
	}
	return found
}

func (l *Log) readLog(name string, state *State) error {
	path := filepath.Join(l.folder, name)
	if _, err := fmt.Sscanf(name, logPrefix+"%d", &l.generation); err != nil {
		return corrupt(path, 0, "the file name is damaged")
	}
	data, err := l.files.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "%s can't be read", path)
	}
	payloads, torn, err := decodeFrames(path, data)
	if err != nil {
		return err
	}
	if len(payloads) == 0 {
		return corrupt(path, 0, "the first frame is damaged")
	}
	state.TornBytes = torn
	for i, payload := range payloads {
		if err := l.replay(path, i == 0, payload, state); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) replay(path string, first bool, payload []byte, state *State) error {
	batch := &wire.LogBatch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return corrupt(path, 0, "a frame can't be decoded")
	}
	if first && batch.SnapshotIndex > 0 {
		snapshot, err := l.readSnapshot(batch.SnapshotIndex)
		if err != nil {
			return err
		}
		state.Snapshot = snapshot
	}
	if batch.HardState != nil {
		state.HardState = batch.HardState
	}
	base := state.Snapshot.GetIndex()
	for _, e := range batch.Entries {
		at := e.Index - base - 1
		if e.Index <= base || at > uint64(len(state.Entries)) {
			return fault.New(fault.Corrupt, "%s lacks the entries before index %d", path, e.Index)
		}
		state.Entries = append(state.Entries[:at], e)
	}
	return nil
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

func (l *Log) readSnapshot(index uint64) (*wire.LogSnapshot, error) {
	path := filepath.Join(l.folder, snapshotName(index))
	data, err := l.files.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fault.New(fault.Corrupt, "%s is missing", path)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "%s can't be read", path)
	}
	payloads, torn, err := decodeFrames(path, data)
	if err != nil {
		return nil, err
	}
	snapshot := &wire.LogSnapshot{}
	if len(payloads) != 1 || torn != 0 {
		return nil, corrupt(path, 0, "the snapshot is damaged")
	}
	if err := proto.Unmarshal(payloads[0], snapshot); err != nil || snapshot.Index != index {
		return nil, corrupt(path, 0, "the snapshot can't be decoded")
	}
	return snapshot, nil
}
