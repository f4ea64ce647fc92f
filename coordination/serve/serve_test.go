package serve

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// responders are the responses to the attempts of a test, in order.
type responders = []func(context.Context, *Attempt) (*Response, error)

func TestFinalAnswers(t *testing.T) {
	cases := []struct {
		name      string
		route     string
		responses responders
		status    int
		sends     int
		body      string
	}{
		{"served", "once", responders{good("yes")}, 200, 1, "yes"},
		{"refused by a full endpoint, retried", "once", responders{overloaded, good("yes")}, 200, 2, "yes"},
		{"unreachable endpoint, retried", "once", responders{unreachable, good("yes")}, 200, 2, "yes"},
		{"not retried after it may have run", "once", responders{reset, good("yes")}, 502, 1, ""},
		{"the final error after it may have run does not say not run", "again", responders{reset, overloaded, overloaded}, 502, 3, ""},
		{"idempotent: retried", "again", responders{reset, good("yes")}, 200, 2, "yes"},
		{"idempotent: sent to MaxEndpoints at most", "again", responders{reset, reset, good("no")}, 502, 2, ""},
		{"response to another request", "once", responders{mismatched("no")}, 502, 1, ""},
		{"response to another request, idempotent", "again", responders{mismatched("no"), good("yes")}, 200, 2, "yes"},
		{"incomplete response", "again", responders{breakingOff("ye"), good("yes")}, 200, 2, "yes"},
		{"endpoint error", "once", responders{withStatus(500, true)}, 500, 1, ""},
		{"endpoint error, retried", "again", responders{withStatus(500, true), good("yes")}, 200, 2, "yes"},
		{"the last endpoint error is forwarded", "again", responders{withStatus(500, true), withStatus(500, true)}, 500, 2, ""},
		{"success without a signature", "once", responders{withStatus(200, false)}, 502, 1, ""},
		{"all endpoints refuse", "once", responders{overloaded, overloaded, overloaded}, 503, 3, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, c.responses...)
			g := b.serve(t.Context(), c.route)
			if g.status != c.status || g.body.String() != c.body || len(b.sentAttempts()) != c.sends || g.sent != 1 {
				t.Errorf("status %d, body %q, %d attempts, %d answers; fault %v", g.status, g.body.String(), len(b.sentAttempts()), g.sent, g.fault)
			}
			if c.status == 503 && g.fault.RetryAfter == 0 {
				t.Error("a refusal has no Retry-After")
			}
			if left := len(b.scheduler.OwnEvents()); left != 0 {
				t.Errorf("%d pieces of work are left in the scheduler", left)
			}
		})
	}
}

// mismatched responds to another request.
func mismatched(body string) func(context.Context, *Attempt) (*Response, error) {
	return func(ctx context.Context, a *Attempt) (*Response, error) {
		r, err := good(body)(ctx, a)
		r.MatchesAttempt = false
		return r, err
	}
}

func TestEachAttemptGoesToAnotherEndpoint(t *testing.T) {
	b := newTestbed(t, overloaded, overloaded, good("yes"))
	b.serve(t.Context(), "once")
	seen := make(map[string]bool)
	for _, a := range b.sentAttempts() {
		if seen[a.Endpoint.ID] {
			t.Errorf("%s got two attempts", a.Endpoint.ID)
		}
		seen[a.Endpoint.ID] = true
	}
}

// events returns the text of consecutive events; from and to are the first and the
// last ID.
func events(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: piece\n\n", i)
	}
	return text
}

func TestStreamResumesAtAnotherEndpoint(t *testing.T) {
	b := newTestbed(t, breakingOff(events(1, 3)+"id: 4\nda"), good(events(4, 6)))
	g := b.serve(t.Context(), "stream")
	if g.body.String() != events(1, 6) || g.aborted || g.sent != 1 {
		t.Errorf("aborted %v, %d answers, body %q", g.aborted, g.sent, g.body.String())
	}
	if last := b.sentAttempts()[1].LastEventID; last != "3" {
		t.Errorf("the stream resumed after event %q", last)
	}
}

func TestStreamThatIsNotResumableIsAborted(t *testing.T) {
	b := newTestbed(t, breakingOff(events(1, 3)), good(events(4, 6)))
	g := b.serve(t.Context(), "stream-once")
	if !g.aborted || g.body.String() != events(1, 3) || len(b.sentAttempts()) != 1 {
		t.Errorf("aborted %v, %d attempts, body %q", g.aborted, len(b.sentAttempts()), g.body.String())
	}
}

func TestStreamEndingWithinAnEventIsIncomplete(t *testing.T) {
	b := newTestbed(t, good(events(1, 2)+"id: 3\n"), good(events(3, 3)))
	if g := b.serve(t.Context(), "stream"); g.body.String() != events(1, 3) {
		t.Errorf("body %q", g.body.String())
	}
}

func TestUnknownRouteOrKeyIsRefused(t *testing.T) {
	b := newTestbed(t)
	if g := b.serve(t.Context(), "nowhere"); g.status != 404 {
		t.Errorf("no route: %d", g.status)
	}
	g := &recorder{}
	b.server.Serve(t.Context(), &Request{ID: "r", Host: "h:80", Path: "/once/", APIKey: "wrong", Arrived: time.Now(), TimeLimit: time.Second}, g)
	if g.status != 401 {
		t.Errorf("unknown key: %d", g.status)
	}
}

func TestUnconfirmedStateServesNothing(t *testing.T) {
	b := newTestbed(t, good("no"))
	b.setMaxStateAge(time.Nanosecond)
	for _, name := range []string{"once", "nowhere"} {
		if g := b.serve(t.Context(), name); g.status != 503 || g.fault.RetryAfter == 0 {
			t.Errorf("%s: status %d, %v", name, g.status, g.fault)
		}
	}
	if len(b.sentAttempts()) != 0 {
		t.Error("an attempt was sent")
	}
}

// The state's confirmation may expire while a request waits for room: an attempt is
// then not sent.
func TestStateIsCheckedRightBeforeAnAttempt(t *testing.T) {
	b := newTestbed(t, good("no"))
	r := &run{server: b.server, request: &Request{ID: "r", Arrived: time.Now()}, tried: make(map[uint64]bool), deadline: time.Now().Add(time.Second)}
	c := b.stateCache.State().Catalogue
	r.route, r.service = c.Match("h", "/once/"), c.Services["s"]
	plan := r.tryPlace()
	b.setMaxStateAge(time.Nanosecond)
	if err := r.attempt(t.Context(), plan); err == nil || len(b.sentAttempts()) != 0 {
		t.Errorf("an attempt was sent on a state that is not current: %v", err)
	}
}

func TestDrainingEndpointsAndDataCentresOutOfServiceGetNoRequest(t *testing.T) {
	b := newTestbed(t, good("no"))
	for i := range 2 {
		b.directory.Announce(&wire.EndpointRecord{
			Id: fmt.Sprintf("e%d", i), BornMs: 1, Sequence: 2, Service: "s", DataCentre: "dc1", Slots: 4,
			Address: fmt.Sprintf("10.0.0.%d:80", i), Condition: wire.EndpointCondition_ENDPOINT_CONDITION_DRAINING,
		})
	}
	b.directory.Leave("e2", 0)
	if g := b.serve(t.Context(), "once"); g.status != 503 || len(b.sentAttempts()) != 0 {
		t.Errorf("draining: status %d, %d attempts", g.status, len(b.sentAttempts()))
	}
	b = newTestbed(t, good("no"))
	next := *b.stateCache.State()
	next.Index, next.DataCentresOut = 2, []string{"dc1"}
	b.stateCache.Update(&next, "test")
	b.stateCache.Confirm(2, monotonic.Now())
	if g := b.serve(t.Context(), "once"); g.status != 503 || len(b.sentAttempts()) != 0 {
		t.Errorf("data centre out of service: status %d, %d attempts", g.status, len(b.sentAttempts()))
	}
}

func TestCallerDisconnectCancelsTheAttempt(t *testing.T) {
	ended := make(chan struct{})
	b := newTestbed(t, func(ctx context.Context, _ *Attempt) (*Response, error) {
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	})
	ctx, disconnect := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, disconnect)
	g := b.serve(ctx, "once")
	<-ended
	if g.sent != 0 || !g.aborted {
		t.Errorf("%d answers to a caller that disconnected", g.sent)
	}
}

// A stalled attempt is cancelled for one at another endpoint, but only where the
// request may run again.
func TestStalledEndpoint(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := newTestbed(t, silent, good("yes"))
		b.setMaxStateAge(0)
		if g := b.serve(t.Context(), "again"); g.status != 200 {
			t.Errorf("idempotent: %d", g.status)
		}
		b = newTestbed(t, silent, good("no"))
		b.setMaxStateAge(0)
		began := time.Now()
		if g := b.serve(t.Context(), "once"); g.status != 504 || len(b.sentAttempts()) != 1 {
			t.Errorf("at most once: %d after %d attempts", g.status, len(b.sentAttempts()))
		}
		if took := time.Since(began); took != 2*time.Second {
			t.Errorf("the final answer came after %v, not at the route's timeout", took)
		}
	})
}

// A stalled stream resumes at another endpoint; when there is none, it goes on
// waiting.
func TestStalledStream(t *testing.T) {
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
		b := newTestbed(t, pausing(time.Hour), good(events(3, 3)))
		b.setMaxStateAge(0)
		if g := b.serve(t.Context(), "stream"); g.body.String() != events(1, 3) || len(b.sentAttempts()) != 2 {
			t.Errorf("%d attempts, body %q", len(b.sentAttempts()), g.body.String())
		}
		b = newTestbed(t, pausing(1500*time.Millisecond))
		b.setMaxStateAge(0)
		b.directory.Leave("e1", 0)
		b.directory.Leave("e2", 0)
		if g := b.serve(t.Context(), "stream"); g.aborted || g.body.String() != events(1, 3) {
			t.Errorf("no other endpoint: aborted %v, body %q", g.aborted, g.body.String())
		}
	})
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	now := time.Unix(0, 0)
	settings := &Settings{RetryRatio: 0.2, RetrySlack: 8, RetryWindow: 10 * time.Second, EntryCount: func() int { return 4 }}
	b := newRetryBudget(func() *Settings { return settings })
	b.now = func() time.Time { return now }
	for range 100 {
		b.recordRequest("s")
	}
	taken := 0
	for b.take("s") {
		taken++
	}
	if want := int(budgetShare * (0.2*100 + 8.0/4)); taken != want {
		t.Errorf("%d retries, want %d", taken, want)
	}
	if !b.take("other") || b.take("other") {
		t.Error("a service without requests has its part of the slack, one retry")
	}
	now = now.Add(11 * time.Second)
	if !b.take("s") || b.take("s") {
		t.Error("requests and retries outside the window still count")
	}
}

func TestTrafficSplitFollowsTheWeights(t *testing.T) {
	split := []catalogue.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}
	count := make(map[string]int)
	for i := range 10_000 {
		count[pickService(split, fmt.Sprint(i))]++
	}
	if count["c"] != 0 || count["b"] < 700 || count["b"] > 1300 {
		t.Errorf("got %v", count)
	}
}

// When an endpoint refuses because of a helper, the scheduler backs off from the
// helper, not from the endpoint.
func TestFailureIsRecordedForTheFailedHelper(t *testing.T) {
	b := newEngineTestbed(t)
	r := &run{server: b.server, request: &Request{ID: "r", Arrived: time.Now()}}
	endpoints := b.directory.Endpoints("engine")
	plan := &placement.Plan{Endpoints: endpoints[:3]}
	r.recordRefusal(plan, &notRunError{failedHelper: endpoints[1].Address})
	if backingOff := b.scheduler.Stats().BackingOff; backingOff != 1 {
		t.Errorf("%d endpoints are backing off", backingOff)
	}
	r.recordRefusal(plan, &notRunError{failedHelper: endpoints[1].ID})
	if backingOff := b.scheduler.Stats().BackingOff; backingOff != 1 {
		t.Errorf("%d endpoints are backing off after the same helper was named by its ID", backingOff)
	}
}

// A shorter time limit doesn't mean that the caller is retrying, since callers'
// limits differ: all requests wait equally long for room.
func TestCapacityWaitIgnoresTheCallersTimeLimit(t *testing.T) {
	b := newEngineTestbed(t)
	for _, share := range []float64{1, 0.95, 0.85, 0.3} {
		q := b.request("long")
		r := &run{server: b.server, request: q, tried: map[uint64]bool{}}
		if err := r.admit(t.Context()); err != nil {
			t.Fatal(err)
		}
		q.TimeLimit = time.Duration(share * float64(r.route.Timeout))
		if wait := r.placementDeadline().Sub(r.admittedAt); wait != r.route.Objective/capacityWaitDivisor {
			t.Errorf("with %.2f of the route's timeout it waits for %v", share, wait)
		}
	}
}

// After a restart of all processes, requests wait until the state is confirmed.
// That wait must not count towards their wait for room.
func TestCapacityWaitStartsAtAdmission(t *testing.T) {
	b := newEngineTestbed(t)
	q := b.request("long")
	q.Arrived = q.Arrived.Add(-4 * time.Second)
	q.TimeLimit = 20 * time.Second
	r := &run{server: b.server, request: q, tried: map[uint64]bool{}}
	began := time.Now()
	if err := r.admit(t.Context()); err != nil {
		t.Fatal(err)
	}
	if r.placementDeadline().Before(began.Add(r.route.Objective / capacityWaitDivisor)) {
		t.Errorf("it is refused %v after the start of admission", r.placementDeadline().Sub(began))
	}
}

// After a restart of all processes, an entry learns of the endpoints one by one as
// they announce themselves. In the meantime no request is refused whose caller can
// wait.
func TestStartedEntryWaitsForAnnouncements(t *testing.T) {
	b := newEngineTestbed(t)
	settings := *b.server.settings.Load()
	settings.AnnounceInterval = 4 * time.Second
	b.server.SetSettings(settings)
	waitEnd := func(waited time.Duration) time.Duration {
		q := b.request("long") // caller timeout 20 s, objective 10 s
		q.Arrived, q.TimeLimit = q.Arrived.Add(-waited), 20*time.Second
		r := &run{server: b.server, request: q, tried: map[uint64]bool{}}
		if err := r.admit(t.Context()); err != nil {
			t.Fatal(err)
		}
		return r.placementDeadline().Sub(b.server.startedAt).Round(time.Second)
	}
	if got := waitEnd(0); got != 5*time.Second {
		t.Errorf("it waits until %v after the start, want 5s", got)
	}
	if got := waitEnd(7 * time.Second); got != 3*time.Second {
		t.Errorf("with a caller timeout in 13 s it waits until %v after the start, want 3s", got)
	}
	b.server.startedAt = b.server.startedAt.Add(-time.Minute)
	if got := waitEnd(0); got >= 62*time.Second {
		t.Errorf("an entry that has run for a minute waits until %v after the start", got)
	}
}
