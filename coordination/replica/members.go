package replica

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/membership"
	"github.com/apricotspoke/apricotspoke/coordination/raft"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// maxRemovedMembers is the number of removed members that the member list keeps.
// They are kept so that a late join request from a removed replica can't displace
// its successor at the same address.
const maxRemovedMembers = 64

type memberChangeRequest struct {
	ctx    context.Context
	change *wire.MemberChange
	done   chan result
}

// ChangeMembers adds a learner, which becomes a voter once it has caught up, or
// removes a member. It returns when the change is committed. It fails with
// NotLeader on other replicas, with Overloaded while another change is in
// progress, and with OutcomeUnknown if the change may still be committed.
func (r *Replica) ChangeMembers(ctx context.Context, change *wire.MemberChange) error {
	q := memberChangeRequest{ctx: ctx, change: change, done: make(chan result, 1)}
	if err := r.enqueue(ctx, q); err != nil {
		return err
	}
	_, err := r.await(ctx, q.done, unknownOutcome)
	return err
}

func (q memberChangeRequest) run(r *Replica) {
	fail := func(err error) { q.done <- result{err: err} }
	if q.ctx.Err() != nil {
		fail(fault.New(fault.Overloaded, "the caller's deadline expired before the change was proposed").WithRetryAfter(retryAfter))
		return
	}
	s := r.raft.Status()
	if s.Role != raft.Leader {
		fail(notLeader())
		return
	}
	next, err := membersAfter(s.Members, q.change)
	if err != nil || next == nil {
		fail(err)
		return
	}
	p := proposal{ctx: q.ctx, done: q.done}
	if err := r.proposeMembers(next, p); err != nil {
		fail(err)
	}
}

func (r *Replica) proposeMembers(next []*wire.Member, p proposal) error {
	index, term, err := r.raft.ProposeMembers(next)
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrTransferring):
		return notLeader()
	case errors.Is(err, raft.ErrChangePending), errors.Is(err, raft.ErrNotReady):
		return fault.Wrap(err, fault.Overloaded, "another membership change is in progress").WithRetryAfter(retryAfter)
	case err != nil:
		return fault.Wrap(err, fault.InvalidRequest, "the membership change is not allowed")
	}
	p.term = term
	r.proposals[index] = p
	return nil
}

// membersAfter returns the member list after a change, or nil if the change has
// no effect.
func membersAfter(members []*wire.Member, change *wire.MemberChange) ([]*wire.Member, error) {
	if (change.AddId == "") == (change.RemoveId == "") {
		return nil, fault.New(fault.InvalidRequest, "a membership change must add or remove exactly one member")
	}
	if change.RemoveId != "" {
		return withoutMember(members, change.RemoveId)
	}
	for _, m := range members {
		if m.Id == change.AddId && m.Removed {
			return nil, fault.New(fault.Conflict, "replica %s was removed and can't rejoin; start it with an empty data folder", m.Id)
		}
		if m.Id == change.AddId {
			return withAddress(members, m, change.AddAddress)
		}
	}
	added := &wire.Member{Id: change.AddId, Address: change.AddAddress, Learner: true}
	return append(slices.Clone(members), added), nil
}

// withAddress returns the member list with a member's new address, or nil if the
// address is unchanged.
func withAddress(members []*wire.Member, member *wire.Member, address string) ([]*wire.Member, error) {
	if member.Address == address {
		return nil, nil
	}
	next := slices.Clone(members)
	for i, m := range members {
		if m.Id == member.Id {
			next[i] = &wire.Member{Id: m.Id, Address: address, Learner: m.Learner}
		} else if m.Address == address && !m.Removed {
			return nil, fault.New(fault.Conflict, "the address %s is used by replica %s", address, m.Id)
		}
	}
	return next, nil
}

// withoutMember returns the member list with a member marked as removed, or nil if
// it was removed before.
func withoutMember(members []*wire.Member, id string) ([]*wire.Member, error) {
	at := slices.IndexFunc(members, func(m *wire.Member) bool { return m.Id == id })
	if at < 0 {
		return nil, fault.New(fault.NotFound, "the control group has no member %s", id)
	}
	if members[at].Removed {
		return nil, nil
	}
	next := slices.Delete(slices.Clone(members), at, at+1)
	next = append(next, &wire.Member{Id: id, Address: members[at].Address, Learner: members[at].Learner, Removed: true})
	return dropOldestRemoved(next), nil
}

// dropOldestRemoved drops the oldest removed members above maxRemovedMembers.
func dropOldestRemoved(members []*wire.Member) []*wire.Member {
	removed := 0
	for i := len(members) - 1; i >= 0; i-- {
		if !members[i].Removed {
			continue
		}
		removed++
		if removed > maxRemovedMembers {
			members = slices.Delete(members, i, i+1)
		}
	}
	return members
}

// reviewMembers makes the change of the members that is due, if this replica leads.
func (r *Replica) reviewMembers() {
	s := r.raft.Status()
	if !s.CommittedInTerm || s.MembersPending {
		return
	}
	others := r.otherMembers(s)
	action, id := membership.Next(others, r.options.MinVoters())
	if action == membership.Keep {
		return
	}
	at := slices.IndexFunc(s.Members, func(m *wire.Member) bool { return m.Id == id })
	next := slices.Clone(s.Members)
	switch action {
	case membership.Demote:
		next[at] = &wire.Member{Id: id, Address: s.Members[at].Address, Learner: true}
	case membership.Promote:
		next[at] = &wire.Member{Id: id, Address: s.Members[at].Address}
	case membership.Remove:
		next, _ = withoutMember(s.Members, id) // it is in the list
	}
	if _, _, err := r.raft.ProposeMembers(next); err != nil {
		return // leadership is being transferred; the next tick tries again
	}
	delete(r.promotionIndex, id)
	known := slices.IndexFunc(others, func(m membership.Member) bool { return m.ID == id })
	r.reportMemberChange(action, others[known], s.Members[at].Address)
}

// otherMembers describes the other members to the decision on the next change.
func (r *Replica) otherMembers(s raft.Status) []membership.Member {
	var others []membership.Member
	for _, m := range s.Members {
		if m.Removed || m.Id == r.id {
			continue
		}
		other := membership.Member{ID: m.Id, Learner: m.Learner, Silence: r.silence(m.Id), Leaving: r.raft.IsLeaving(m.Id)}
		if m.Learner {
			other.CaughtUp = r.hasCaughtUp(other, s.Commit)
		}
		others = append(others, other)
	}
	return others
}

// hasCaughtUp reports whether a learner has synced the log up to what was the commit index
// when this leader first heard it as a learner.
func (r *Replica) hasCaughtUp(learner membership.Member, commit uint64) bool {
	if learner.Silence > membership.SilentAfter {
		delete(r.promotionIndex, learner.ID)
		return false
	}
	target, known := r.promotionIndex[learner.ID]
	if !known {
		r.promotionIndex[learner.ID] = commit
		return false
	}
	return r.raft.MatchIndex(learner.ID) >= target
}

// silence returns the time since this leader last heard a member.
func (r *Replica) silence(id string) time.Duration {
	return time.Duration(r.raft.Silence(id)) * r.options.TickInterval
}

// transferRequest starts a leadership transfer. done receives nil once this replica
// does not lead, or at once if there is no other voter.
type transferRequest struct{ done chan error }

func (q transferRequest) run(r *Replica) {
	voters := CountVoters(r.raft.Status().Members)
	if err := r.raft.TransferLeadership(); err != nil || voters < 2 {
		q.done <- nil
		return
	}
	r.transferWaiters = append(r.transferWaiters, q.done)
}

// retryTransfer starts another leadership transfer if an earlier one was aborted.
func (r *Replica) retryTransfer() {
	if len(r.transferWaiters) > 0 {
		_ = r.raft.TransferLeadership()
	}
}

// TransferLeadership transfers leadership to another voter and returns when this
// replica no longer leads, or with Timeout when ctx ends. It returns nil at once
// if this replica does not lead or is the only voter.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	q := transferRequest{done: make(chan error, 1)}
	if err := r.enqueue(ctx, q); err != nil {
		return nil
	}
	select {
	case err := <-q.done:
		return err
	case <-r.stopped:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Timeout, "leadership was not transferred in time")
	}
}
