package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// endUnder records that an endpoint ended under a request of its own, sent just now, and
// under one that ran beside it if that has a part.
func endUnder(t *Tracker, c *clock, endpoint uint64, beside string, parts ...string) {
	sentAt := c.now
	c.advance(100 * time.Millisecond)
	name := fmt.Sprint(endpoint)
	t.RecordEnd(End{Service: service, Parts: parts, Request: RequestKey(service, "POST", "/x", []byte(name)), Endpoint: endpoint, SentAt: sentAt})
	if beside != "" {
		other := RequestKey(service, "POST", "/x", []byte("beside "+name))
		t.RecordEnd(End{Service: service, Parts: []string{beside}, Request: other, Endpoint: endpoint, SentAt: sentAt})
	}
	c.advance(time.Millisecond)
}

// Three endpoints must suffice for a part once all other parts are cleared: a probe costs
// one more.
func TestPartIsConfirmedWithoutProbesOnceTheOthersAreCleared(t *testing.T) {
	tracker, c := newTestTracker()
	for i := range uint64(endsForProof) {
		endUnder(tracker, c, i+1, "", "first", "bad")
	}
	if got := standing(tracker, "bad"); got == Quarantined {
		t.Error("the part's quarantine is confirmed while another one may be the cause")
	}
	tracker.RecordSound(Keys(service, []string{"first"}))
	if got := standing(tracker, "bad"); got != Quarantined {
		t.Errorf("standing %v after the other part was cleared", got)
	}
	if got := standing(tracker, "first"); got != Clear {
		t.Errorf("standing %v of the sound part", got)
	}
}

// Guards against a confirmed quarantine of a rare sound part whose requests ran beside the
// culprit's each time.
func TestPartOfRequestsBesideTheCulpritIsNotConfirmed(t *testing.T) {
	tracker, c := newTestTracker()
	for i := range uint64(endsForProof + 1) {
		endUnder(tracker, c, i+1, "rare", "bad")
	}
	for _, part := range []string{"rare", "bad"} {
		if got := standing(tracker, part); got != Unclear {
			t.Errorf("standing %v of %s, want a probe", got, part)
		}
	}
	tracker.RecordSound(Keys(service, []string{"rare"}))
	if got := standing(tracker, "rare"); got != Clear {
		t.Errorf("standing %v of the sound part", got)
	}
	if got := standing(tracker, "bad"); got != Quarantined {
		t.Errorf("standing %v of the bad part", got)
	}
}

// Ends under one repeated request must not confirm the quarantine of its parts: the request
// is the cause.
func TestRepeatedRequestDoesNotConfirmItsPart(t *testing.T) {
	tracker, c := newTestTracker()
	for i := range uint64(endsForProof) {
		sentAt := c.now
		c.advance(100 * time.Millisecond)
		tracker.RecordEnd(End{Service: service, Parts: []string{"rare"}, Request: 7, Endpoint: i + 1, SentAt: sentAt})
		c.advance(time.Millisecond)
	}
	if got := standing(tracker, "rare"); got != Unclear {
		t.Errorf("standing %v of the part, want a probe", got)
	}
}
