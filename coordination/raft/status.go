package raft

import "github.com/apricotspoke/apricotspoke/protocol/wire"

// Status describes the consensus state of a replica at one moment.
type Status struct {
	Role            Role
	Term            uint64
	Leader          string
	Commit          uint64
	Applied         uint64
	FirstIndex      uint64
	LastIndex       uint64
	SnapshotIndex   uint64
	CommittedInTerm bool           // this replica leads and has committed an entry in its term
	Members         []*wire.Member // in effect, perhaps not committed yet
	MembersIndex    uint64         // log index of Members
	MembersPending  bool           // the change that led to Members is not known to be committed
}

// Status returns the current state.
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
		MembersPending:  r.members.changeIndex > r.log.committed,
	}
	if r.log.snapshot != nil {
		s.SnapshotIndex = r.log.snapshot.Index
	}
	return s
}

// MatchIndex returns the highest index that the peer is known to have synced. It
// is 0 if this replica does not lead or does not know the peer.
func (r *Raft) MatchIndex(id string) uint64 {
	if p := r.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// Silence returns the number of ticks since a peer was last heard, or added to the group.
// It is 0 if this replica does not lead or does not know the peer.
func (r *Raft) Silence(id string) int {
	if p := r.peers[id]; p != nil {
		return p.silentTicks
	}
	return 0
}

// IsLeaving reports whether a peer's last reply to this leader said that its process is about
// to end. It is false if this replica does not lead or does not know the peer.
func (r *Raft) IsLeaving(id string) bool {
	p := r.peers[id]
	return p != nil && p.leaving
}

// Electors returns the members, also removed ones, that count towards the quorum of this
// replica's next campaign.
func (r *Raft) Electors() []*wire.Member {
	var electors []*wire.Member
	quorum := r.quorum()
	for _, m := range r.members.current() {
		if quorum.Contains(m.Id) {
			electors = append(electors, m)
		}
	}
	return electors
}

// ProgressOf describes how far a peer has followed, for a log line. It is empty if this
// replica does not lead or does not know the peer.
func (r *Raft) ProgressOf(id string) string {
	if p := r.peers[id]; p != nil {
		return p.String()
	}
	return ""
}

// MembersAt returns the member list in effect at a log index, which must not be
// compacted.
func (r *Raft) MembersAt(index uint64) []*wire.Member { return r.members.at(index) }

// Entries returns the log entries starting at index from. The caller must not
// modify the slice.
func (r *Raft) Entries(from uint64) []*wire.LogEntry {
	from = max(from, r.log.firstIndex())
	if from > r.log.lastIndex() {
		return nil
	}
	return r.log.entries[from-r.log.base-1:]
}

// TermAt returns the term of an entry, or false if the log does not contain it.
func (r *Raft) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }
