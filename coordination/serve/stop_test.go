package serve

import (
	"testing"
	"time"
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
