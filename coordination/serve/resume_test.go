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

// afterwards answers with a body once some time has passed.
func afterwards(wait time.Duration, body string) func(context.Context, *Attempt) (*Response, error) {
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

// Streams whose endpoint breaks off are resumed by the objective of the pause, as
// the first event was long ago: the load of an endpoint that crashes.
func TestAResumedStreamIsOnTimeWhenThePauseIs(t *testing.T) {
	for _, c := range []struct {
		name string
		wait time.Duration // for the first event after the break
		late bool
	}{
		{"within the pause", 30 * time.Millisecond, false},
		{"after it", 70 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				b := newBed(t, afterwards(90*time.Millisecond, events(1, 3)+"id: 4\nda"), afterwards(c.wait, events(4, 6)))
				var told []*wire.WorkEvent
				b.book.OnWorkEvent(func(e *wire.WorkEvent, _ placement.Scope) { told = append(told, e) })
				g := b.serve(t.Context(), "stream")
				if g.body.String() != events(1, 6) {
					t.Fatalf("body %q", g.body.String())
				}
				opened := slices.DeleteFunc(slices.Clone(told), func(e *wire.WorkEvent) bool { return e.Step != wire.WorkStep_WORK_STEP_OPEN })
				if len(opened) != 2 || opened[1].FirstMs != 50 {
					t.Errorf("opened %v; the second is to have the 50 ms of a pause left", opened)
				}
				late := slices.ContainsFunc(told, func(e *wire.WorkEvent) bool { return e.Step == wire.WorkStep_WORK_STEP_LATE })
				if late != c.late {
					t.Errorf("told as late: %v, want %v", late, c.late)
				}
			})
		})
	}
}
