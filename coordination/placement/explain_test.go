package placement

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"pgregory.net/rapid"
)

// explainedFleet is a small fleet with random work and health. The same numbers give the
// same fleet.
func explainedFleet(numbers []int, plain bool) (*testbed, *int) {
	b, published := newTestbed(2+numbers[0]%6), new(int)
	if plain {
		b.service = &catalogue.Service{Name: "plain"}
	}
	for i, e := range b.endpoints {
		e.DataCentre = []string{"dc1", "dc2"}[(i+numbers[0])%2]
	}
	b.scheduler.SetTieBreakSeed(uint64(numbers[1]))
	b.scheduler.SetReportingDataCentres([]string{"dc2", "dc3"}[numbers[1]%2:])
	for _, n := range numbers[2:] {
		e := b.endpoints[n%len(b.endpoints)]
		switch n / 8 % 8 {
		case 0:
			b.scheduler.ApplyReport(&wire.LoadReport{DataCentre: "dc2", Endpoints: []*wire.EndpointWork{{
				Endpoint: e.Key, Answers: uint32(n % 4), Writers: uint32(n % 3), ReadUs: uint32(n) * 100, ReadTokens: uint32(n),
			}}})
		case 1:
			b.scheduler.RecordFailure(e.Key)
		case 2:
			b.scheduler.RecordRefusal(e.Key)
		case 3:
			b.now = b.now.Add(time.Duration(n) * time.Millisecond)
		case 4:
			b.scheduler.Choose(b.endpoints, b.long())
		default:
			if p := b.scheduler.Choose(b.endpoints, b.short()); p != nil && n%2 == 0 {
				p.Handle.MarkStarted()
			}
		}
	}
	b.scheduler.OnWorkEvent(func(*wire.WorkEvent, Scope) { *published++ })
	return b, published
}

// snapshot returns what later choices depend on.
func snapshot(b *testbed) []any {
	s := b.scheduler
	c := s.clone(b.endpoints)
	items := []any{len(s.states), s.lastNumber, s.bias, s.estimates.stats, c.states, c.estimates.groups, *c.estimates.source, len(s.awaitingConflicts)}
	for _, e := range b.endpoints {
		if state := s.states[e.Key]; state != nil {
			for _, w := range state.inFlight {
				items = append(items, *w)
			}
		}
	}
	return items
}

// Guards against an explanation that differs from the choice it explains, and against one
// that changes that choice: the equal fleet is never asked for an explanation.
func TestExplainMakesTheNextChoiceAndChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.SliceOfN(rapid.IntRange(0, 999), 4, 30).Draw(t, "numbers")
		plain, long := rapid.Bool().Draw(t, "plain"), rapid.Bool().Draw(t, "long")
		b, published := explainedFleet(numbers, plain)
		equal, _ := explainedFleet(numbers, plain)
		request := b.short()
		if long {
			request = b.long()
		}
		before := snapshot(b)
		first, x := b.scheduler.Explain(b.endpoints, request), b.scheduler.Explain(b.endpoints, request)
		if !reflect.DeepEqual(before, snapshot(b)) || *published > 0 {
			t.Fatalf("the scheduler has changed, %d events were published", *published)
		}
		want, got := fmt.Sprint(planOf(equal.scheduler.Choose(equal.endpoints, request))), fmt.Sprint(planOf(b.scheduler.Choose(b.endpoints, request)))
		if a, again := fmt.Sprint(planOf(first.Plan)), fmt.Sprint(planOf(x.Plan)); a != want || again != want || got != want {
			t.Fatalf("explained %s and %s, chose %s, the equal fleet chose %s", a, again, got, want)
		}
	})
}

// planOf returns what a plan decides, and by which figures.
func planOf(p *Plan) []any {
	if p == nil {
		return nil
	}
	ids := []any{p.HeldTokens, p.PredictedFirstMs, p.Candidates, p.ReportAge, p.RunnerUp, p.Score, p.RunnerUpScore, p.Loss}
	for _, e := range p.Endpoints {
		ids = append(ids, e.ID)
	}
	return ids
}

// Guards against an endpoint whose reason is missing or is that of another obstacle.
func TestEachEndpointThatIsLeftOutHasItsReason(t *testing.T) {
	for want, prepare := range map[Reason]func(b *testbed, e *directory.Endpoint, req *Request){
		Excluded: func(_ *testbed, e *directory.Endpoint, req *Request) {
			req.Excluded = func(other *directory.Endpoint) bool { return other == e }
		},
		Draining: func(b *testbed, e *directory.Endpoint, _ *Request) { b.scheduler.RecordDraining(e.Key) },
		Busy:     func(b *testbed, e *directory.Endpoint, _ *Request) { b.scheduler.RecordBusy(e.Key, time.Second) },
		WaitsForPermit: func(b *testbed, e *directory.Endpoint, _ *Request) {
			b.scheduler.RecordRateLimit(e.Key, 1, b.now)
			b.scheduler.EndPermit(e.Key, time.Second)
		},
		AtColdRate: func(b *testbed, e *directory.Endpoint, _ *Request) {
			e.ColdUntil = monotonic.Now().Add(time.Minute)
			b.service.ColdRequestsPerSecond = 0.5
		},
		InBackoff: func(b *testbed, e *directory.Endpoint, _ *Request) { b.scheduler.RecordFailure(e.Key) },
		NotHeard: func(b *testbed, e *directory.Endpoint, _ *Request) {
			b.service.ColdRequestsPerSecond = 0
			e.HeardAt = monotonic.Now().Add(-time.Minute)
		},
		NoSlot:   func(b *testbed, e *directory.Endpoint, _ *Request) { b.occupy(e, 6, 10) },
		NoMemory: func(b *testbed, e *directory.Endpoint, _ *Request) { b.occupy(e, 1, 399_000) },
		TooLate: func(b *testbed, e *directory.Endpoint, req *Request) {
			b.scheduler.ApplyRemote(7, []*wire.WorkEvent{{Step: wire.WorkStep_WORK_STEP_OPEN, Work: 1, Endpoints: []uint64{e.Key}, ReadUs: 60_000_000, PromptTokens: 10}})
		},
		Suspect: func(b *testbed, e *directory.Endpoint, req *Request) {
			*req = *b.long()
			b.scheduler.RecordFailure(e.Key)
			b.now = b.now.Add(time.Second)
		},
		NoLessLoaded: func(b *testbed, e *directory.Endpoint, req *Request) {
			b.service.Engine, e.DataCentre = nil, "dc2"
		},
	} {
		b := newTestbed(4)
		req := b.short()
		prepare(b, b.endpoints[1], req)
		x := b.scheduler.Explain(b.endpoints, req)
		for i, v := range x.EndpointReasons {
			if expected := map[bool]Reason{true: want}[i == 1]; v.Reason != expected {
				t.Errorf("%s: the reason of endpoint %d is %q, want %q", want, i, v.Reason, expected)
			}
		}
		if held := x.EndpointReasons[1].For > 0; held != (want == Busy || want == WaitsForPermit || want == InBackoff) {
			t.Errorf("%s: holds for %v", want, x.EndpointReasons[1].For)
		}
		if x.Plan == nil || x.Plan.Endpoints[0] == b.endpoints[1] {
			t.Errorf("%s: the plan is %v", want, x.Plan)
		}
	}
}

// occupy adds answers of another entry to an endpoint.
func (b *testbed) occupy(e *directory.Endpoint, answers int, promptTokens uint32) {
	for i := range answers {
		b.scheduler.ApplyRemote(7, []*wire.WorkEvent{{
			Step: wire.WorkStep_WORK_STEP_OPEN, Work: uint64(i), Endpoints: []uint64{e.Key}, PromptTokens: promptTokens, LimitMs: 10_000,
		}})
	}
}

// Guards against an explanation that names one endpoint of a draw as if it were the best.
func TestEndpointsThatAreDrawnAmongAreListed(t *testing.T) {
	b := newTestbed(3)
	b.service = &catalogue.Service{Name: "plain"}
	if x := b.scheduler.Explain(b.endpoints, b.short()); len(x.AboutEqual) != 3 {
		t.Errorf("%d endpoints are about equal, want 3", len(x.AboutEqual))
	}
}

// Guards against endpoints of large fleets that are left out of long prompts without a
// reason, and against a refusal without one while every endpoint has room.
func TestReasonsOfLongPrompts(t *testing.T) {
	b, counts := newTestbed(maxShortlist+2), make(map[Reason]int)
	for _, v := range b.scheduler.Explain(b.endpoints, b.long()).EndpointReasons {
		counts[v.Reason]++
	}
	if counts[NotShortlisted] != 2 || counts[NoReason] != maxShortlist {
		t.Errorf("the reasons are %v", counts)
	}
	for want, change := range map[Reason]func(req *Request){
		TooLate:   func(req *Request) { req.Credit, req.CallerTimeout = 1000, 100*time.Millisecond },
		TooCostly: func(req *Request) { req.Credit = 0.01 },
	} {
		b, req := newTestbed(2), b.long()
		for range 4 {
			p := b.choose(t, b.short())
			p.Handle.MarkStarted()
			p.Handle.work.credit = 30
		}
		req.ObjectiveLeft, req.CallerTimeout = 500*time.Millisecond, 10*time.Second
		change(req)
		if x := b.scheduler.Explain(b.endpoints, req); x.Plan != nil || x.NoPlan != want {
			t.Errorf("the plan is %v, refused with %q, want %q", x.Plan, x.NoPlan, want)
		}
	}
}
