package controlplane

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// localCall is a call to this process's replica, which must lead.
type localCall func(context.Context) (*wire.SteeringAnswer, error)

// result is the result of a call.
type result struct {
	answer *wire.SteeringAnswer
	err    error
}

// callLeader calls local if this process leads, and remote on the leader otherwise.
func (s *Service) callLeader(ctx context.Context, remote remoteCall, local localCall) (*wire.SteeringAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.replica != nil && s.replica.Status().IsLeader {
		return s.callSelf(ctx, remote, local)
	}
	return s.callHedged(ctx, s.leaderCandidates(), remote)
}

// callSelf calls local, and the other processes too if that takes hedgeDelay: a replica
// that stands still seems to lead while another one does. Errors of the other processes
// don't count.
func (s *Service) callSelf(ctx context.Context, remote remoteCall, local localCall) (*wire.SteeringAnswer, error) {
	own, others := make(chan result, 1), make(chan result, 1)
	go func() {
		answer, err := local(ctx)
		own <- result{answer, err}
	}()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case r := <-own:
			return r.answer, r.err
		case r := <-others:
			if r.err == nil {
				s.logger.RateLimitedWarn("stale lead").Dur("age", time.Since(s.replica.Status().PublishedAt)).
					Msg("This process's replica seems to lead and doesn't answer; another process has answered the call.")
				return r.answer, nil
			}
		case <-hedge.C:
			go func() {
				answer, err := s.callHedged(ctx, s.candidates(""), remote)
				others <- result{answer, err}
			}()
		}
	}
}
