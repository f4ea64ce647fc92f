package raft

import "github.com/apricotspoke/apricotspoke/protocol/wire"

// Status is a replica's present position.
type Status struct {
	Role            Role
	Term            uint64
	Leader          string
	Commit          uint64
	Applied         uint64
	FirstIndex      uint64
	LastIndex       uint64
	SnapshotIndex   uint64
	CommittedInTerm bool           // leader: an entry of its term is committed
	Members         []*wire.Member // in force, perhaps uncommitted
	MembersIndex    uint64
}

// Status returns the present position.
func (r *Raft) Status() Status {
	s := Status{
		Role:            r.role,
		Term:            r.term,
		Leader:          r.leader,
		Commit:          r.log.committed,
		Applied:         r.log.applied,
		FirstIndex:      r.log.firstIndex(),
		LastIndex:       r.log.lastIndex(),
		CommittedInTerm: r.role == Leader && r.log.committed >= r.termStart,
		Members:         r.members.current(),
		MembersIndex:    r.members.lastIndex(),
	}
	if r.log.snapshot != nil {
		s.SnapshotIndex = r.log.snapshot.Index
	}
	return s
}

// MatchIndex returns the highest index that a peer has synced, on the leader.
func (r *Raft) MatchIndex(id string) uint64 {
	if p := r.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// MembersAt returns the member list in force at a log index that is not
// compacted.
func (r *Raft) MembersAt(index uint64) []*wire.Member { return r.members.at(index) }

// Entries returns the log from an index on; the slice is not to be changed.
func (r *Raft) Entries(from uint64) []*wire.LogEntry {
	from = max(from, r.log.firstIndex())
	if from > r.log.lastIndex() {
		return nil
	}
	return r.log.entries[from-r.log.base-1:]
}

// TermAt returns the term of an entry; false when it is not held.
func (r *Raft) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }
