package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

const (
	unreadLimit = 4 * time.Second // after which an endpoint of these tests aborts an unread response
	eventEvery  = 10 * time.Millisecond
	never       = time.Hour
)

// slowCaller is a caller that takes some time for each write, or resets its connection.
type slowCaller struct {
	recorder
	delay       func() time.Duration // of the next write
	resetAfter  int                  // bytes; 0 for never
	interrupted chan struct{}
	once        sync.Once
}

func newSlowCaller(delay func() time.Duration) *slowCaller {
	return &slowCaller{delay: delay, interrupted: make(chan struct{})}
}

func (c *slowCaller) Write(p []byte) error {
	if c.resetAfter > 0 && c.body.Len() >= c.resetAfter {
		return errors.New("connection reset by peer")
	}
	select {
	case <-time.After(c.delay()):
	case <-c.interrupted:
		return errors.New("interrupted")
	}
	return c.recorder.Write(p)
}

func (c *slowCaller) Interrupt() { c.once.Do(func() { close(c.interrupted) }) }

// pausingOnce returns the delays of a caller that takes the first writes at once, one of
// them after a pause, and then all.
func pausingOnce(after int, pause time.Duration) func() time.Duration {
	writes := 0
	return func() time.Duration {
		if writes++; writes == after {
			return pause
		}
		return 0
	}
}

func steadily(each time.Duration) func() time.Duration { return func() time.Duration { return each } }

// longEvents returns the text of events of about 1 KB.
func longEvents(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1000))
	}
	return text
}

// unreadBody is the body of an endpoint that sends events at a constant rate, and aborts the
// response when it is not read for unreadLimit.
type unreadBody struct {
	ctx      context.Context
	next, to int
	rest     string
	readAt   time.Time
	err      error
}

func (u *unreadBody) Read(p []byte) (int, error) {
	if !u.readAt.IsZero() && time.Since(u.readAt) > unreadLimit {
		u.err = errors.New("connection reset by peer")
	}
	if u.err != nil {
		return 0, u.err
	}
	if u.rest == "" && u.next > u.to {
		return 0, io.EOF
	}
	if u.rest == "" {
		select {
		case <-time.After(eventEvery):
		case <-u.ctx.Done():
			return 0, u.ctx.Err()
		}
		u.rest = longEvents(u.next, u.next)
		u.next++
	}
	n := copy(p, u.rest)
	u.rest, u.readAt = u.rest[n:], time.Now()
	return n, nil
}

// sendingUntil responds with the events up to the given one, from where the caller is.
func sendingUntil(to int) func(context.Context, *Attempt) (*Response, error) {
	return func(ctx context.Context, a *Attempt) (*Response, error) {
		last, _ := strconv.Atoi(a.LastEventID)
		body := &unreadBody{ctx: ctx, next: last + 1, to: to}
		return &Response{Status: 200, Header: http.Header{"Content-Type": {eventStreamType}}, Body: io.NopCloser(body), Signed: true, MatchesAttempt: true}, nil
	}
}

// newSlowTestbed is newTestbed with a minute for each request.
func newSlowTestbed(t *testing.T, responses ...func(context.Context, *Attempt) (*Response, error)) *testbed {
	b := newTestbed(t, responses...)
	b.setMaxStateAge(0)
	routes := b.stateCache.State().Catalogue.Routes
	for i := range routes {
		routes[i].Timeout, routes[i].CallerTimeout = time.Minute, time.Minute
	}
	return b
}

func (b *testbed) serveSlow(ctx context.Context, route string, c ResponseWriter) {
	q := b.request(route)
	q.TimeLimit = time.Minute
	b.server.Serve(ctx, q, c)
}

// checkNoFault checks that no endpoint is marked, no retry was charged, nothing is late, no
// byte is held and no work is left.
func (b *testbed) checkNoFault(t *testing.T, workEvents []*wire.WorkEvent) {
	t.Helper()
	for _, e := range workEvents {
		if e.Step == wire.WorkStep_WORK_STEP_LATE {
			t.Error("the answer counts as late")
		}
	}
	if n := b.scheduler.Stats().BackingOff; n != 0 {
		t.Errorf("%d endpoints are in back-off", n)
	}
	for _, class := range []string{"failed", "silent", "garbled"} {
		if b.hasMetric(`serve_attempts{organisation="",class="` + class + `"} 1`) {
			t.Errorf("an attempt counts as %s", class)
		}
	}
	if b.hasMetric(`serve_repeats{organisation="",class="resumed"} 1`) {
		t.Error("a retry was charged")
	}
	if held := b.server.bufferedBytes.Load(); held != 0 {
		t.Errorf("%d bytes are held after the end", held)
	}
	if left := len(b.scheduler.OwnEvents()); left != 0 {
		t.Errorf("%d pieces of work are left", left)
	}
}

// Guards against a caller that reads slowly, stops or goes away and is taken for a failure
// of its endpoint.
func TestSlowCallerIsNotTheEndpointsFault(t *testing.T) {
	const whole = 200 // events of about 1 KB, more than a queue holds
	plain := strings.Repeat("x", 300_000)
	for _, c := range []struct {
		name      string
		route     string
		responses responders
		delay     func() time.Duration
		reset     int           // bytes after which the caller resets
		leave     time.Duration // after which the request's context ends; 0 for never
		outcome   string
		sends     int
		least     time.Duration // that serving takes
		most      time.Duration
	}{
		{"reads slowly but steadily", "stream", responders{sendingUntil(whole)}, steadily(200 * time.Millisecond), 0, 0, "served", 1, 9 * time.Second, 15 * time.Second},
		{"reads very slowly, not resumable", "stream-once", responders{sendingUntil(90)}, steadily(2 * time.Second), 0, 0, "served", 1, 40 * time.Second, 50 * time.Second},
		{"stops for good", "stream", responders{sendingUntil(whole)}, pausingOnce(5, never), 0, 0, "cancelled", 1, 5 * time.Second, 20 * time.Second},
		{"stops after the end of the response", "stream", responders{sendingUntil(20)}, pausingOnce(5, never), 0, 0, "cancelled", 1, 5 * time.Second, 20 * time.Second},
		{"stops and goes on", "stream", responders{sendingUntil(whole), sendingUntil(whole)}, pausingOnce(5, 6*time.Second), 0, 0, "served", 2, 7 * time.Second, 12 * time.Second},
		{"stops and goes on, not resumable", "stream-once", responders{sendingUntil(whole)}, pausingOnce(5, 6*time.Second), 0, 0, "cancelled", 1, 6 * time.Second, 7 * time.Second},
		{"resets its connection", "stream", responders{sendingUntil(whole), sendingUntil(whole)}, steadily(0), 5000, 0, "cancelled", 1, 0, time.Second},
		{"has stopped when the entry stops", "stream", responders{sendingUntil(whole)}, pausingOnce(5, never), 0, 3 * time.Second, "cancelled", 1, 3 * time.Second, 3 * time.Second},
		{"stops in a plain answer", "again", responders{good(plain), good(plain)}, pausingOnce(2, never), 0, 0, "cancelled", 1, 5 * time.Second, 20 * time.Second},
		{"resets in a plain answer", "again", responders{good(plain), good(plain)}, steadily(0), 5000, 0, "cancelled", 1, 0, time.Second},
		{"reads a plain answer slowly", "once", responders{good(plain)}, steadily(100 * time.Millisecond), 0, 0, "served", 1, 5 * time.Second, 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				b := newSlowTestbed(t, c.responses...)
				var workEvents []*wire.WorkEvent
				b.scheduler.OnWorkEvent(func(e *wire.WorkEvent, _ placement.Scope) { workEvents = append(workEvents, e) })
				caller := newSlowCaller(c.delay)
				caller.resetAfter = c.reset
				ctx := t.Context()
				if c.leave > 0 {
					limited, cancel := context.WithTimeout(ctx, c.leave)
					defer cancel()
					ctx = limited
				}
				began := time.Now()
				b.serveSlow(ctx, c.route, caller)
				if took := time.Since(began); took < c.least || took > c.most {
					t.Errorf("it took %v", took)
				}
				text := caller.body.String()
				full := strings.HasSuffix(text, longEvents(whole, whole)) || strings.HasSuffix(text, longEvents(90, 90)) || text == plain
				if !strings.HasPrefix(longEvents(1, whole), text) && !strings.HasPrefix(plain, text) {
					t.Error("the answer is not a part of what the endpoint sent")
				}
				if served := c.outcome == "served"; full != served || caller.aborted == served || caller.sent != 1 {
					t.Errorf("%d bytes, aborted %v, %d answers", len(text), caller.aborted, caller.sent)
				}
				if !b.hasMetric(`serve_requests{organisation="boots",class="` + c.outcome + `"} 1`) {
					t.Errorf("the outcome is not %s", c.outcome)
				}
				if sent := len(b.sentAttempts()); sent != c.sends {
					t.Errorf("%d attempts", sent)
				}
				b.checkNoFault(t, workEvents)
			})
		})
	}
}

// Guards against a real failure of an endpoint that is put down to its slow caller.
func TestFailureOfAnEndpointWithASlowCallerCounts(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := newSlowTestbed(t, breakingOff(longEvents(1, 20)), sendingUntil(30))
		caller := newSlowCaller(steadily(50 * time.Millisecond))
		b.serveSlow(t.Context(), "stream", caller)
		if caller.body.String() != longEvents(1, 30) || caller.aborted {
			t.Errorf("aborted %v, %d bytes", caller.aborted, caller.body.Len())
		}
		if !b.hasMetric(`serve_attempts{organisation="",class="failed"} 1`) || !b.hasMetric(`serve_repeats{organisation="",class="resumed"} 1`) {
			t.Error("the failure was not recorded")
		}
	})
}

// Guards against events that wait in the queue of a caller that reads.
func TestQueueAddsNoDelayForACallerThatReads(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := newSlowTestbed(t, sendingUntil(50))
		caller, began, writes := newSlowCaller(steadily(0)), time.Now(), 0
		caller.onWrite = func() error {
			if writes++; time.Since(began) != time.Duration(writes)*eventEvery {
				t.Errorf("event %d came after %v", writes, time.Since(began))
			}
			return nil
		}
		if b.serveSlow(t.Context(), "stream", caller); writes != 50 {
			t.Errorf("%d writes", writes)
		}
	})
}

// addEndpoint announces an endpoint with room for many requests.
func (b *testbed) addEndpoint(slots uint32) {
	b.directory.Announce(&wire.EndpointRecord{Id: "large", BornMs: 1, Sequence: 1, Service: "s", DataCentre: "dc1", Slots: slots, Address: "10.0.9.9:80"})
}

// watchBytes returns a function that returns the most bytes that were held so far.
func (b *testbed) watchBytes(ctx context.Context) (most func() int64) {
	var mu sync.Mutex
	var seen int64
	go func() {
		for wait.For(ctx, eventEvery) {
			mu.Lock()
			seen = max(seen, b.server.bufferedBytes.Load())
			mu.Unlock()
		}
	}()
	return func() int64 {
		mu.Lock()
		defer mu.Unlock()
		return seen
	}
}

// Guards against slow callers that fill the memory, and against ordinary callers that get
// nothing because of them.
func TestMemoryForSlowCallersIsBounded(t *testing.T) {
	const slow = 1000
	for _, c := range []struct {
		name     string
		route    string
		response func(context.Context, *Attempt) (*Response, error)
		callers  int
		delay    time.Duration // of each write
		bound    int64
	}{
		{"streams", "stream", sendingUntil(1000), slow, never, maxBufferedBytes/2 + slow*16<<10},
		{"plain answers that use up the budget", "once", good(strings.Repeat("x", 4_000_000)), 8, never, maxBufferedBytes},
		{"plain answers of which a little is taken steadily", "once", good(strings.Repeat("x", 4_000_000)), 8, 900 * time.Millisecond, maxBufferedBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				responses := make(responders, c.callers)
				for i := range responses {
					responses[i] = c.response
				}
				ordinary := strings.Repeat("y", 3_000_000)
				b := newSlowTestbed(t, append(responses, good(ordinary), sendingUntil(50))...)
				b.addEndpoint(10_000)
				ctx, cancel := context.WithCancel(t.Context())
				most := b.watchBytes(ctx)
				var all sync.WaitGroup
				for range c.callers {
					all.Go(func() { b.serveSlow(ctx, c.route, newSlowCaller(steadily(c.delay))) })
				}
				time.Sleep(500 * time.Millisecond)
				if held := b.server.callers.queued.Load(); c.route == "once" && held > maxBufferedBytes/callersShareDivisor {
					t.Errorf("plain answers in queues hold %d bytes", held)
				}
				time.Sleep(2500 * time.Millisecond)
				reader := newSlowCaller(steadily(0))
				if b.serveSlow(ctx, "once", reader); reader.body.String() != ordinary {
					t.Errorf("an ordinary plain answer: status %d, %d bytes, %v", reader.status, reader.body.Len(), reader.fault)
				}
				reader = newSlowCaller(steadily(0))
				if b.serveSlow(ctx, "stream", reader); reader.body.String() != longEvents(1, 50) || reader.aborted {
					t.Errorf("an ordinary stream: status %d, %d bytes, %v", reader.status, reader.body.Len(), reader.fault)
				}
				all.Wait() // without a cancel: all are ended
				cancel()
				if held := most(); held > c.bound {
					t.Errorf("%d bytes were held", held)
				}
				b.checkNoFault(t, nil)
			})
		})
	}
}

// Guards against a want of memory in this entry that is recorded as a failure of the
// endpoint, and against answers that fail although memory is free a moment later.
func TestWantOfMemoryIsNotTheEndpointsFault(t *testing.T) {
	for _, route := range []string{"stream-once", "once"} {
		for _, c := range []struct {
			held   time.Duration // the whole budget, by others
			status int
		}{{bufferWait / 2, 200}, {never, 502}} {
			bubble.Run(t, func(t *testing.T) {
				b := newSlowTestbed(t, good(longEvents(1, 5)))
				if err := b.server.reserveBytes(maxBufferedBytes); err != nil {
					t.Fatal(err)
				}
				release := time.AfterFunc(c.held, func() { b.server.releaseBytes(maxBufferedBytes) })
				caller := newSlowCaller(steadily(0))
				if b.serveSlow(t.Context(), route, caller); caller.status != c.status {
					t.Errorf("%s, budget held for %v: status %d, %v", route, c.held, caller.status, caller.fault)
				}
				if n := b.scheduler.Stats().BackingOff; n != 0 {
					t.Errorf("%s, budget held for %v: %d endpoints are in back-off", route, c.held, n)
				}
				if release.Stop() {
					b.server.releaseBytes(maxBufferedBytes)
				}
				if held := b.server.bufferedBytes.Load(); held != 0 {
					t.Errorf("%d bytes are held after the end", held)
				}
			})
		}
	}
}
