package replica

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Step receives a batch of Raft messages from another replica. It blocks while the
// inbox is full.
func (r *Replica) Step(ctx context.Context, batch *wire.PeerMessages) (*wire.PeerAck, error) {
	for _, m := range batch.Messages {
		if m.To != r.id {
			continue // meant for a replica that had this address before
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

// Join adds the caller to the group as a learner. A replica that had the caller's
// address before is removed first. If InquireOnly is set, Join only reports
// whether there is a group. Errors are returned in the response's Failure.
func (r *Replica) Join(ctx context.Context, q *wire.JoinRequest) (*wire.JoinResponse, error) {
	s := r.Status()
	hasGroup := len(s.Members) > 0 || r.bootstrapGuard.recordInquiry(q)
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
		answer.Failure = fault.ToWire(fault.New(fault.InvalidRequest, "a join request must contain a replica ID and an address"))
		return answer, nil
	}
	if err := r.admit(ctx, q); err != nil {
		answer.Failure = fault.ToWire(err)
		return answer, nil
	}
	answer.Accepted = true
	return answer, nil
}

// admit makes the membership changes that a join request needs, one after the
// other.
func (r *Replica) admit(ctx context.Context, q *wire.JoinRequest) error {
	for {
		s := r.Status()
		if !s.IsLeader {
			return notLeader()
		}
		change, err := nextJoinChange(s.Members, q)
		if err != nil || change == nil {
			return err
		}
		if err := r.ChangeMembers(ctx, change); err != nil {
			return err
		}
	}
}

// nextJoinChange returns the next membership change that a join request needs, or
// nil if the caller is a member at its address. A former replica at that address
// is removed before the caller is added.
func nextJoinChange(members []*wire.Member, q *wire.JoinRequest) (*wire.MemberChange, error) {
	add := &wire.MemberChange{AddId: q.Id, AddAddress: q.Address}
	next, err := membersAfter(members, add)
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

// joinGroup finds and joins a group, or creates one, until this replica's
// membership is committed.
func (r *Replica) joinGroup(ctx context.Context) {
	for !r.Status().Joined {
		found := r.inquire(ctx)
		if found.noGroup && r.options.Bootstrap && r.bootstrapGuard.decide(r.id, found.answered) {
			_ = r.enqueue(ctx, bootstrapRequest{})
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.options.JoinInterval):
		}
	}
}

// bootstrapRequest creates a new group with this replica as its only voter, unless
// it has a member list. The message is also logged if raft.Bootstrap does nothing,
// as when a message of another replica has raised the term.
type bootstrapRequest struct{}

func (bootstrapRequest) run(r *Replica) {
	if len(r.raft.Status().Members) > 0 {
		return
	}
	r.logger.Info().Str("replica", r.id).Msg("A new control group is founded.")
	r.raft.Bootstrap()
}

// inquiryResult summarises the other replicas' answers to an inquiry. noGroup is
// set if discovery is complete, all replicas have answered, and none of them
// belongs to a group or is about to create one.
type inquiryResult struct {
	noGroup  bool
	answered map[string]bool // addresses that answered
}

// inquiryAnswer is the answer of the replica at an address to an inquiry.
type inquiryAnswer struct {
	address        string
	answer         *wire.JoinResponse
	err            error
	leaderAnswered bool // the leader that it names has answered a request to join
}

// inquire asks the replicas at all other known addresses at once whether there is a
// group, and each leader that they name to admit this replica: some may still name a
// former leader. It returns as soon as a leader has answered such a request.
func (r *Replica) inquire(ctx context.Context) inquiryResult {
	addresses, complete := r.addressesToAsk()
	found := inquiryResult{noGroup: complete, answered: make(map[string]bool)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan inquiryAnswer, len(addresses))
	var named sync.Map // addresses that were asked to admit this replica
	for _, address := range addresses {
		go func() { answers <- r.inquireAt(ctx, address, &named) }()
	}
	for range addresses {
		a := <-answers
		found.add(a, r.id)
		if a.leaderAnswered {
			break
		}
	}
	return found
}

// inquireAt asks the replica at address whether there is a group, and the leader that it
// names to admit this replica, unless named holds that leader. A member that names no
// leader is asked itself, as it may lead by then.
func (r *Replica) inquireAt(ctx context.Context, address string, named *sync.Map) inquiryAnswer {
	a := inquiryAnswer{address: address}
	a.answer, a.err = r.callJoin(ctx, address, &wire.JoinRequest{Id: r.id, Address: r.options.Address, InquireOnly: true})
	if a.err != nil || !a.answer.HasGroup {
		return a
	}
	leader := cmp.Or(a.answer.LeaderAddress, address)
	if _, known := named.LoadOrStore(leader, true); !known && leader != r.options.Address {
		a.leaderAnswered = r.requestJoin(ctx, leader)
	}
	return a
}

// addressesToAsk returns the distinct other addresses that are known, and whether
// discovery is complete.
func (r *Replica) addressesToAsk() (addresses []string, complete bool) {
	known, complete := r.options.Peers, true
	if r.options.FindPeers != nil {
		known, complete = r.options.FindPeers()
	}
	for _, address := range append(r.bootstrapGuard.addresses(), known...) {
		if address != r.options.Address && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses, complete
}

// add takes in an answer to the replica with ID self.
func (f *inquiryResult) add(a inquiryAnswer, self string) {
	f.answered[a.address] = a.err == nil
	switch {
	case a.err != nil, a.answer.HasGroup:
		f.noGroup = false
	case a.answer.Bootstrapping && a.answer.Id < self:
		f.noGroup = false // the replica with the lowest ID creates the group
	}
}

// requestJoin asks the replica at address to admit this one, and reports whether it
// leads and has answered. joinGroup repeats the request until this replica has joined.
func (r *Replica) requestJoin(ctx context.Context, address string) bool {
	answer, err := r.callJoin(ctx, address, &wire.JoinRequest{Id: r.id, Address: r.options.Address})
	if err != nil {
		return false
	}
	err = fault.FromWire(answer.Failure)
	if fault.KindOf(err) == fault.NotLeader {
		return false
	}
	if err != nil {
		r.logger.Warn().Err(err).Msg("The group has not admitted this replica yet.")
	}
	return true
}

// callJoin calls Join on a new connection. It waits longer than other calls, since a
// request to join is only accepted once the membership changes are committed.
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
