package entry

import (
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Guards against an answer whose status no answer has and that reaches its caller as a 200, or
// runs again under its key.
func TestStatusThatNoAnswerHasIsAFailure(t *testing.T) {
	for _, status := range []uint32{0, 42, 199, 600} {
		b := newTestbed(t, 2, always(plan{chunks: []string{"broken"}, status: status}))
		for what, got := range map[string]answer{
			"unary":    b.do("POST", "/v1/completions", unaryBody),
			"streamed": b.do("POST", "/v1/completions", streamBody),
		} {
			if got.status != 502 || strings.Contains(got.body, "broken") || got.header.Get("X-Not-Run") != "" {
				t.Errorf("status %d, %s: %d %s", status, what, got.status, got.body)
			}
		}
		before := b.runs()
		for range 2 {
			if got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k"); got.status < 500 || got.header.Get("X-Not-Run") == "true" {
				t.Errorf("status %d, with a key: %d %s", status, got.status, got.body)
			}
		}
		if runs := b.runs() - before; runs != 1 {
			t.Errorf("status %d: a request with a key ran %d times", status, runs)
		}
	}
}

// Guards against a recorded outcome without a status, which an entry of an earlier version may
// have left, that reaches a caller as a 200.
func TestRecordedOutcomeWithoutAStatusIsAFailure(t *testing.T) {
	b := newTestbed(t, 1, always(plan{chunks: []string{"booked"}, status: 200}))
	if got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k"); got.status != 200 {
		t.Fatalf("%d %s", got.status, got.body)
	}
	b.control.mu.Lock()
	for _, claim := range b.control.claims {
		claim.Outcome = &wire.Outcome{Body: []byte("broken")}
	}
	b.control.mu.Unlock()
	if got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k"); got.status != 502 || got.header.Get("X-Not-Run") != "" || strings.Contains(got.body, "broken") {
		t.Errorf("%d, not run %q: %s", got.status, got.header.Get("X-Not-Run"), got.body)
	}
}
