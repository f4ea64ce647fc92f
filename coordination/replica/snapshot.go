package replica

import (
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// writtenSnapshot is the end of a snapshot's write beside the replica's work.
type writtenSnapshot struct {
	snapshot *wire.LogSnapshot
	err      error
}

// maybeSnapshot starts a snapshot when enough entries have been applied since
// the last one and the log has grown to its size, so that a large state is not
// written again for a few small changes.
func (r *Replica) maybeSnapshot() error {
	s := r.raft.Status()
	if r.writing || s.Applied < r.snapshotted+r.options.SnapshotIntervalEntries || r.log.Bytes() < r.snapshotBytes {
		return nil
	}
	state, err := r.machine.Snapshot()
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the state can't be encoded")
	}
	term, ok := r.raft.TermAt(s.Applied)
	if !ok {
		return nil
	}
	snapshot := &wire.LogSnapshot{
		Index:   s.Applied,
		Term:    term,
		Members: r.raft.MembersAt(s.Applied),
		TimeMs:  r.lastTime,
		State:   state,
	}
	r.writing = true
	r.spawn(func() { r.written <- writtenSnapshot{snapshot, r.log.WriteSnapshot(snapshot)} })
	return nil
}

// useSnapshot rests the log on a snapshot that has been written.
func (r *Replica) useSnapshot(w writtenSnapshot) error {
	r.writing = false
	tail := r.raft.Entries(w.snapshot.Index + 1)
	if err := r.log.UseSnapshot(w.snapshot, r.hard, tail, w.err); err != nil {
		return err
	}
	r.snapshotted = w.snapshot.Index
	r.snapshotBytes = int64(len(w.snapshot.State))
	keepFrom := w.snapshot.Index + 1 - min(w.snapshot.Index, r.options.KeptEntries)
	r.raft.Compact(w.snapshot, keepFrom)
	return nil
}

// discardSnapshot ends a write that a received, newer snapshot has overtaken.
func (r *Replica) discardSnapshot() error {
	if !r.writing {
		return nil
	}
	r.writing = false
	return (<-r.written).err
}
