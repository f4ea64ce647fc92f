package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// endless gives the same bytes for ever, with a pause before each time.
type endless struct {
	ctx   context.Context
	first io.Reader // read to its end before
	text  string
	pause time.Duration
	read  int64
}

func (e *endless) Read(p []byte) (int, error) {
	if n, err := e.first.Read(p); n > 0 || !errors.Is(err, io.EOF) {
		return n, err
	}
	if e.pause > 0 {
		select {
		case <-time.After(e.pause):
		case <-e.ctx.Done():
			return 0, e.ctx.Err()
		}
	}
	n := copy(p, e.text)
	for e.pause == 0 && n < len(p) {
		n += copy(p[n:], e.text)
	}
	e.read += int64(n)
	return n, nil
}

// garbage answers with some events and then the same bytes for ever.
func garbage(first, text string, pause time.Duration, body **endless) func(context.Context, *Attempt) (*Response, error) {
	return func(ctx context.Context, _ *Attempt) (*Response, error) {
		*body = &endless{ctx: ctx, first: strings.NewReader(first), text: text, pause: pause}
		return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(*body), Signed: true, MatchesAttempt: true}, nil
	}
}

// Bytes that are no events come without end: the stream goes on elsewhere, and
// little of them is held.
func TestEndlessGarbageInAStream(t *testing.T) {
	for name, text := range map[string]string{
		"empty lines": "\n", "comments": ": still here\n\n", "fields without identity": "data: x\n\n",
		"lines without end": "aaaaaaaa", "lines that are no fields": "aaaaaaaa\n\n", "an earlier event": events(1, 1),
	} {
		for _, first := range []string{"", events(1, 2)} {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
				bubble.Run(t, func(t *testing.T) {
					var body *endless
					rest := good(events(1, 3))
					switch {
					case first != "":
						rest = good(events(3, 3))
					case text == events(1, 1):
						rest = good(events(2, 3)) // it is no earlier one the first time
					}
					b := newBed(t, garbage(first, text, pause, &body), rest)
					b.currentFor(0)
					began := time.Now()
					g := b.serve(t.Context(), "stream")
					if g.broken || g.body.String() != events(1, 3) {
						t.Errorf("%s: broken %v, body %.200q", name, g.broken, g.body.String())
					}
					if took := time.Since(began); took >= 2*time.Second {
						t.Errorf("%s: it took %v, all the time that the caller had", name, took)
					}
					if body.read > 2*maxEventBytes {
						t.Errorf("%s: %d bytes were read", name, body.read)
					}
				})
			}
		}
	}
}

// The same in an answer that is no stream: one that may be repeated is asked for
// elsewhere, one that may not gets no false answer.
func TestEndlessGarbageInAPlainAnswer(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		bubble.Run(t, func(t *testing.T) {
			var body *endless
			b := newBed(t, garbage("", "aaaaaaaa", pause, &body), good("yes"))
			b.currentFor(0)
			if g := b.serve(t.Context(), "again"); g.status != 200 || g.body.String() != "yes" {
				t.Errorf("idempotent, pause %v: %d %.100q", pause, g.status, g.body.String())
			}
			b = newBed(t, garbage("", "aaaaaaaa", pause, &body), good("no"))
			b.currentFor(0)
			if g := b.serve(t.Context(), "once"); g.status < 500 || g.fault == nil || g.fault.Kind.NotRun() || len(b.sendings()) != 1 {
				t.Errorf("at most once, pause %v: %d after %d sendings", pause, g.status, len(b.sendings()))
			}
			if body.read > maxPlainBytes+plainChunk {
				t.Errorf("%d bytes were read", body.read)
			}
		})
	}
}

// A second copy of earlier events is not passed on.
func TestEventsOfAnEarlierRunAreNotPassedOn(t *testing.T) {
	b := newBed(t, breaking(events(1, 3)), good(events(2, 6)), good(events(4, 6)))
	g := b.serve(t.Context(), "stream")
	if text := g.body.String(); text != events(1, 3) && text != events(1, 6) || text == events(1, 3) && !g.broken {
		t.Errorf("broken %v, body %q", g.broken, text)
	}
}
