package replica

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Step takes in messages of another replica.
func (r *Replica) Step(ctx context.Context, batch *wire.PeerMessages) (*wire.PeerAck, error) {
	for _, m := range batch.Messages {
		if m.To != r.id {
			continue // meant for a former replica at this address
		}
		select {
		case r.inbox <- m:
		case <-r.stopped:
			return &wire.PeerAck{}, nil
		case <-ctx.Done():
			return &wire.PeerAck{}, nil
		}
	}
	return &wire.PeerAck{}, nil
}

// Join adds the caller as a learner, or tells whether there is a group. An
// identity that the caller's address had before is removed first.
func (r *Replica) Join(ctx context.Context, q *wire.JoinRequest) (*wire.JoinResponse, error) {
	s := r.Status()
	hasGroup := len(s.Members) > 0 || r.founding.answer(q)
	answer := &wire.JoinResponse{
		Id:            r.id,
		HasGroup:      hasGroup,
		Bootstrapping: r.options.Bootstrap && !hasGroup,
		LeaderAddress: s.LeaderAddress,
	}
	if q.InquireOnly {
		return answer, nil
	}
	if q.Id == "" || q.Address == "" {
		answer.Failure = fault.ToWire(fault.New(fault.InvalidRequest, "a join request names an identity and an address"))
		return answer, nil
	}
	if err := r.admit(ctx, q); err != nil {
		answer.Failure = fault.ToWire(err)
		return answer, nil
	}
	answer.Accepted = true
	return answer, nil
}

// admit makes the changes that a join request needs, one after the other.
func (r *Replica) admit(ctx context.Context, q *wire.JoinRequest) error {
	for {
		s := r.Status()
		if !s.IsLeader {
			return notLeader()
		}
		change, err := admission(s.Members, q)
		if err != nil || change == nil {
			return err
		}
		if err := r.ChangeMembers(ctx, change); err != nil {
			return err
		}
	}
}

// admission returns the next change that a join request needs, nil when the
// caller is a member: first its address's former identity is removed, then the
// caller is added.
func admission(members []*wire.Member, q *wire.JoinRequest) (*wire.MemberChange, error) {
	add := &wire.MemberChange{AddId: q.Id, AddAddress: q.Address}
	next, err := changedMembers(members, add)
	if err != nil || next == nil {
		return nil, err
	}
	for _, m := range members {
		if m.Id == q.Id {
			return add, nil
		}
	}
	for _, m := range members {
		if m.Address == q.Address && !m.Removed {
			return &wire.MemberChange{RemoveId: m.Id}, nil
		}
	}
	return add, nil
}

// join works until this replica's membership of a group is committed.
func (r *Replica) join(ctx context.Context) {
	for !r.Status().Joined {
		found := r.inquire(ctx)
		switch {
		case found.group != "":
			r.askToJoin(ctx, found.group)
		case found.empty && r.options.Bootstrap && r.founding.decide(r.id, found.asked):
			_ = r.enqueue(ctx, bootstrapRequest{})
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.options.JoinInterval):
		}
	}
}

type bootstrapRequest struct{}

func (bootstrapRequest) run(r *Replica) {
	if len(r.raft.Status().Members) > 0 {
		return
	}
	r.logger.Info().Str("replica", r.id).Msg("A new control group is founded.")
	r.raft.Bootstrap()
}

// inquiry is what the others said about a group.
type inquiry struct {
	group string          // an address that may lead one
	empty bool            // all answered that there is none
	asked map[string]bool // addresses that answered
}

// inquire asks the other addresses about a group.
func (r *Replica) inquire(ctx context.Context) inquiry {
	addresses, complete := r.options.Peers, true
	if r.options.FindPeers != nil {
		addresses, complete = r.options.FindPeers()
	}
	found := inquiry{empty: complete, asked: make(map[string]bool)}
	for _, address := range append(r.founding.addresses(), addresses...) {
		if address == r.options.Address || found.asked[address] {
			continue
		}
		answer, err := r.callJoin(ctx, address, &wire.JoinRequest{Id: r.id, Address: r.options.Address, InquireOnly: true})
		found.asked[address] = err == nil
		switch {
		case err != nil:
			found.empty = false
		case answer.HasGroup && answer.LeaderAddress != "":
			found.group = answer.LeaderAddress
			return found
		case answer.HasGroup:
			found.group, found.empty = address, false
		case answer.Bootstrapping && answer.Id < r.id:
			found.empty = false // that one founds the group
		}
	}
	return found
}

func (r *Replica) askToJoin(ctx context.Context, address string) {
	answer, err := r.callJoin(ctx, address, &wire.JoinRequest{Id: r.id, Address: r.options.Address})
	if err != nil {
		return
	}
	if err := fault.FromWire(answer.Failure); err != nil && fault.KindOf(err) != fault.NotLeader {
		r.logger.Warn().Err(err).Msg("The group did not take this replica in yet.")
	}
}

func (r *Replica) callJoin(ctx context.Context, address string, q *wire.JoinRequest) (*wire.JoinResponse, error) {
	conn, err := r.options.Dial(address)
	if err != nil {
		return nil, err
	}
	defer closeConn(conn)
	ctx, cancel := context.WithTimeout(ctx, 4*r.options.PeerTimeout)
	defer cancel()
	return wire.NewPeerClient(conn).Join(ctx, q)
}
