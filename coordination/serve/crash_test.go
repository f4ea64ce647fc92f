package serve

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// serveParts serves a stream whose prompt has parts that others may share.
func (b *testbed) serveParts(t *testing.T, parts ...string) *recorder {
	g := &recorder{}
	q := b.request("stream")
	q.SharedParts = parts
	b.server.Serve(t.Context(), q, g)
	return g
}

// endAll makes all endpoints refuse connections, as if their processes had ended.
func (b *testbed) endAll() { b.ended = map[string]bool{"e0": true, "e1": true, "e2": true} }

const oneEvent, twoEvents = "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// Only the end of the endpoint's process before the answer has gone on makes parts suspect:
// not a cut connection, and not an end after two events.
func TestOnlyAnEndBeforeTheAnswerGoesOnMakesPartsSuspect(t *testing.T) {
	cases := []struct {
		name  string
		body  string
		ended bool
		want  quarantine.Standing
	}{
		{"no event, ended", "", true, quarantine.Unclear},
		{"one event, ended", oneEvent, true, quarantine.Unclear},
		{"two events, ended", twoEvents, true, quarantine.Clear},
		{"no event, connection cut", "", false, quarantine.Clear},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, breakingOff(c.body))
			if c.ended {
				b.endAll()
			}
			b.serveParts(t, "part")
			if got, _ := b.parts.Check(quarantine.Keys("s", []string{"part"})); got != c.want {
				t.Errorf("standing %v, want %v", got, c.want)
			}
		})
	}
}

// An answer without length ends with its connection. If the endpoint's process ended at the
// beginning of the answer, it must not look complete, nor clear a part.
func TestEndOfAnEndpointIsNoEndOfAnAnswerWithoutLength(t *testing.T) {
	for name, body := range map[string]string{"no event": "", "one event": oneEvent} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, good(body))
			b.endAll()
			if g := b.serveParts(t, "part"); g.status == 200 && !g.aborted {
				t.Error("an answer whose endpoint ended looks complete")
			}
			if got, _ := b.parts.Check(quarantine.Keys("s", []string{"part"})); got != quarantine.Unclear {
				t.Errorf("standing %v, want a suspect", got)
			}
		})
	}
}

// quarantinePart quarantines a part for good, as its endpoints ended one after the other.
func (b *testbed) quarantinePart(part string) {
	b.parts.SetRecorded([]catalogue.QuarantinedPart{{Key: quarantine.Key("s", part), Service: "s", ID: part, Final: true}})
}

// A configured request must not be called wrong for a quarantined part, nor be told that it
// has not run once it may have.
func TestQuarantinedPartIsNoFaultOfTheRequest(t *testing.T) {
	t.Run("before a send", func(t *testing.T) {
		b := newTestbed(t)
		b.quarantinePart("part")
		g := b.serveParts(t, "part")
		if g.status != 503 || g.fault.Kind != fault.PromptQuarantined || g.fault.RetryAfter < quarantineRetryAfter || !strings.Contains(g.fault.Error(), `"part"`) || len(b.sentAttempts()) != 0 {
			t.Errorf("status %d, %v, %d sent, want 503 that names the part, and nothing sent", g.status, g.fault, len(b.sentAttempts()))
		}
	})
	t.Run("after a send", func(t *testing.T) {
		b := newTestbed(t)
		b.responses = append(b.responses, func(context.Context, *Attempt) (*Response, error) {
			b.quarantinePart("part")
			return nil, io.ErrUnexpectedEOF
		})
		g := b.serveParts(t, "part")
		if g.status != 502 || !strings.Contains(g.fault.Error(), `"part"`) || len(b.sentAttempts()) != 1 {
			t.Errorf("status %d, %v, %d sent, want 502 that names the part, and one send", g.status, g.fault, len(b.sentAttempts()))
		}
	})
}

// Guards against an attempt that goes from the endpoint that it has ended to the next one,
// beside a repeat of the same request elsewhere, since its parts are known to be sound.
func TestRequestIsNotSentOnBesideARepeatOfIt(t *testing.T) {
	b := newTestbed(t)
	b.endAll()
	b.parts.RecordSound(quarantine.Keys("s", []string{"part"}))
	q := b.request("stream")
	b.responses = append(b.responses, func(context.Context, *Attempt) (*Response, error) {
		key := quarantine.RequestKey("s", q.Method, q.Target, q.Body)
		b.parts.RecordEnd(quarantine.End{Service: "s", Parts: []string{"part"}, Request: key, Endpoint: 1, SentAt: b.parts.Now()})
		if lease, _ := b.server.parts.Take(t.Context(), "s", []uint64{key}, time.Minute); lease == nil {
			t.Error("no lease for a repeat of the request")
		}
		return nil, io.ErrUnexpectedEOF
	})
	if g := b.serveParts(t, "part"); g.status != 502 || len(b.sentAttempts()) != 1 {
		t.Errorf("status %d, %d sends, want 502 after one send", g.status, len(b.sentAttempts()))
	}
}

// A request with a suspect part must be refused at once, with a time, while another request
// tries the part.
func TestRequestWithASuspectPartIsNotSentBesideATrial(t *testing.T) {
	b := newTestbed(t, breakingOff(""), good(twoEvents))
	keys := quarantine.Keys("s", []string{"part"})
	b.parts.RecordEnd(quarantine.End{Service: "s", Parts: []string{"part"}, Endpoint: 1, SentAt: b.parts.Now()})
	lease, _ := b.server.parts.Take(t.Context(), "s", keys, time.Minute)
	if lease == nil {
		t.Fatal("no lease for a suspect part")
	}
	if g := b.serveParts(t, "part"); g.status != 503 || g.fault.RetryAfter == 0 || len(b.sentAttempts()) != 0 {
		t.Errorf("status %d, %d sent, want a refusal", g.status, len(b.sentAttempts()))
	}
}
