package serve

import (
	"testing"
	"time"
)

// TestAnAnswerThatTheStopWouldCutIsNotBegun: "long" has an objective of 10 s, and
// an event takes its engine 34 ms.
func TestAnAnswerThatTheStopWouldCutIsNotBegun(t *testing.T) {
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
		b := longBed(t, good(events(1, 3)))
		b.server.StopAt(time.Now().Add(c.left))
		q := b.request("long")
		q.TimeLimit = 10 * time.Minute
		q.PromptTokens, q.MaxOutputTokens = 10, c.tokens
		g := &given{}
		b.server.Serve(t.Context(), q, g)
		if g.status != c.status {
			t.Errorf("%v left, %d tokens: %d, want %d", c.left, c.tokens, g.status, c.status)
		}
		if sent := len(b.sendings()); (sent == 0) != (c.status == 503) {
			t.Errorf("%v left, %d tokens: %d sendings", c.left, c.tokens, sent)
		}
		if c.status == 503 && g.fault.RetryAfter != stopWait {
			t.Errorf("told to come back after %v", g.fault.RetryAfter)
		}
	}
}
