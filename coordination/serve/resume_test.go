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

// answering responds with a status, a content type ("" for none) and a body that is
// signed.
func answering(status int, contentType, body string) func(context.Context, *Attempt) (*Response, error) {
	return func(context.Context, *Attempt) (*Response, error) {
		header := http.Header{}
		if contentType != "" {
			header.Set("Content-Type", contentType)
		}
		return &Response{Status: status, Header: header, Body: io.NopCloser(strings.NewReader(body)), Signed: true, MatchesAttempt: true}, nil
	}
}

// Guards against an error of the next endpoint in the middle of a stream that has begun,
// and against an end that looks complete: the caller must get whole events only, and see
// that the answer broke off.
func TestErrorOfTheNextEndpointIsNoPartOfAStream(t *testing.T) {
	const failure = `{"error": "overloaded"}` + "\n\n"
	for name, next := range map[string]func(context.Context, *Attempt) (*Response, error){
		"a failure":                     answering(500, "application/json", failure),
		"a failure as events":           answering(503, "text/event-stream", "id: 4\ndata: overloaded\n\n"),
		"an error as a success":         answering(200, "application/json", failure),
		"an error of no type":           answering(200, "", failure),
		"an event without an ID":        answering(200, "text/event-stream", "data: overloaded\n\n"),
		"a page":                        answering(200, "text/html", "<p>overloaded: try again</p>\n\n"),
		"nothing":                       answering(200, "", ""),
		"nothing, said so":              answering(204, "", ""),
		"a head in the body":            answering(200, "text/event-stream", "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"),
		"an empty answer of other type": answering(200, "application/json", ""),
	} {
		b := newTestbed(t, breakingOff(events(1, 3)+"id: 4\nda"), next)
		g := b.serve(t.Context(), "stream")
		if g.body.String() != events(1, 3) || !g.aborted || g.sent != 1 {
			t.Errorf("%s: aborted %v, %d heads, %q", name, g.aborted, g.sent, g.body.String())
		}
	}
	b := newTestbed(t, breakingOff(events(1, 3)), answering(200, "text/event-stream", ""))
	if g := b.serve(t.Context(), "stream"); g.body.String() != events(1, 3) || g.aborted {
		t.Errorf("a stream of which nothing is left: aborted %v, %q", g.aborted, g.body.String())
	}
	b = newTestbed(t, breakingOff(events(1, 3)), answering(200, "text/event-stream", events(4, 5)+": the end\n\n"))
	if g := b.serve(t.Context(), "stream"); g.body.String() != events(1, 5)+": the end\n\n" || g.aborted {
		t.Errorf("a stream that ends with a comment: aborted %v, %q", g.aborted, g.body.String())
	}
}
