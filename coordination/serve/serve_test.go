package serve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

type answers = []func(context.Context, *Attempt) (*Response, error)

func TestFinalAnswers(t *testing.T) {
	cases := []struct {
		name    string
		route   string
		answers answers
		status  int
		sends   int
		body    string
	}{
		{"served", "once", answers{good("yes")}, 200, 1, "yes"},
		{"a full endpoint has not run it", "once", answers{full, good("yes")}, 200, 2, "yes"},
		{"an unreachable endpoint has not run it", "once", answers{unreachable, good("yes")}, 200, 2, "yes"},
		{"not sent again after it may have run", "once", answers{reset, good("yes")}, 502, 1, ""},
		{"no promise after it may have run", "again", answers{reset, full, full}, 502, 3, ""},
		{"idempotent: sent again", "again", answers{reset, good("yes")}, 200, 2, "yes"},
		{"idempotent: at most its endpoints", "again", answers{reset, reset, good("no")}, 502, 2, ""},
		{"another's answer", "once", answers{foreign("no")}, 502, 1, ""},
		{"another's answer, idempotent", "again", answers{foreign("no"), good("yes")}, 200, 2, "yes"},
		{"an answer that breaks off", "again", answers{breaking("ye"), good("yes")}, 200, 2, "yes"},
		{"a failure of the endpoint", "once", answers{status(500, true)}, 500, 1, ""},
		{"a failure of the endpoint, repeated", "again", answers{status(500, true), good("yes")}, 200, 2, "yes"},
		{"the last failure is passed on", "again", answers{status(500, true), status(500, true)}, 500, 2, ""},
		{"a success without signature", "once", answers{status(200, false)}, 502, 1, ""},
		{"nobody takes it", "once", answers{full, full, full}, 503, 3, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, c.answers...)
			g := b.serve(t.Context(), c.route)
			if g.status != c.status || g.body.String() != c.body || len(b.sendings()) != c.sends || g.starts != 1 {
				t.Errorf("status %d, body %q, %d sendings, %d answers; fault %v", g.status, g.body.String(), len(b.sendings()), g.starts, g.fault)
			}
			if c.status == 503 && g.fault.RetryAfter == 0 {
				t.Error("a refusal does not say when to come back")
			}
			if left := len(b.book.OwnEvents()); left != 0 {
				t.Errorf("%d pieces of work are left in the ledger", left)
			}
		})
	}
}

func foreign(body string) func(context.Context, *Attempt) (*Response, error) {
	return func(ctx context.Context, a *Attempt) (*Response, error) {
		r, err := good(body)(ctx, a)
		r.MatchesAttempt = false
		return r, err
	}
}

func TestEachAttemptGoesToAnotherEndpoint(t *testing.T) {
	b := newBed(t, full, full, good("yes"))
	b.serve(t.Context(), "once")
	seen := make(map[string]bool)
	for _, a := range b.sendings() {
		if seen[a.Endpoint.ID] {
			t.Errorf("%s was asked twice", a.Endpoint.ID)
		}
		seen[a.Endpoint.ID] = true
	}
}

func events(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: piece\n\n", i)
	}
	return text
}

func TestAStreamGoesOnAtAnotherEndpoint(t *testing.T) {
	b := newBed(t, breaking(events(1, 3)+"id: 4\nda"), good(events(4, 6)))
	g := b.serve(t.Context(), "stream")
	if g.body.String() != events(1, 6) || g.broken || g.starts != 1 {
		t.Errorf("broken %v, %d answers, body %q", g.broken, g.starts, g.body.String())
	}
	if last := b.sendings()[1].LastEventID; last != "3" {
		t.Errorf("went on after event %q", last)
	}
}

func TestAStreamThatMayNotBeResumedIsBrokenOff(t *testing.T) {
	b := newBed(t, breaking(events(1, 3)), good(events(4, 6)))
	g := b.serve(t.Context(), "stream-once")
	if !g.broken || g.body.String() != events(1, 3) || len(b.sendings()) != 1 {
		t.Errorf("broken %v, %d sendings, body %q", g.broken, len(b.sendings()), g.body.String())
	}
}

func TestAStreamThatEndsWithinAnEventIsNotComplete(t *testing.T) {
	b := newBed(t, good(events(1, 2)+"id: 3\n"), good(events(3, 3)))
	if g := b.serve(t.Context(), "stream"); g.body.String() != events(1, 3) {
		t.Errorf("body %q", g.body.String())
	}
}

func TestWithoutRouteOrKeyNothingIsSent(t *testing.T) {
	b := newBed(t)
	if g := b.serve(t.Context(), "nowhere"); g.status != 404 {
		t.Errorf("no route: %d", g.status)
	}
	g := &given{}
	b.server.Serve(t.Context(), &Request{ID: "r", Host: "h:80", Path: "/once/", APIKey: "wrong", Arrived: time.Now(), TimeLimit: time.Second}, g)
	if g.status != 401 {
		t.Errorf("unknown key: %d", g.status)
	}
}

func TestAStateThatIsNotConfirmedServesNothing(t *testing.T) {
	b := newBed(t, good("no"))
	b.currentFor(time.Nanosecond)
	for _, name := range []string{"once", "nowhere"} {
		if g := b.serve(t.Context(), name); g.status != 503 || g.fault.RetryAfter == 0 {
			t.Errorf("%s: status %d, %v", name, g.status, g.fault)
		}
	}
	if len(b.sendings()) != 0 {
		t.Error("it was sent")
	}
}

// The lease runs out while the request waits for room.
func TestTheLeaseIsCheckedRightBeforeTheSending(t *testing.T) {
	b := newBed(t, good("no"))
	r := &run{server: b.server, request: &Request{ID: "r", Arrived: time.Now()}, tried: make(map[uint64]bool), limit: time.Now().Add(time.Second)}
	c := b.store.State().Catalogue
	r.route, r.service = c.Match("h", "/once/"), c.Services["s"]
	plan := r.tryPlace()
	b.currentFor(time.Nanosecond)
	if err := r.attempt(t.Context(), plan); err == nil || len(b.sendings()) != 0 {
		t.Errorf("sent under a lease that ran out: %v", err)
	}
}

func TestDrainingEndpointsAndDataCentresOutGetNothing(t *testing.T) {
	b := newBed(t, good("no"))
	for i := range 2 {
		b.directory.Announce(&wire.EndpointRecord{
			Id: fmt.Sprintf("e%d", i), BornMs: 1, Sequence: 2, Service: "s", DataCentre: "dc1", Slots: 4,
			Address: fmt.Sprintf("10.0.0.%d:80", i), Condition: wire.EndpointCondition_ENDPOINT_CONDITION_DRAINING,
		})
	}
	b.directory.Leave("e2", 0)
	if g := b.serve(t.Context(), "once"); g.status != 503 || len(b.sendings()) != 0 {
		t.Errorf("draining: status %d, %d sendings", g.status, len(b.sendings()))
	}
	b = newBed(t, good("no"))
	next := *b.store.State()
	next.Index, next.Out = 2, []string{"dc1"}
	b.store.Update(&next, "test")
	b.store.Confirm(2, steady.Now())
	if g := b.serve(t.Context(), "once"); g.status != 503 || len(b.sendings()) != 0 {
		t.Errorf("data centre out: status %d, %d sendings", g.status, len(b.sendings()))
	}
}

func TestACallerThatLeavesEndsTheSending(t *testing.T) {
	ended := make(chan struct{})
	b := newBed(t, func(ctx context.Context, _ *Attempt) (*Response, error) {
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	})
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, leave)
	g := b.serve(ctx, "once")
	<-ended
	if g.starts != 0 || !g.broken {
		t.Errorf("%d answers to a caller that left", g.starts)
	}
}

// A silent endpoint is given up for another one, and only where that may be.
func TestASilentEndpoint(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := newBed(t, silent, good("yes"))
		b.currentFor(0)
		if g := b.serve(t.Context(), "again"); g.status != 200 {
			t.Errorf("idempotent: %d", g.status)
		}
		b = newBed(t, silent, good("no"))
		b.currentFor(0)
		began := time.Now()
		if g := b.serve(t.Context(), "once"); g.status != 504 || len(b.sendings()) != 1 {
			t.Errorf("at most once: %d after %d sendings", g.status, len(b.sendings()))
		}
		if took := time.Since(began); took != 2*time.Second {
			t.Errorf("the final answer came after %v, not at its timeout", took)
		}
	})
}

// A stream that falls silent goes on elsewhere; with no other endpoint it waits.
func TestAStreamThatFallsSilent(t *testing.T) {
	pausing := func(pause time.Duration) func(context.Context, *Attempt) (*Response, error) {
		return func(ctx context.Context, _ *Attempt) (*Response, error) {
			r, w := io.Pipe()
			go func() {
				_, _ = io.WriteString(w, events(1, 2)) // fails when the reader is gone
				select {
				case <-time.After(pause):
					_, _ = io.WriteString(w, events(3, 3))
					_ = w.Close()
				case <-ctx.Done():
					_ = w.CloseWithError(ctx.Err())
				}
			}()
			return &Response{Status: 200, Header: http.Header{}, Body: r, Signed: true, MatchesAttempt: true}, nil
		}
	}
	bubble.Run(t, func(t *testing.T) {
		b := newBed(t, pausing(time.Hour), good(events(3, 3)))
		b.currentFor(0)
		if g := b.serve(t.Context(), "stream"); g.body.String() != events(1, 3) || len(b.sendings()) != 2 {
			t.Errorf("%d sendings, body %q", len(b.sendings()), g.body.String())
		}
		b = newBed(t, pausing(1500*time.Millisecond))
		b.currentFor(0)
		b.directory.Leave("e1", 0)
		b.directory.Leave("e2", 0)
		if g := b.serve(t.Context(), "stream"); g.broken || g.body.String() != events(1, 3) {
			t.Errorf("alone: broken %v, body %q", g.broken, g.body.String())
		}
	})
}

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	now := time.Unix(0, 0)
	settings := &Settings{RetryRatio: 0.2, RetrySlack: 8, RetryWindow: 10 * time.Second, EntryCount: func() int { return 4 }}
	b := newRepeatBudget(func() *Settings { return settings })
	b.now = func() time.Time { return now }
	for range 100 {
		b.asked("s")
	}
	taken := 0
	for b.take("s") {
		taken++
	}
	if want := int(budgetShare * (0.2*100 + 8.0/4)); taken != want {
		t.Errorf("%d repeats, want %d", taken, want)
	}
	if !b.take("other") || b.take("other") {
		t.Error("a service without requests has its part of the slack, one repeat")
	}
	now = now.Add(11 * time.Second)
	if !b.take("s") || b.take("s") {
		t.Error("out of the window, requests and repeats count no more")
	}
}

func TestTheSplitFollowsTheWeights(t *testing.T) {
	split := []catalogue.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}
	count := make(map[string]int)
	for i := range 10_000 {
		count[pick(split, fmt.Sprint(i))]++
	}
	if count["c"] != 0 || count["b"] < 700 || count["b"] > 1300 {
		t.Errorf("got %v", count)
	}
}

// The helper that made an endpoint refuse rests, not the endpoint.
func TestTheHelperAtFaultIsBlamed(t *testing.T) {
	b := longBed(t)
	r := &run{server: b.server, request: &Request{ID: "r", Arrived: time.Now()}}
	endpoints := b.directory.Endpoints("engine")
	plan := &placement.Plan{Endpoints: endpoints[:3]}
	r.blame(plan, &notRunError{atFault: endpoints[1].Address})
	if resting := b.book.Stats().BackingOff; resting != 1 {
		t.Errorf("%d endpoints rest", resting)
	}
	r.blame(plan, &notRunError{atFault: endpoints[1].ID})
	if resting := b.book.Stats().BackingOff; resting != 1 {
		t.Errorf("%d endpoints rest after the same one was named by its identity", resting)
	}
}

// Callers' limits differ, so a shorter one does not tell that they came back.
func TestAllWaitForRoomEquallyLong(t *testing.T) {
	b := longBed(t)
	for _, part := range []float64{1, 0.95, 0.85, 0.3} {
		q := b.request("long")
		r := &run{server: b.server, request: q, tried: map[uint64]bool{}}
		if err := r.admit(t.Context()); err != nil {
			t.Fatal(err)
		}
		q.TimeLimit = time.Duration(part * float64(r.route.Timeout))
		if hold := r.holdUntil().Sub(r.admittedAt); hold != r.route.Objective/holdShare {
			t.Errorf("with %.2f of the time left it waits for %v", part, hold)
		}
	}
}

// After a restart of all processes requests wait until the state is confirmed.
// They wait for room as long as others do then.
func TestOneThatWaitedForTheStateIsStillHeldForRoom(t *testing.T) {
	b := longBed(t)
	q := b.request("long")
	q.Arrived = q.Arrived.Add(-4 * time.Second)
	q.TimeLimit = 20 * time.Second
	r := &run{server: b.server, request: q, tried: map[uint64]bool{}}
	began := time.Now()
	if err := r.admit(t.Context()); err != nil {
		t.Fatal(err)
	}
	if r.holdUntil().Before(began.Add(r.route.Objective / holdShare)) {
		t.Errorf("it is refused %v after it could be placed", r.holdUntil().Sub(began))
	}
}

// After a restart of all processes endpoints become known one by one, as they
// announce themselves. Nobody is refused meanwhile whose caller can wait.
func TestAStartedEntryWaitsForTheAnnouncementsOfEndpoints(t *testing.T) {
	b := longBed(t)
	settings := *b.server.settings.Load()
	settings.AnnounceInterval = 4 * time.Second
	b.server.SetSettings(settings)
	hold := func(waited time.Duration) time.Duration {
		q := b.request("long") // patience 20 s, objective 10 s
		q.Arrived, q.TimeLimit = q.Arrived.Add(-waited), 20*time.Second
		r := &run{server: b.server, request: q, tried: map[uint64]bool{}}
		if err := r.admit(t.Context()); err != nil {
			t.Fatal(err)
		}
		return r.holdUntil().Sub(b.server.startedAt).Round(time.Second)
	}
	if got := hold(0); got != 5*time.Second {
		t.Errorf("held until %v after the start, want 5s", got)
	}
	if got := hold(7 * time.Second); got != 3*time.Second {
		t.Errorf("one whose caller leaves in 13 s is held until %v after the start, want 3s", got)
	}
	b.server.startedAt = b.server.startedAt.Add(-time.Minute)
	if got := hold(0); got >= 62*time.Second {
		t.Errorf("an entry that runs for long holds until %v after the start", got)
	}
}
