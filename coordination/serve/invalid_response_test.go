package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// endless reads first and then repeats text for ever, with a pause before each
// copy.
type endless struct {
	ctx   context.Context
	first io.Reader // read to its end at the beginning
	text  string
	pause time.Duration
	read  atomic.Int64 // bytes of text
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
	e.read.Add(int64(n))
	return n, nil
}

// endlessAfter responds with first, then with text for ever.
func endlessAfter(first, text string, pause time.Duration, body **endless) func(context.Context, *Attempt) (*Response, error) {
	return func(ctx context.Context, _ *Attempt) (*Response, error) {
		*body = &endless{ctx: ctx, first: strings.NewReader(first), text: text, pause: pause}
		return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(*body), Signed: true, MatchesAttempt: true}, nil
	}
}

// An endpoint sends bytes without end that are no events: the stream resumes at
// another endpoint, and only a few of the bytes are buffered.
func TestEndlessInvalidStream(t *testing.T) {
	for name, text := range map[string]string{
		"empty lines": "\n", "comments": ": still here\n\n", "fields without an ID": "data: x\n\n",
		"lines without end": "aaaaaaaa", "lines without a colon": "aaaaaaaa\n\n", "an earlier event": events(1, 1),
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
						rest = good(events(2, 3)) // the first copy is not a repeated event
					}
					b := newTestbed(t, endlessAfter(first, text, pause, &body), rest)
					b.setMaxStateAge(0)
					began := time.Now()
					g := b.serve(t.Context(), "stream")
					if g.aborted || g.body.String() != events(1, 3) {
						t.Errorf("%s: aborted %v, body %.200q", name, g.aborted, g.body.String())
					}
					if took := time.Since(began); took >= 2*time.Second {
						t.Errorf("%s: it took %v, the whole caller timeout", name, took)
					}
					if body.read.Load() > 2*maxEventBytes {
						t.Errorf("%s: %d bytes were read", name, body.read.Load())
					}
				})
			}
		}
	}
}

// The same in a plain response: the request is sent to another endpoint where it
// may run again, and otherwise fails.
func TestEndlessInvalidPlainAnswer(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		bubble.Run(t, func(t *testing.T) {
			var body *endless
			b := newTestbed(t, endlessAfter("", "aaaaaaaa", pause, &body), good("yes"))
			b.setMaxStateAge(0)
			if g := b.serve(t.Context(), "again"); g.status != 200 || g.body.String() != "yes" {
				t.Errorf("idempotent, pause %v: %d %.100q", pause, g.status, g.body.String())
			}
			b = newTestbed(t, endlessAfter("", "aaaaaaaa", pause, &body), good("no"))
			b.setMaxStateAge(0)
			if g := b.serve(t.Context(), "once"); g.status < 500 || g.fault == nil || g.fault.Kind.NotRun() || len(b.sentAttempts()) != 1 {
				t.Errorf("at most once, pause %v: %d after %d attempts", pause, g.status, len(b.sentAttempts()))
			}
			if body.read.Load() > maxPlainAnswerBytes+readChunkBytes {
				t.Errorf("%d bytes were read", body.read.Load())
			}
		})
	}
}

// An endpoint that resumes a stream too early repeats events: they are not
// forwarded to the caller.
func TestRepeatedEventsAreNotForwarded(t *testing.T) {
	b := newTestbed(t, breakingOff(events(1, 3)), good(events(2, 6)), good(events(4, 6)))
	g := b.serve(t.Context(), "stream")
	if text := g.body.String(); text != events(1, 3) && text != events(1, 6) || text == events(1, 3) && !g.aborted {
		t.Errorf("aborted %v, body %q", g.aborted, text)
	}
}

// Guards against many streams that each keep bytes without end below the bound of one event
// and fill the memory together.
func TestEventsOfAllStreamsTogetherAreBounded(t *testing.T) {
	var buffered answerBuffer
	buffered.held.Store(maxBufferedBytes - maxEventBytes/2) // held by other streams
	body := &endless{ctx: t.Context(), first: strings.NewReader(""), text: "data: x"}
	if err := readEvents(t.Context(), body, make(chan event), &buffered); !errors.Is(err, errBufferFull) {
		t.Errorf("a stream for which there is no room: %v", err)
	}
	if held := buffered.Load(); held != maxBufferedBytes-maxEventBytes/2 {
		t.Errorf("%d bytes are held after the end of the stream", held)
	}
	events := make(chan event, 10)
	if err := readEvents(t.Context(), strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), events, &buffered); err != nil || len(events) != 2 {
		t.Errorf("a sound stream: %d events, %v", len(events), err)
	}
	if held := buffered.Load(); held != maxBufferedBytes-maxEventBytes/2 {
		t.Errorf("%d bytes are held after the end of a sound stream", held)
	}
}

// Guards against a status that no server can send, which ended the process as the writer of
// the caller panicked.
func TestStatusThatIsNoneIsInvalid(t *testing.T) {
	for _, status := range []int{0, 42, 99, 100, 101, 199, 600, 999} {
		bubble.Run(t, func(t *testing.T) {
			b := newTestbed(t, withStatus(status, true), good("yes"))
			if g := b.serve(t.Context(), "again"); g.status != http.StatusOK || g.body.String() != "yes" {
				t.Errorf("status %d: %d %.100q", status, g.status, g.body.String())
			}
		})
		bubble.Run(t, func(t *testing.T) {
			b := newTestbed(t, withStatus(status, true))
			if g := b.serve(t.Context(), "once"); g.status != http.StatusBadGateway || len(b.sentAttempts()) != 1 {
				t.Errorf("status %d, not repeatable: %d after %d attempts", status, g.status, len(b.sentAttempts()))
			}
		})
	}
}

// panickingCaller panics in WriteHeader or Write.
type panickingCaller struct {
	recorder
	inHeader bool
}

func (c *panickingCaller) WriteHeader(code int, header http.Header, length int64) {
	if c.inHeader {
		panic("invalid WriteHeader code")
	}
	c.recorder.WriteHeader(code, header, length)
}

func (c *panickingCaller) Write([]byte) error { panic(strings.Repeat("x", 1<<20)) }

// Guards against a panic while an answer is written, which is outside of the handler's
// goroutine and would end the process.
func TestPanicOfAWriterEndsItsCallerOnly(t *testing.T) {
	for _, route := range []string{"once", "stream"} {
		for _, inHeader := range []bool{true, false} {
			bubble.Run(t, func(t *testing.T) {
				b := newTestbed(t, good(events(1, 3)), good(events(1, 3)))
				c := &panickingCaller{inHeader: inHeader}
				b.server.Serve(t.Context(), b.request(route), c)
				synctest.Wait() // what reads the response ends after the request
				if !c.aborted || !b.hasMetric(`serve_requests{organisation="boots",class="cancelled"} 1`) {
					t.Errorf("%s, in the header %v: aborted %v", route, inHeader, c.aborted)
				}
				b.checkNoFault(t, nil)
			})
		}
	}
}
