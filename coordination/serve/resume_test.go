package serve

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// delayedBy responds with a body after a delay.
func delayedBy(wait time.Duration, body string) func(context.Context, *Attempt) (*Response, error) {
	return func(context.Context, *Attempt) (*Response, error) {
		return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(&delayed{wait: wait, Reader: strings.NewReader(body)}), Signed: true, MatchesAttempt: true}, nil
	}
}

type delayed struct {
	wait time.Duration
	*strings.Reader
}

func (d *delayed) Read(p []byte) (int, error) {
	time.Sleep(d.wait)
	d.wait = 0
	return d.Reader.Read(p)
}

// After an endpoint crashes, its streams resume at others. The next event then has
// the pause objective, since the first event is long past.
func TestResumedStreamHasThePauseObjective(t *testing.T) {
	for _, c := range []struct {
		name string
		wait time.Duration // until the first event after the failure
		late bool
	}{
		{"within the pause", 30 * time.Millisecond, false},
		{"after the pause", 70 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				b := newTestbed(t, delayedBy(90*time.Millisecond, events(1, 3)+"id: 4\nda"), delayedBy(c.wait, events(4, 6)))
				var workEvents []*wire.WorkEvent
				b.scheduler.OnWorkEvent(func(e *wire.WorkEvent, _ placement.Scope) { workEvents = append(workEvents, e) })
				g := b.serve(t.Context(), "stream")
				if g.body.String() != events(1, 6) {
					t.Fatalf("body %q", g.body.String())
				}
				opened := slices.DeleteFunc(slices.Clone(workEvents), func(e *wire.WorkEvent) bool { return e.Step != wire.WorkStep_WORK_STEP_OPEN })
				if len(opened) != 2 || opened[1].FirstMs != 50 {
					t.Errorf("opened %v; the second must have the 50 ms of a pause left", opened)
				}
				late := slices.ContainsFunc(workEvents, func(e *wire.WorkEvent) bool { return e.Step == wire.WorkStep_WORK_STEP_LATE })
				if late != c.late {
					t.Errorf("marked late: %v, want %v", late, c.late)
				}
			})
		})
	}
}
