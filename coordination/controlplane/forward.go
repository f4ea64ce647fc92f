package controlplane

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// hedgeAfter is the silence of one process after which the next one is asked
// too. Changes may be made twice: the second one finds the first in force.
const hedgeAfter = 250 * time.Millisecond

// remoteCall is a call of another process's steering.
type remoteCall func(context.Context, wire.SteeringClient) (*wire.SteeringAnswer, error)

// reply is what one process answered.
type reply struct {
	answer *wire.SteeringAnswer
	err    error
}

// leaders lists the addresses to ask: the leader, or any that may lead, those
// heard last first.
func (s *Service) leaders() []string {
	if s.replica != nil {
		if address := s.replica.Status().LeaderAddress; address != "" {
			return []string{address}
		}
		return nil
	}
	addresses := s.others()
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(s.silenceOf(a), s.silenceOf(b)) })
	return addresses
}

// askOthers asks one process after the other until one leads. One that is silent
// holds the next one up for a short time only.
func (s *Service) askOthers(ctx context.Context, addresses []string, call remoteCall) (*wire.SteeringAnswer, error) {
	replies := make(chan reply, len(addresses))
	result := reply{err: fault.New(fault.NotLeader, "no leader of the control group is known").After(confirmInterval)}
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
			go func() { replies <- s.askOne(ctx, address, call) }()
			hedge.Reset(hedgeAfter)
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

func (s *Service) askOne(ctx context.Context, address string, call remoteCall) reply {
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
