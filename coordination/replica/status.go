package replica

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/raft"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Status describes a replica's state at one moment.
type Status struct {
	ID              string
	Leader          string // replica ID, empty if unknown
	LeaderAddress   string
	IsLeader        bool
	CanConfirmReads bool // this replica leads and has committed an entry in its term, which linearizable reads need
	Term            uint64
	Commit          uint64
	Applied         uint64
	FirstIndex      uint64
	SnapshotIndex   uint64
	Members         []*wire.Member // in effect, perhaps not committed yet; includes removed members
	Electors        []*wire.Member // whose votes count, while no leader is known; see raft.Electors
	LeaderSince     time.Time      // when this replica first saw the current leader in its term
	PublishedAt     time.Time      // when this status was published
	Joined          bool           // an applied member list contains this replica, at its address or as removed
	AppliedMembers  []*wire.Member // the applied member list
}

// Status returns the replica's latest published state.
func (r *Replica) Status() Status { return *r.status.Load() }

// CountVoters returns the number of voters in a member list.
func CountVoters(members []*wire.Member) (voters int) {
	for _, m := range members {
		if raft.IsVoter(m) {
			voters++
		}
	}
	return voters
}

// joined reports whether the applied member list contains this replica, at its
// current address or as removed. A list that is not committed doesn't count, as
// it may still be overwritten by one without this replica.
func (r *Replica) joined(applied []*wire.Member) bool {
	for _, m := range applied {
		if m.Id == r.id && (m.Removed || m.Address == r.options.Address) {
			return true
		}
	}
	return false
}

func (r *Replica) publishStatus() {
	s := r.raft.Status()
	r.reporter.observe(r, s, time.Now())
	applied := r.raft.MembersAt(s.Applied)
	next := &Status{
		ID:              r.id,
		Leader:          s.Leader,
		IsLeader:        s.Role == raft.Leader,
		CanConfirmReads: s.CommittedInTerm,
		Term:            s.Term,
		Commit:          s.Commit,
		Applied:         s.Applied,
		FirstIndex:      s.FirstIndex,
		SnapshotIndex:   s.SnapshotIndex,
		Members:         s.Members,
		PublishedAt:     time.Now(),
		Joined:          r.joined(applied),
		AppliedMembers:  applied,
	}
	if s.Leader == "" {
		next.Electors = r.raft.Electors()
	}
	for _, m := range s.Members {
		if m.Id == s.Leader {
			next.LeaderAddress = m.Address
		}
	}
	old := r.status.Load()
	next.LeaderSince = time.Now()
	if old != nil && old.Leader == next.Leader && old.Term == next.Term {
		next.LeaderSince = old.LeaderSince
	}
	r.status.Store(next)
	if next.CanConfirmReads && (old == nil || !old.CanConfirmReads) {
		select {
		case r.becameLeader <- struct{}{}:
		default:
		}
	}
}

// BecameLeader returns a channel that receives a value when Status.CanConfirmReads
// becomes true: after IsLeader, once the new leader has committed an entry in its
// term.
func (r *Replica) BecameLeader() <-chan struct{} { return r.becameLeader }
