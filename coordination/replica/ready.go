package replica

import (
	"github.com/apricotspoke/apricotspoke/coordination/raft"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// processReady does all work that Raft has ready: sync, then send, then apply. A
// leader sends its entries before it syncs them, so that its own sync and those of
// the followers run in parallel. Raft counts the leader's own copy of an entry only
// once it is synced.
func (r *Replica) processReady() error {
	for {
		ready := r.raft.Ready()
		if ready.Empty() {
			break
		}
		members := r.raft.Status().Members
		beforeSync, afterSync := r.splitMessages(ready)
		r.send(beforeSync, members)
		if err := r.save(ready); err != nil {
			return err
		}
		r.send(afterSync, members)
		if err := r.apply(ready); err != nil {
			return err
		}
		r.raft.Advance(ready)
		r.answerReads(ready.ReadStates)
	}
	r.failPendingUnlessLeader()
	if err := r.maybeSnapshot(); err != nil {
		return err
	}
	r.publishStatus()
	return nil
}

// splitMessages returns the messages that may be sent before the sync, and the
// others. A leader whose term is already synced may send its appends and
// heartbeats first, since they don't claim that its log is synced.
func (r *Replica) splitMessages(ready raft.Ready) (beforeSync, afterSync []*wire.PeerMessage) {
	for _, m := range ready.Messages {
		if ready.HardState == nil && m.Term == r.hardState.Term && fromLeader(m) {
			beforeSync = append(beforeSync, m)
		} else {
			afterSync = append(afterSync, m)
		}
	}
	return beforeSync, afterSync
}

func fromLeader(m *wire.PeerMessage) bool {
	switch m.Kind {
	case wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND, wire.PeerMessageKind_PEER_MESSAGE_KIND_HEARTBEAT:
		return true
	}
	return false
}

func (r *Replica) save(ready raft.Ready) error {
	if ready.HardState != nil {
		r.hardState = ready.HardState
	}
	if ready.Snapshot != nil {
		r.discardSnapshot()
		if err := r.log.SaveSnapshot(ready.Snapshot, r.hardState, ready.Entries); err != nil {
			return err
		}
		r.lastTimeMs = max(r.lastTimeMs, ready.Snapshot.TimeMs)
		r.lastSnapshotIndex = ready.Snapshot.Index
		r.lastSnapshotBytes = int64(len(ready.Snapshot.State))
		r.observeCommandTimes(ready.Entries)
		return r.restore(ready.Snapshot)
	}
	r.observeCommandTimes(ready.Entries)
	return r.log.Save(ready.HardState, ready.Entries)
}

// restore replaces the state machine's state with a snapshot. Proposals that the
// snapshot covers end with an unknown outcome, since the snapshot doesn't say
// whether it contains them.
func (r *Replica) restore(s *wire.LogSnapshot) error {
	if err := r.stateMachine.Restore(s.State); err != nil {
		return fault.Wrap(err, fault.Corrupt, "the snapshot at index %d can't be restored", s.Index)
	}
	r.stateMachine.ApplyMembers(s.Index, s.Members)
	for index, p := range r.proposals {
		if index <= s.Index {
			delete(r.proposals, index)
			p.reply(nil, unknownOutcome())
		}
	}
	return nil
}

// observeCommandTimes raises lastTimeMs to the highest command time in entries,
// so that command times never decrease along the log.
func (r *Replica) observeCommandTimes(entries []*wire.LogEntry) {
	for _, e := range entries {
		if command := decodeCommand(e); command != nil {
			r.lastTimeMs = max(r.lastTimeMs, command.TimeMs)
		}
	}
}

func decodeCommand(e *wire.LogEntry) *wire.Command {
	if e.Kind != wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND {
		return nil
	}
	command := &wire.Command{}
	if err := proto.Unmarshal(e.Data, command); err != nil {
		return nil
	}
	return command
}

func (r *Replica) apply(ready raft.Ready) error {
	for _, e := range ready.CommittedEntries {
		var result any
		switch e.Kind {
		case wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND:
			command := decodeCommand(e)
			if command == nil {
				return fault.New(fault.Corrupt, "log entry %d can't be decoded", e.Index)
			}
			result = r.stateMachine.Apply(e.Index, command)
		case wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS:
			members := raft.DecodeMembers(e)
			r.reportRemovals(e.Index, members)
			r.stateMachine.ApplyMembers(e.Index, members)
		}
		r.answerProposal(e, result)
	}
	return nil
}
