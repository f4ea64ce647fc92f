package replica

import (
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// snapshotRetryTicks is the number of ticks after which a snapshot is tried again that
// could not be written, 9 s with the default tick.
const snapshotRetryTicks = 300

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
	if r.writingSnapshot || r.ticks < r.nextSnapshotTick || s.Applied < r.lastSnapshotIndex+r.options.SnapshotIntervalEntries || r.log.Size() < r.lastSnapshotBytes {
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
// compacts it. It returns an error if the log can't go on.
func (r *Replica) finishSnapshot(w snapshotResult) error {
	r.writingSnapshot = false
	err := w.err
	if err == nil {
		err = r.log.UseSnapshot(w.snapshot, r.hardState, r.raft.Entries(w.snapshot.Index+1))
	}
	if err != nil {
		r.postponeSnapshot(w.snapshot.Index, err)
		return r.log.Err()
	}
	r.lastSnapshotIndex = w.snapshot.Index
	r.lastSnapshotBytes = int64(len(w.snapshot.State))
	keepFrom := w.snapshot.Index + 1 - min(w.snapshot.Index, r.options.KeptEntries)
	r.raft.Compact(w.snapshot, keepFrom)
	return nil
}

// postponeSnapshot keeps the log as it is and lets the next snapshot wait.
func (r *Replica) postponeSnapshot(index uint64, err error) {
	r.nextSnapshotTick = r.ticks + snapshotRetryTicks
	r.logger.RateLimitedWarn("snapshot").Str("replica", r.id).Uint64("index", index).Int64("log_bytes", r.log.Size()).Err(err).
		Dur("pause", snapshotRetryTicks*r.options.TickInterval).Msg("A snapshot can't be written; the log is kept, and it is tried again after a pause.")
}

// discardSnapshot waits for a snapshot being written and drops it, as a newer one
// has been received from the leader.
func (r *Replica) discardSnapshot() {
	if r.writingSnapshot {
		r.writingSnapshot = false
		<-r.snapshotResults
	}
}
