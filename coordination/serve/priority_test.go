package serve

import (
	"context"
	"math"
	"testing"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// admitted returns an admitted run on route "long" with the priorities given; nil
// for an organisation without one.
func admitted(t *testing.T, routePriority int, organisationPriority *int) (*testbed, *run) {
	t.Helper()
	b := newEngineTestbed(t)
	c := *b.stateCache.State().Catalogue
	c.Routes = append([]catalogue.Route(nil), c.Routes...)
	for i := range c.Routes {
		c.Routes[i].Priority = routePriority
	}
	c.Organisations = []catalogue.Organisation{{Name: "boots", Keys: []string{"key"}, Priority: organisationPriority}}
	built, err := catalogue.Build(&c)
	if err != nil {
		t.Fatal(err)
	}
	b.stateCache.Update(&catalogue.State{Index: 2, Catalogue: built}, "test")
	r := &run{server: b.server, request: b.request("long"), tried: map[uint64]bool{}}
	if err := r.admit(context.Background()); err != nil {
		t.Fatal(err)
	}
	return b, r
}

func TestOrganisationPriorityOverridesRoutePriority(t *testing.T) {
	pointer := func(n int) *int { return &n }
	for _, c := range []struct {
		route        int
		organisation *int
		want         int
	}{{3, nil, 3}, {3, pointer(0), 0}, {0, pointer(4), 4}, {-1, nil, 0}, {70, nil, 9}, {1, pointer(12), 9}} {
		_, r := admitted(t, c.route, c.organisation)
		if r.priority != c.want {
			t.Errorf("route %d: priority %d, want %d", c.route, r.priority, c.want)
		}
		if a := r.newAttempt(r.tryPlace(), &reservations{}); a.Priority == nil || *a.Priority != c.want {
			t.Errorf("route %d: the attempt has priority %v", c.route, a.Priority)
		}
	}
}

// An attempt is sent by a goroutine of its own while the search for another endpoint may give
// the request new priorities. Sharing the value was a data race.
func TestAttemptKeepsItsPriority(t *testing.T) {
	_, r := admitted(t, 3, nil)
	a := r.newAttempt(r.tryPlace(), &reservations{})
	r.enginePriority = 5
	if *a.Priority != 3 {
		t.Errorf("the priority of an attempt changed from 3 to %d", *a.Priority)
	}
}

// A retry was sent with the number and the rank of admission when the routes had become
// different in priority, or equal, while the request's own priority stayed.
func TestRetryHasTheRankOfTheNewCatalogue(t *testing.T) {
	b := newQueueBed(t, queueEngine)
	r := &run{server: b.server, request: queueRequest("r2", 2, 1), tried: map[uint64]bool{}}
	if err := r.admit(t.Context()); err != nil {
		t.Fatal(err)
	}
	for i, c := range []struct {
		routes []int
		ranked bool
		rank   int
	}{{[]int{1, 1, 2}, true, 1}, {[]int{2, 2, 2}, false, 0}, {[]int{0, 1, 2}, true, 2}} {
		b.setPriorities(t, uint64(10+i), queueEngine, c.routes...)
		r.joinQueue(t.Context(), r.placementDeadline()).leave()
		if r.ranked != c.ranked || r.routeRank != c.rank {
			t.Errorf("routes %v: ranked is %v, rank %d", c.routes, r.ranked, r.routeRank)
		}
	}
}

func TestMoreUrgentRequestHasMoreCredit(t *testing.T) {
	b, urgent := admitted(t, 0, nil)
	_, other := admitted(t, 2, nil)
	x, y := urgent.placementRequest(b.stateCache.State()), other.placementRequest(b.stateCache.State())
	if ratio := x.Credit / y.Credit; math.Abs(ratio-urgencyRatio*urgencyRatio) > 1e-9 {
		t.Errorf("a priority more urgent by two has %.3f times the credit", ratio)
	}
}
