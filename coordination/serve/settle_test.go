package serve

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// Guards against a failure of an endpoint that is put down to a caller which still has
// something to take at the deadline.
func TestFailureOfAnEndpointCountsAtTheDeadline(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := newSlowTestbed(t, breakingOff(longEvents(1, 20)))
		q := b.request("stream-once")
		q.TimeLimit = 5 * time.Second
		if b.server.Serve(t.Context(), q, newSlowCaller(steadily(never))); !b.hasMetric(`serve_requests{organisation="boots",class="broken_off"} 1`) {
			t.Error("the outcome is not broken_off")
		}
	})
}

// Guards against outcomes of a disconnect that depend on what the caller had yet to take.
func TestDisconnectHasTheSameOutcomeWhateverIsQueued(t *testing.T) {
	for name, delay := range map[string]time.Duration{"empty": 0, "full": never} {
		bubble.Run(t, func(t *testing.T) {
			b := newSlowTestbed(t, func(ctx context.Context, _ *Attempt) (*Response, error) { return silentAfter(ctx, longEvents(1, 3)) })
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(500*time.Millisecond, cancel)
			caller := newSlowCaller(steadily(delay))
			if b.serveSlow(ctx, "stream", caller); !caller.aborted || !b.hasMetric(`serve_requests{organisation="boots",class="cancelled"} 1`) {
				t.Errorf("queue %s: aborted %v, or the outcome is not cancelled", name, caller.aborted)
			}
			b.checkNoFault(t, nil)
		})
	}
}

// Guards against a write and a flush for each 4 KiB of a plain answer whose caller reads, and
// against large pieces for one that reads slowly, which looks as if it took nothing.
func TestPiecesFollowTheCaller(t *testing.T) {
	for _, c := range []struct {
		delay       time.Duration
		least, most int // writes
	}{{0, 1, 15}, {100 * time.Millisecond, 60, 70}} {
		bubble.Run(t, func(t *testing.T) {
			text := strings.Repeat("x", 250_000)
			b := newSlowTestbed(t, good(text))
			caller, writes := newSlowCaller(steadily(c.delay)), 0
			caller.onWrite = func() error { writes++; return nil }
			if b.serveSlow(t.Context(), "once", caller); caller.body.String() != text || writes < c.least || writes > c.most {
				t.Errorf("%v for each write: %d bytes in %d writes", c.delay, caller.body.Len(), writes)
			}
		})
	}
}
