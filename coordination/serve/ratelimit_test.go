package serve

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// stating makes a response state a rate limit.
func stating(perSecond float64, respond func(context.Context, *Attempt) (*Response, error)) func(context.Context, *Attempt) (*Response, error) {
	return func(ctx context.Context, a *Attempt) (*Response, error) {
		r, err := respond(ctx, a)
		r.RateLimit = RateLimit{Stated: true, PerSecond: perSecond}
		return r, err
	}
}

// Each response of the endpoint to this request counts, also a failure; one of another
// endpoint, or to another request, must not.
func TestRateLimitIsTakenFromResponsesOfTheEndpointAlone(t *testing.T) {
	misdirected := func(ctx context.Context, a *Attempt) (*Response, error) {
		r, err := good("no")(ctx, a)
		r.Misdirected = true
		return r, err
	}
	cases := []struct {
		name    string
		respond func(context.Context, *Attempt) (*Response, error)
		want    float64
	}{
		{"success", stating(1.5, good("yes")), 1.5},
		{"failure", stating(1.5, withStatus(500, true)), 1.5},
		{"other endpoint", stating(1.5, misdirected), placement.Unlimited},
		{"other request", stating(1.5, mismatched("no")), placement.Unlimited},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, c.respond, good("yes"))
			b.serve(t.Context(), "once")
			if got := b.scheduler.RateLimit(b.sentAttempts()[0].Endpoint.Key); got != c.want {
				t.Errorf("limit %v, want %v", got, c.want)
			}
		})
	}
}

// limitAll states a rate limit for all endpoints and returns their IDs.
func (b *testbed) limitAll(perSecond float64) []string {
	var ids []string
	for _, e := range b.directory.Endpoints("s") {
		b.scheduler.RecordRateLimit(e.Key, perSecond, time.Now())
		ids = append(ids, e.ID)
	}
	return ids
}

// Requests beyond the limits of some endpoints must be served by the others.
func TestRequestWithoutAPermitGoesToAnotherEndpoint(t *testing.T) {
	b := newTestbed(t, good("yes"), good("yes"), good("yes"), good("yes"))
	ids := b.limitAll(1)
	b.permitWaits = map[string]time.Duration{ids[0]: time.Minute, ids[1]: time.Minute}
	for range 4 {
		if g := b.serve(t.Context(), "once"); g.status != 200 {
			t.Errorf("status %d, fault %v", g.status, g.fault)
		}
	}
	for _, a := range b.sentAttempts() {
		if a.Endpoint.ID != ids[2] {
			t.Errorf("endpoint %s got a request without a permit", a.Endpoint.ID)
		}
	}
	if b.permitCalls > 6 {
		t.Errorf("%d permits were asked for, want 4 and one for each endpoint without any", b.permitCalls)
	}
}

// When all endpoints wait for permits the caller must hear at once when to come back.
func TestRequestWithoutAnyPermitIsRefusedAtOnce(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := newTestbed(t)
		b.permitWaits = make(map[string]time.Duration)
		for i, id := range b.limitAll(2) {
			b.permitWaits[id] = time.Duration(400+100*i) * time.Millisecond
		}
		began := time.Now()
		first, second := b.serve(t.Context(), "once"), b.serve(t.Context(), "once")
		if took := time.Since(began); took != 0 {
			t.Errorf("the refusals took %v", took)
		}
		if first.status != 503 || second.status != 503 || len(b.sentAttempts()) != 0 {
			t.Fatalf("status %d and %d, %d attempts", first.status, second.status, len(b.sentAttempts()))
		}
		if !strings.Contains(first.fault.Error(), "rate limits") {
			t.Errorf("the refusal doesn't name its cause: %v", first.fault)
		}
		// The first permit comes in 400 ms, and the three endpoints take 6 requests a second.
		if first.fault.RetryAfter != 400*time.Millisecond {
			t.Errorf("Retry-After %v, want 400ms", first.fault.RetryAfter)
		}
		if gap := second.fault.RetryAfter - first.fault.RetryAfter; gap < 160*time.Millisecond || gap > 170*time.Millisecond {
			t.Errorf("the second caller is told to come %v after the first, want a sixth of a second", gap)
		}
	})
}

// A permit that comes soon is waited for.
func TestRequestWaitsForAPermitThatComesSoon(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := newTestbed(t, good("yes"))
		b.permitWaits = make(map[string]time.Duration)
		for _, id := range b.limitAll(2) {
			b.permitWaits[id] = time.Millisecond
		}
		time.AfterFunc(5*time.Millisecond, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.permitWaits = nil
		})
		if g := b.serve(t.Context(), "once"); g.status != 200 {
			t.Errorf("status %d, fault %v", g.status, g.fault)
		}
	})
}

// A stalled attempt must not be given up for an endpoint that has no permit.
func TestFailoverNeedsAPermit(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		slow := func(ctx context.Context, a *Attempt) (*Response, error) {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(time.Second):
				return good("yes")(ctx, a)
			}
		}
		b := newTestbed(t, slow, good("other"))
		ids := b.limitAll(1)
		b.permitWaits = map[string]time.Duration{ids[1]: time.Minute, ids[2]: time.Minute}
		if g := b.serve(t.Context(), "again"); g.body.String() != "yes" || len(b.sentAttempts()) != 1 {
			t.Errorf("body %q, %d attempts", g.body.String(), len(b.sentAttempts()))
		}
	})
}

// Of the requests of one entry only one asks for an endpoint's permit at a time.
func TestOneRequestAsksForAPermitAtATime(t *testing.T) {
	b := newTestbed(t)
	ids := b.limitAll(1)
	key := b.directory.Endpoints("s")[0].Key
	if !b.scheduler.StartPermit(key) || b.scheduler.StartPermit(key) {
		t.Fatal("two requests may ask")
	}
	b.responses = responders{good("yes")}
	b.serve(t.Context(), "once")
	if got := b.sentAttempts()[0].Endpoint.ID; got == ids[0] {
		t.Error("an endpoint was chosen whose permit another request asks for")
	}
	b.scheduler.EndPermit(key, 0)
	if !b.scheduler.StartPermit(key) {
		t.Error("no request may ask any more")
	}
}
