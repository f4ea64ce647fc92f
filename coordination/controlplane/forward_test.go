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

// behaviours of processes that are asked.
const (
	leads    = "leads"
	follows  = "follows"
	silent   = "silent"
	resets   = "resets"
	refuses  = "refuses"
	slowLead = "leads after a while"
)

// asking returns a steering without a replica.
func asking() *Service {
	return New(Options{Dial: func(string) (grpc.ClientConnInterface, error) { return nil, nil }})
}

func TestOneSilentProcessDoesNotHoldUpTheLeader(t *testing.T) {
	for _, c := range []struct {
		name   string
		others []string
		kind   fault.Kind // of the outcome, empty for success
	}{
		{"the first is silent", []string{silent, follows, leads}, ""},
		{"all but the last are silent", []string{silent, silent, leads}, ""},
		{"the connection breaks", []string{resets, follows, leads}, ""},
		{"a slow leader is waited for", []string{slowLead, follows, follows}, ""},
		{"a refusal is final", []string{follows, refuses, leads}, fault.Conflict},
		{"nobody leads", []string{follows, follows}, fault.NotLeader},
		{"nobody is known", nil, fault.NotLeader},
		{"one may have done it", []string{resets, follows}, fault.OutcomeUnknown},
		{"one never answers", []string{follows, silent}, fault.OutcomeUnknown},
	} {
		s := asking()
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		var at atomic.Int32
		_, err := s.askOthers(ctx, c.others, func(ctx context.Context, _ wire.SteeringClient) (*wire.SteeringAnswer, error) {
			return behave(ctx, c.others[at.Add(1)-1])
		})
		cancel()
		if kind := fault.KindOf(err); kind != c.kind && !(err == nil && c.kind == "") {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func behave(ctx context.Context, how string) (*wire.SteeringAnswer, error) {
	switch how {
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
		case <-time.After(2 * hedgeAfter):
		}
	}
	return &wire.SteeringAnswer{}, nil
}

func TestThoseHeardLastAreAskedFirst(t *testing.T) {
	s := New(Options{
		PeerAddresses: func() []string { return []string{"gone", "old", "fresh"} },
		SinceLastHeard: func() map[string]time.Duration {
			return map[string]time.Duration{"old": time.Second, "fresh": time.Millisecond}
		},
	})
	got := s.leaders()
	if len(got) != 3 || got[0] != "fresh" || got[1] != "old" || got[2] != "gone" {
		t.Errorf("asked in the order %q", got)
	}
}
