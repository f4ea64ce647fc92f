package controlplane

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// hedgeDelay is the time after which the next process is called too if one has not
// answered, and this one again on a new connection. A shorter delay calls more
// processes while one is only slow; a longer one leaves less time for those after it.
//
// If a leader is slow, or leadership moves between two calls, a change may be made twice.
// The second time changes nothing if the first is still in effect, or a newer version of
// the catalogue. An order for a data centre is carried out once: the state keeps the latest
// order for each, refuses orders that were given before it, and ignores its copies.
const hedgeDelay = 250 * time.Millisecond

// remoteCall is a call to the Steering service of another process.
type remoteCall func(context.Context, wire.SteeringClient) (*wire.SteeringAnswer, error)

// leaderCandidates returns the addresses to call: the leader that this process's replica
// knows, if it has one, then the other processes with a replica, the most recently heard
// first.
func (s *Service) leaderCandidates() []string { return s.candidates(s.knownLeaderAddress()) }

// candidates returns the addresses to call if leader is the one of the known leader, empty
// if none is known.
func (s *Service) candidates(leader string) []string {
	addresses := s.peerAddresses()
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(s.timeSinceHeard(a), s.timeSinceHeard(b)) })
	if leader == "" {
		return addresses
	}
	others := slices.DeleteFunc(addresses, func(address string) bool { return address == leader })
	return append([]string{leader}, others...)
}

// timeSinceHeard returns the time since a process was last heard. It is the
// longest duration if there is no link to the process.
func (s *Service) timeSinceHeard(address string) time.Duration {
	if since, linked := s.sinceLastHeard()[address]; linked {
		return since
	}
	return time.Duration(math.MaxInt64)
}

// knownLeaderAddress returns the address of the leader that this process's replica knows,
// empty if it knows no other process as the leader.
func (s *Service) knownLeaderAddress() string {
	if s.replica == nil {
		return ""
	}
	status := s.replica.Status()
	if status.IsLeader || status.LeaderAddress == s.address {
		return ""
	}
	return status.LeaderAddress
}

// hedgedCall calls one process after the other until the leader has answered. A process that
// is silent for hedgeDelay is called again on a new connection.
type hedgedCall struct {
	service   *Service
	addresses []string // to call, in this order
	call      remoteCall
	called    int // number of addresses that were called
	attempts  attempts
	waiting   int  // number of attempts without an answer
	deadFound bool // a process has answered on a new connection only, so others may be dead too
	replies   chan *reply
	err       error // to return if none is the leader; says whether a change may have been made
}

// callHedged calls one process after the other until the leader has answered. The
// next process is called as soon as one says that it does not lead, or after
// hedgeDelay. If none is the leader, the error says whether a change may have been
// made.
func (s *Service) callHedged(ctx context.Context, addresses []string, call remoteCall) (*wire.SteeringAnswer, error) {
	h := &hedgedCall{
		service: s, addresses: addresses, call: call, replies: make(chan *reply, 2*len(addresses)),
		err: fault.New(fault.NotLeader, "no leader of the control group is known").WithRetryAfter(confirmInterval),
	}
	answer, err := h.run(ctx)
	h.retireSilent()
	if err != nil {
		s.logger.RateLimitedWarn("call").Str("asked", h.attempts.String()).Err(err).Msg("A call to the leader of the control group has failed.")
	}
	return answer, err
}

func (h *hedgedCall) run(ctx context.Context) (*wire.SteeringAnswer, error) {
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for h.mayCall() || h.waiting > 0 {
		next := hedge.C
		if !h.mayCall() {
			next = nil
		}
		select {
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "the leader of the control group did not answer")
		case <-next:
			h.callMore(ctx)
			hedge.Reset(h.untilSilent())
		case got := <-h.replies:
			h.record(got)
			if got.isFinal() {
				return got.answer, got.err
			}
			if h.called < len(h.addresses) {
				hedge.Reset(0)
			}
		}
	}
	return nil, h.err
}

// mayCall reports whether there is a process to call, now or once it has been silent.
func (h *hedgedCall) mayCall() bool {
	return h.called < len(h.addresses) || slices.ContainsFunc(h.attempts, (*attempt).mayBeRenewed)
}

// untilSilent returns the time after which more processes are called if no answer comes.
func (h *hedgedCall) untilSilent() time.Duration {
	delay := hedgeDelay
	for _, a := range h.attempts {
		if a.mayBeRenewed() {
			delay = min(delay, hedgeDelay-time.Since(a.began))
		}
	}
	return delay
}

// callMore calls the next process, and those that are silent once more on new connections.
func (h *hedgedCall) callMore(ctx context.Context) {
	for _, a := range h.attempts {
		if a.mayBeRenewed() && a.isSilent() {
			a.renewed = true
			h.service.retire(a)
			h.start(ctx, &attempt{address: a.address, renews: a})
		}
	}
	if h.called == len(h.addresses) {
		return
	}
	address := h.addresses[h.called]
	h.called++
	if h.deadFound {
		h.service.replaceConnection(address)
	}
	h.start(ctx, &attempt{address: address})
}

// start begins an attempt.
func (h *hedgedCall) start(ctx context.Context, a *attempt) {
	a.began = time.Now()
	h.attempts = append(h.attempts, a)
	h.waiting++
	conn, err := h.service.connections.Get(a.address)
	if err != nil {
		h.replies <- &reply{of: a, err: fault.Wrap(err, fault.NotLeader, "the control process at %s can't be dialled", a.address)}
		return
	}
	a.conn = conn
	go func() {
		answer, err := callOne(ctx, a, h.call)
		h.replies <- &reply{of: a, took: time.Since(a.began), answer: answer, err: err}
	}()
}

// record records the result of a call. The error to return stays one that leaves the
// outcome open.
func (h *hedgedCall) record(got *reply) {
	got.of.reply = got
	h.waiting--
	if first := got.of.renews; first != nil && first.reply == nil {
		h.deadFound = true
	}
	if fault.KindOf(h.err) != fault.OutcomeUnknown {
		h.err = got.err
	}
}

// retireSilent retires the connections on which processes have not answered for hedgeDelay.
func (h *hedgedCall) retireSilent() {
	for _, a := range h.attempts {
		if a.isSilent() && !a.renewed {
			h.service.retire(a)
		}
	}
}

// retire lets later calls to the process of an attempt use a new connection, as the one of
// the attempt may be dead.
func (s *Service) retire(a *attempt) {
	if a.conn == nil {
		return
	}
	s.logger.RateLimitedWarn("retire "+a.address).Str("address", a.address).Dur("silence", time.Since(a.began)).
		Msg("A process did not answer, so the connection to it is replaced.")
	s.connections.Retire(a.address, a.conn)
}

// replaceConnection lets the next call to a process use a new connection.
func (s *Service) replaceConnection(address string) {
	if conn, err := s.connections.Get(address); err == nil {
		s.connections.Retire(address, conn)
	}
}

// callOne makes the call of an attempt. If the process does not answer, the error is
// OutcomeUnknown.
func callOne(ctx context.Context, a *attempt, call remoteCall) (*wire.SteeringAnswer, error) {
	answer, err := call(ctx, wire.NewSteeringClient(a.conn))
	if err != nil {
		return nil, fault.Wrap(err, fault.OutcomeUnknown, "the control process at %s did not answer", a.address)
	}
	return answer, fault.FromWire(answer.Failure)
}
