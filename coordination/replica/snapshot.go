package replica

import (
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// snapshotResult is the result of writing a snapshot in the background.
type snapshotResult struct {
	snapshot *wire.LogSnapshot
	err      error
}

// maybeSnapshot starts writing a snapshot in the background if enough entries have
// been applied since the last one. The log must also have grown to the size of
// that snapshot, so that a large state is not rewritten after a few small changes.
func (r *Replica) maybeSnapshot() error {
	s := r.raft.Status()
	if r.writingSnapshot || s.Applied < r.lastSnapshotIndex+r.options.SnapshotIntervalEntries || r.log.Size() < r.lastSnapshotBytes {
		return nil
	}
	state, err := r.stateMachine.Snapshot()
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the state machine's state can't be encoded")
	}
	term, ok := r.raft.TermAt(s.Applied)
	if !ok {
		return nil
	}
	snapshot := &wire.LogSnapshot{
		Index:   s.Applied,
		Term:    term,
		Members: r.raft.MembersAt(s.Applied),
		TimeMs:  r.lastTimeMs,
		State:   state,
	}
	r.writingSnapshot = true
	r.runAsync(func() { r.snapshotResults <- snapshotResult{snapshot, r.log.WriteSnapshot(snapshot)} })
	return nil
}

// finishSnapshot makes the log start from a snapshot that has been written, and
// compacts it.
func (r *Replica) finishSnapshot(w snapshotResult) error {
	r.writingSnapshot = false
	tail := r.raft.Entries(w.snapshot.Index + 1)
	if err := r.log.UseSnapshot(w.snapshot, r.hardState, tail, w.err); err != nil {
		return err
	}
	r.lastSnapshotIndex = w.snapshot.Index
	r.lastSnapshotBytes = int64(len(w.snapshot.State))
	keepFrom := w.snapshot.Index + 1 - min(w.snapshot.Index, r.options.KeptEntries)
	r.raft.Compact(w.snapshot, keepFrom)
	return nil
}

// discardSnapshot waits for a snapshot being written and drops it, as a newer one
// has been received from the leader.
func (r *Replica) discardSnapshot() error {
	if !r.writingSnapshot {
		return nil
	}
	r.writingSnapshot = false
	return (<-r.snapshotResults).err
}
