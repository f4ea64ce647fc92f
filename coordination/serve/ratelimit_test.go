package serve

import (
	"context"
	"testing"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
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
