package replica

import (
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// snapshotRetryTicks is the number of ticks after which a snapshot is tried again that
// could not be written, 9 s with the default tick.
const snapshotRetryTicks = 300

// Shares of Options.SnapshotIntervalBytes: 64 KiB and 1 MiB with the default.
const (
	smallCommandShare = 1.0 / 64 // size up to which a command counts as small
	smallRoomShare    = 1.0 / 4  // room for small commands beyond logLimit
)

// snapshotResult is the result of writing a snapshot in the background.
type snapshotResult struct {
	snapshot *wire.LogSnapshot
	err      error
}

// maybeSnapshot starts writing a snapshot in the background if one is due.
func (r *Replica) maybeSnapshot() error {
	if s := r.raft.Status(); r.snapshotDue(s.Applied) {
		return r.startSnapshot(s.Applied)
	}
	return nil
}

// snapshotDue reports whether enough entries, or bytes, have been written since the last
// snapshot. The log must also have grown to the size of that snapshot, so that a large
// state is not rewritten after a few small changes.
func (r *Replica) snapshotDue(applied uint64) bool {
	if r.writingSnapshot || r.ticks < r.nextSnapshotTick || applied <= r.lastSnapshotIndex || r.log.Size() < r.lastSnapshotBytes {
		return false
	}
	return applied >= r.lastSnapshotIndex+r.options.SnapshotIntervalEntries || r.log.Size() >= r.options.SnapshotIntervalBytes
}

// logLimit returns the size that the log file may reach while snapshots can be written.
func (r *Replica) logLimit() int64 {
	return maxLogIntervals * max(r.options.SnapshotIntervalBytes, r.lastSnapshotBytes/2)
}

// checkRoom returns the error of a proposal for which the log has no room before its next
// snapshot. Small commands have room of their own, so that large ones don't keep an order
// from being carried out.
func (r *Replica) checkRoom(commandBytes int) error {
	limit := r.logLimit()
	if interval := float64(r.options.SnapshotIntervalBytes); float64(commandBytes) <= interval*smallCommandShare {
		limit += int64(interval * smallRoomShare)
	}
	if r.log.Size()+r.unsavedBytes+int64(commandBytes) <= limit {
		return nil
	}
	err := fault.New(fault.Overloaded, "the log of the control group holds %d bytes, of %d at most, until its next snapshot is written; "+
		"if this lasts, free space on the disk of %s or replace the disk", r.log.Size()+r.unsavedBytes, limit, r.options.DataFolder).WithRetryAfter(retryAfter)
	r.logger.RateLimitedWarn("log limit").Str("replica", r.id).Int("command_bytes", commandBytes).Err(err).Msg("A change is refused, as the log is too long.")
	return err
}

// makeRoom waits for a snapshot if the entries would make the log file too long. A leader
// limits what it sends in the same way, but its snapshots may be newer.
func (r *Replica) makeRoom(entries []*wire.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	size, unsaved := dataBytes(entries), entries[0].Index
	for range 2 { // the one being written may be too old
		if r.log.Size()+size <= r.logLimit() {
			return nil
		}
		if applied := r.raft.Status().Applied; !r.writingSnapshot && r.ticks >= r.nextSnapshotTick && applied > r.lastSnapshotIndex {
			if err := r.startSnapshot(applied); err != nil {
				return err
			}
		}
		if !r.writingSnapshot {
			break
		}
		if err := r.useSnapshot(<-r.snapshotResults, unsaved); err != nil {
			return err
		}
	}
	return r.dropOverwritten(size, unsaved)
}

// dropOverwritten writes the log file anew if entries of the given size would make it too
// long and much of it is entries that a leader has overwritten.
func (r *Replica) dropOverwritten(size int64, unsaved uint64) error {
	tail := r.savedAfter(r.lastSnapshotIndex, unsaved)
	if r.log.Size()+size <= r.logLimit() || r.log.Size()-dataBytes(tail) < r.options.SnapshotIntervalBytes {
		return nil
	}
	if err := r.log.Rewrite(r.lastSnapshotIndex, r.hardState, tail); err != nil {
		r.logger.RateLimitedWarn("rewrite").Str("replica", r.id).Int64("log_bytes", r.log.Size()).Err(err).Msg("The log can't be written anew; it is kept.")
	}
	return r.log.Err()
}

// savedAfter returns the saved entries after an index, given the index of the first one that
// is not saved.
func (r *Replica) savedAfter(index, unsaved uint64) []*wire.LogEntry {
	tail := r.raft.Entries(index + 1)
	return tail[:min(uint64(len(tail)), unsaved-min(unsaved, index+1))]
}

func dataBytes(entries []*wire.LogEntry) (size int64) {
	for _, e := range entries {
		size += int64(len(e.Data))
	}
	return size
}

// startSnapshot starts writing a snapshot of the applied state in the background.
func (r *Replica) startSnapshot(applied uint64) error {
	state, err := r.stateMachine.Snapshot()
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the state machine's state can't be encoded")
	}
	term, ok := r.raft.TermAt(applied)
	if !ok {
		return nil
	}
	snapshot := &wire.LogSnapshot{
		Index:   applied,
		Term:    term,
		Members: r.raft.MembersAt(applied),
		TimeMs:  r.lastTimeMs,
		State:   state,
	}
	r.writingSnapshot = true
	r.runAsync(func() { r.snapshotResults <- snapshotResult{snapshot, r.log.WriteSnapshot(snapshot)} })
	return nil
}

// finishSnapshot makes the log start from a snapshot that has been written, and
// compacts it. All entries are saved. It returns an error if the log can't go on.
func (r *Replica) finishSnapshot(w snapshotResult) error {
	return r.useSnapshot(w, r.raft.Status().LastIndex+1)
}

// useSnapshot is finishSnapshot with the index of the first entry that is not saved.
func (r *Replica) useSnapshot(w snapshotResult, unsaved uint64) error {
	r.writingSnapshot = false
	err := w.err
	if err == nil {
		err = r.log.UseSnapshot(w.snapshot, r.hardState, r.savedAfter(w.snapshot.Index, unsaved))
	}
	if err != nil {
		r.postponeSnapshot(w.snapshot.Index, err)
		return r.log.Err()
	}
	r.lastSnapshotIndex = w.snapshot.Index
	r.lastSnapshotBytes = int64(len(w.snapshot.State))
	r.raft.Compact(w.snapshot, r.keepFrom(w.snapshot.Index))
	return nil
}

// keepFrom returns the index of the first entry to keep for slow followers, given the
// index of the snapshot.
func (r *Replica) keepFrom(snapshot uint64) uint64 {
	from := snapshot + 1 - min(snapshot, r.options.KeptEntries)
	entries := r.raft.Entries(from)
	size, keep := 0, snapshot+1
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Index > snapshot {
			continue
		}
		if size += len(entries[i].Data); size > r.options.KeptBytes {
			break
		}
		keep = entries[i].Index
	}
	return keep
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
