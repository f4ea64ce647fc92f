package controlplane

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
)

// Behaviours of a process that is called.
const (
	leads    = "leads"
	follows  = "follows"
	silent   = "silent"
	resets   = "resets"
	refuses  = "refuses"
	slowLead = "leads after a while"
)

// newTestService returns a service without a replica.
func newTestService() *Service {
	return New(Options{Dial: func(string) (grpc.ClientConnInterface, error) { return nil, nil }})
}

func TestUnresponsiveProcessDoesNotDelayCallToLeader(t *testing.T) {
	for _, c := range []struct {
		name      string
		processes []string
		kind      fault.Kind // expected kind of error, empty for success
	}{
		{"the first does not answer", []string{silent, follows, leads}, ""},
		{"only the last answers", []string{silent, silent, leads}, ""},
		{"the first connection breaks", []string{resets, follows, leads}, ""},
		{"the leader is slow", []string{slowLead, follows, follows}, ""},
		{"a refusal is final", []string{follows, refuses, leads}, fault.Conflict},
		{"no process leads", []string{follows, follows}, fault.NotLeader},
		{"no process is known", nil, fault.NotLeader},
		{"one may have made the change", []string{resets, follows}, fault.OutcomeUnknown},
		{"one never answers", []string{follows, silent}, fault.OutcomeUnknown},
	} {
		s := newTestService()
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		var calls atomic.Int32
		_, err := s.callHedged(ctx, c.processes, func(ctx context.Context, _ wire.SteeringClient) (*wire.SteeringAnswer, error) {
			return respond(ctx, c.processes[calls.Add(1)-1])
		})
		cancel()
		if kind := fault.KindOf(err); kind != c.kind && !(err == nil && c.kind == "") {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func respond(ctx context.Context, behaviour string) (*wire.SteeringAnswer, error) {
	switch behaviour {
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case resets:
		return nil, errors.New("reset")
	case follows:
		return &wire.SteeringAnswer{Failure: fault.ToWire(fault.New(fault.NotLeader, "it follows"))}, nil
	case refuses:
		return &wire.SteeringAnswer{Failure: fault.ToWire(fault.New(fault.Conflict, "other content"))}, nil
	case slowLead:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(2 * hedgeDelay):
		}
	}
	return &wire.SteeringAnswer{}, nil
}

func TestLeaderCandidatesAreOrderedByLastHeard(t *testing.T) {
	s := New(Options{
		PeerAddresses: func() []string { return []string{"gone", "old", "fresh"} },
		SinceLastHeard: func() map[string]time.Duration {
			return map[string]time.Duration{"old": time.Second, "fresh": time.Millisecond}
		},
	})
	got := s.leaderCandidates()
	if len(got) != 3 || got[0] != "fresh" || got[1] != "old" || got[2] != "gone" {
		t.Errorf("processes are called in the order %q", got)
	}
}
