package serve

import (
	"context"
	"math"
	"testing"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// admitted returns a run for the route "long" with the priorities given, nil for
// an organisation without one.
func admitted(t *testing.T, ofRoute int, ofOrganisation *int) (*bed, *run) {
	t.Helper()
	b := longBed(t)
	c := *b.store.State().Catalogue
	c.Routes = append([]catalogue.Route(nil), c.Routes...)
	for i := range c.Routes {
		c.Routes[i].Priority = ofRoute
	}
	c.Organisations = []catalogue.Organisation{{Name: "boots", Keys: []string{"key"}, Priority: ofOrganisation}}
	built, err := catalogue.Build(&c)
	if err != nil {
		t.Fatal(err)
	}
	b.store.Update(&catalogue.State{Index: 2, Catalogue: built}, "test")
	r := &run{server: b.server, request: b.request("long"), tried: map[uint64]bool{}}
	if err := r.admit(context.Background()); err != nil {
		t.Fatal(err)
	}
	return b, r
}

func TestAnOrganisationsPriorityGoesBeforeItsRoutes(t *testing.T) {
	rank := func(n int) *int { return &n }
	for _, c := range []struct {
		route        int
		organisation *int
		want         int
	}{{3, nil, 3}, {3, rank(0), 0}, {0, rank(4), 4}, {-1, nil, 0}, {70, nil, 9}, {1, rank(12), 9}} {
		_, r := admitted(t, c.route, c.organisation)
		if r.priority != c.want {
			t.Errorf("route %d: priority %d, want %d", c.route, r.priority, c.want)
		}
		if a := r.newAttempt(r.tryPlace(), &reservations{}); a.Priority == nil || *a.Priority != c.want {
			t.Errorf("route %d: the endpoint is told %v", c.route, a.Priority)
		}
	}
}

func TestAMoreUrgentAnswerWeighsMore(t *testing.T) {
	b, urgent := admitted(t, 0, nil)
	_, other := admitted(t, 2, nil)
	x, y := urgent.demand(b.store.State()), other.demand(b.store.State())
	if ratio := x.Credit / y.Credit; math.Abs(ratio-urgencyRatio*urgencyRatio) > 1e-9 {
		t.Errorf("two ranks more urgent weigh %.3f times as much", ratio)
	}
}
