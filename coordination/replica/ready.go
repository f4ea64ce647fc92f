package replica

import (
	"github.com/apricotspoke/apricotspoke/coordination/raft"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// process does all work that the core has ready: sync, then send, then apply.
// A leader's entries leave before its own sync, which then runs beside those of
// the followers; the core counts them as its own only once they are synced.
func (r *Replica) process() error {
	for {
		ready := r.raft.Ready()
		if ready.Empty() {
			break
		}
		members := r.raft.Status().Members
		early, late := r.splitMessages(ready)
		r.send(early, members)
		if err := r.save(ready); err != nil {
			return err
		}
		r.send(late, members)
		if err := r.apply(ready); err != nil {
			return err
		}
		r.raft.Advance(ready)
		r.answerReads(ready.ReadStates)
	}
	r.afterLeadership()
	if err := r.maybeSnapshot(); err != nil {
		return err
	}
	r.publish()
	return nil
}

// splitMessages returns the messages that may leave before the sync, and the
// others. Those of a leader whose term is synced promise nothing of its log.
func (r *Replica) splitMessages(ready raft.Ready) (early, late []*wire.PeerMessage) {
	for _, m := range ready.Messages {
		if ready.HardState == nil && m.Term == r.hard.Term && fromLeader(m) {
			early = append(early, m)
		} else {
			late = append(late, m)
		}
	}
	return early, late
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
		r.hard = ready.HardState
	}
	if ready.Snapshot != nil {
		if err := r.discardSnapshot(); err != nil {
			return err
		}
		if err := r.log.SaveSnapshot(ready.Snapshot, r.hard, ready.Entries); err != nil {
			return err
		}
		r.lastTime = max(r.lastTime, ready.Snapshot.TimeMs)
		r.snapshotted = ready.Snapshot.Index
		r.snapshotBytes = int64(len(ready.Snapshot.State))
		r.noteTimes(ready.Entries)
		return r.restore(ready.Snapshot)
	}
	r.noteTimes(ready.Entries)
	return r.log.Save(ready.HardState, ready.Entries)
}

func (r *Replica) restore(s *wire.LogSnapshot) error {
	if err := r.machine.Restore(s.State); err != nil {
		return fault.Wrap(err, fault.Corrupt, "the snapshot at %d can't be restored", s.Index)
	}
	r.machine.ApplyMembers(s.Index, s.Members)
	for index, p := range r.proposals {
		if index <= s.Index {
			delete(r.proposals, index)
			p.reply(nil, unknownOutcome())
		}
	}
	return nil
}

// noteTimes keeps lastTime at or above every command time in the log.
func (r *Replica) noteTimes(entries []*wire.LogEntry) {
	for _, e := range entries {
		if command := decodeCommand(e); command != nil {
			r.lastTime = max(r.lastTime, command.TimeMs)
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
			result = r.machine.Apply(e.Index, command)
		case wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS:
			r.machine.ApplyMembers(e.Index, raft.DecodeMembers(e))
		}
		r.answerProposal(e, result)
	}
	return nil
}
