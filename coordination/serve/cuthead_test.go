package serve

import (
	"context"
	"testing"
)

// endingWithClose responds as an endpoint whose body ends with its connection.
func endingWithClose(contentType, body string) func(context.Context, *Attempt) (*Response, error) {
	return func(ctx context.Context, a *Attempt) (*Response, error) {
		response, err := answering(200, contentType, body)(ctx, a)
		response.EndsWithClose = true
		return response, err
	}
}

// Guards against a stream whose endpoint closed behind its head, or after comments, that
// reaches the caller as a whole one without events.
func TestCloseBehindTheHeadIsNoWholeStream(t *testing.T) {
	for name, body := range map[string]string{"nothing": "", "empty lines": "\n\n", "a comment": ": reading\n\n", "comments": ": reading\n\n: reading\n\n"} {
		cut := endingWithClose(eventStreamType, body)
		b := newTestbed(t, cut, good(events(1, 3)))
		if g := b.serve(t.Context(), "stream"); g.body.String() != events(1, 3) || g.aborted || g.sent != 1 {
			t.Errorf("%s, may be repeated: aborted %v, %d heads, %q", name, g.aborted, g.sent, g.body.String())
		}
		b = newTestbed(t, cut, cut)
		if g := b.serve(t.Context(), "stream"); g.status != 502 || g.sent != 1 {
			t.Errorf("%s, twice: status %d, aborted %v, %d heads", name, g.status, g.aborted, g.sent)
		}
		b = newTestbed(t, cut)
		if g := b.serve(t.Context(), "stream-once"); g.status != 502 || g.sent != 1 || len(b.sentAttempts()) != 1 {
			t.Errorf("%s, at most once: status %d, %d heads, %d attempts", name, g.status, g.sent, len(b.sentAttempts()))
		}
	}
}

// Guards against the same of a resumption, after which the stream looks complete.
func TestCloseBehindTheHeadIsNoRestOfAStream(t *testing.T) {
	for _, body := range []string{"", ": reading\n\n"} {
		b := newTestbed(t, breakingOff(events(1, 3)), endingWithClose(eventStreamType, body))
		if g := b.serve(t.Context(), "stream"); g.body.String() != events(1, 3) || !g.aborted {
			t.Errorf("within one response, %q: aborted %v, %q", body, g.aborted, g.body.String())
		}
		b = newTestbed(t, endingWithClose(eventStreamType, body), good(events(4, 5)))
		g, q := &recorder{}, b.request("stream")
		q.LastEventID = "3"
		if b.server.Serve(t.Context(), q, g); g.body.String() != events(4, 5) || g.aborted {
			t.Errorf("by the caller, %q: aborted %v, %q", body, g.aborted, g.body.String())
		}
	}
}

// A close ends an answer where the protocol allows it: behind an event, and in a plain one.
func TestCloseEndsAnAnswer(t *testing.T) {
	b := newTestbed(t, endingWithClose(eventStreamType, oneEvent))
	if g := b.serve(t.Context(), "stream"); g.status != 200 || g.aborted || g.body.String() != oneEvent {
		t.Errorf("one event: status %d, aborted %v, %q", g.status, g.aborted, g.body.String())
	}
	b = newTestbed(t, endingWithClose("", ""))
	if g := b.serve(t.Context(), "once"); g.status != 200 || g.aborted {
		t.Errorf("an empty plain answer: status %d, aborted %v", g.status, g.aborted)
	}
}
