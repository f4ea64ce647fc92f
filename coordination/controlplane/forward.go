package controlplane

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// hedgeDelay is the time after which the next process is called too if one has not
// answered. callTimeout leaves time for four such calls. A shorter delay calls more
// processes while one is only slow; a longer one leaves time for fewer.
//
// If leadership moves between two calls, a change may be made twice. The second time
// changes nothing if the first is still in effect, or a newer version of the
// catalogue. A change of a data centre is made once, as its copies have one operation.
const hedgeDelay = 250 * time.Millisecond

// remoteCall is a call to the Steering service of another process.
type remoteCall func(context.Context, wire.SteeringClient) (*wire.SteeringAnswer, error)

// reply is the result of a call to one process.
type reply struct {
	answer *wire.SteeringAnswer
	err    error
}

// leaderCandidates returns the addresses to call. If this process has a replica, it
// is the leader's address, or none while no leader is known. Otherwise it is those of
// all processes with a replica, the most recently heard first.
func (s *Service) leaderCandidates() []string {
	if s.replica != nil {
		if address := s.replica.Status().LeaderAddress; address != "" {
			return []string{address}
		}
		return nil
	}
	addresses := s.peerAddresses()
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(s.timeSinceHeard(a), s.timeSinceHeard(b)) })
	return addresses
}

// callHedged calls one process after the other until the leader has answered. The
// next process is called as soon as one says that it does not lead, or after
// hedgeDelay. If none is the leader, the error says whether a change may have been
// made.
func (s *Service) callHedged(ctx context.Context, addresses []string, call remoteCall) (*wire.SteeringAnswer, error) {
	replies := make(chan reply, len(addresses))
	result := reply{err: fault.New(fault.NotLeader, "no leader of the control group is known").WithRetryAfter(confirmInterval)}
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for asked, waiting := 0, 0; asked < len(addresses) || waiting > 0; {
		next := hedge.C
		if asked == len(addresses) {
			next = nil
		}
		select {
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "the leader of the control group did not answer")
		case <-next:
			address := addresses[asked]
			asked, waiting = asked+1, waiting+1
			go func() { replies <- s.callOne(ctx, address, call) }()
			hedge.Reset(hedgeDelay)
		case got := <-replies:
			waiting--
			if got.err == nil || fault.KindOf(got.err) != fault.NotLeader && fault.KindOf(got.err) != fault.OutcomeUnknown {
				return got.answer, got.err
			}
			if fault.KindOf(result.err) != fault.OutcomeUnknown {
				result = got
			}
			hedge.Reset(0)
		}
	}
	return nil, result.err
}

// callOne calls the process at address. If it can't be dialled, the error is
// NotLeader, since no change was made; if it does not answer, OutcomeUnknown.
func (s *Service) callOne(ctx context.Context, address string, call remoteCall) reply {
	conn, err := s.dial(address)
	if err != nil {
		return reply{err: fault.Wrap(err, fault.NotLeader, "the control process at %s can't be dialled", address)}
	}
	answer, err := call(ctx, wire.NewSteeringClient(conn))
	if err != nil {
		return reply{err: fault.Wrap(err, fault.OutcomeUnknown, "the control process at %s did not answer", address)}
	}
	return reply{answer: answer, err: fault.FromWire(answer.Failure)}
}
