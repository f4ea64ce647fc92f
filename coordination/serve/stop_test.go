package serve

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// A stopping entry refuses a request whose answer it would cut. Route "long" has an
// objective of 10 s, and its engine takes 34 ms for an event.
func TestRequestThatTheStopWouldCutIsRefused(t *testing.T) {
	for _, c := range []struct {
		left   time.Duration
		tokens int
		status int
	}{
		{time.Minute, 340, 200},
		{11 * time.Second, 340, 503},
		{13 * time.Second, 340, 200},
		{13 * time.Second, 34_000, 503}, // 1,000 events
		{time.Minute, 34_000, 200},
	} {
		b := newEngineTestbed(t, good(events(1, 3)))
		b.server.StopAt(time.Now().Add(c.left))
		q := b.request("long")
		q.TimeLimit = 10 * time.Minute
		q.PromptTokens, q.MaxOutputTokens = 10, c.tokens
		g := &recorder{}
		b.server.Serve(t.Context(), q, g)
		if g.status != c.status {
			t.Errorf("%v left, %d tokens: %d, want %d", c.left, c.tokens, g.status, c.status)
		}
		if sent := len(b.sentAttempts()); (sent == 0) != (c.status == 503) {
			t.Errorf("%v left, %d tokens: %d attempts", c.left, c.tokens, sent)
		}
		if c.status == 503 && g.fault.RetryAfter != stopRetryAfter {
			t.Errorf("Retry-After is %v", g.fault.RetryAfter)
		}
	}
}

// Guards against requests that come late in the grace of a stop being passed on and cut at
// its end: plain ones, and streams that can't go on elsewhere.
func TestRequestThatMayOutliveTheGraceIsRefused(t *testing.T) {
	for _, route := range []string{"once", "again", "stream-once"} {
		bubble.Run(t, func(t *testing.T) {
			testRefusalBeforeTheStop(t, route, 1500*time.Millisecond, 503) // of 2 s that the request may take
			testRefusalBeforeTheStop(t, route, time.Minute, 200)
		})
	}
}

// testRefusalBeforeTheStop serves a request some time before the stop of its entry. It is sent
// unless it is refused with a time.
func testRefusalBeforeTheStop(t *testing.T, route string, left time.Duration, status int) {
	t.Helper()
	b := newTestbed(t, good(events(1, 3)))
	b.setMaxStateAge(0)
	b.server.StopAt(time.Now().Add(left))
	g := b.serve(t.Context(), route)
	if sent := len(b.sentAttempts()); g.status != status || (sent == 0) != (status == 503) {
		t.Errorf("%s with %v left: %d after %d attempts, want %d", route, left, g.status, sent, status)
	}
	if g.status == 503 && g.fault.RetryAfter != stopRetryAfter {
		t.Errorf("%s: Retry-After is %v", route, g.fault.RetryAfter)
	}
}

// Guards against a stop that cuts requests without an answer: one that an endpoint may
// have run gets a 502, one that was not sent a promise that it has not run.
func TestStopAnswersRequestsThatHaveNotBegun(t *testing.T) {
	const left = 400 * time.Millisecond // until the stop; the requests may take 2 s
	b := newTestbed(t, silent)
	time.AfterFunc(left/4, func() { b.server.StopAt(time.Now().Add(left)) })
	if g := b.serve(t.Context(), "once"); g.status != 502 || g.aborted {
		t.Errorf("a request that was sent: %d, aborted %v", g.status, g.aborted)
	}
	b = newTestbed(t)
	b.setMaxStateAge(time.Nanosecond) // requests wait for a newer state
	time.AfterFunc(left/16, func() { b.server.StopAt(time.Now().Add(left / 4)) })
	if g := b.serve(t.Context(), "once"); g.status != 503 || g.fault.Kind != fault.Overloaded {
		t.Errorf("a request that waits: %v", g.fault)
	}
	b = newTestbed(t, func(ctx context.Context, a *Attempt) (*Response, error) {
		response, err := good(events(1, 3))(ctx, a)
		response.Body = io.NopCloser(io.MultiReader(response.Body, delayedReader(left*3/2), strings.NewReader(events(4, 6))))
		return response, err
	})
	time.AfterFunc(left/4, func() { b.server.StopAt(time.Now().Add(left)) })
	if g := b.serve(t.Context(), "stream"); g.status != 200 || g.aborted || g.body.String() != events(1, 6) {
		t.Errorf("a stream that has begun: %d, aborted %v, %q", g.status, g.aborted, g.body.String())
	}
}

// delayedReader reads nothing after a delay.
type delayedReader time.Duration

func (d delayedReader) Read([]byte) (int, error) {
	time.Sleep(time.Duration(d))
	return 0, io.EOF
}
