package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const service = "s"

// clock is a clock of a test.
type clock struct{ now monotonic.Time }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newTestTracker() (*Tracker, *clock) {
	c := &clock{now: monotonic.Time(time.Hour)}
	return NewTracker(func() monotonic.Time { return c.now }), c
}

// end records that an endpoint ended under a request that was sent just now.
func end(t *Tracker, c *clock, endpoint uint64, parts ...string) {
	sentAt := c.now
	c.advance(100 * time.Millisecond)
	_, quarantined := t.unclear(Keys(service, parts))
	t.RecordEnd(End{Service: service, Parts: parts, Endpoint: endpoint, SentAt: sentAt, Lease: &Lease{probed: quarantined}})
	c.advance(time.Millisecond)
}

func standing(t *Tracker, parts ...string) Standing {
	s, _ := t.Check(Keys(service, parts))
	return s
}

// One end after the other under one part must quarantine it, and no sound part.
func TestEndsUnderOnePartQuarantineItAlone(t *testing.T) {
	tracker, c := newTestTracker()
	for i := range uint64(endsForProof) {
		if got := standing(tracker, "first", "bad"); got == Quarantined {
			t.Fatalf("quarantined after %d ends", i)
		}
		end(tracker, c, i+1, "first", "bad")
		tracker.RecordSound(Keys(service, []string{"first", "other"}))
	}
	if got := standing(tracker, "first", "bad"); got != Unclear {
		t.Errorf("standing %v after the proof, want a probe", got)
	}
	for i := range uint64(maxProbes) {
		tracker.RecordSound(Keys(service, []string{"second"}))
		end(tracker, c, endsForProof+i+1, "second", "bad")
		tracker.RecordSound(Keys(service, []string{"second"}))
	}
	if got := standing(tracker, "first", "bad"); got != Quarantined {
		t.Errorf("standing %v of the part under which endpoints ended", got)
	}
	if got := standing(tracker, "first", "other"); got != Clear {
		t.Errorf("standing %v of the sound parts", got)
	}
	if got, _ := tracker.Check(Keys("other service", []string{"bad"})); got != Clear {
		t.Errorf("standing %v of the part at another service", got)
	}
}

// Endpoints that end at one moment, as when a data centre falls, have no part in common
// that is to blame, however many they are.
func TestEndsAtOneMomentQuarantineNothing(t *testing.T) {
	tracker, c := newTestTracker()
	sentAt := c.now
	c.advance(200 * time.Millisecond)
	for i := range uint64(200) {
		tracker.RecordEnd(End{Service: service, Parts: []string{"rare"}, Endpoint: i, SentAt: sentAt, Lease: nil})
		c.advance(2 * time.Millisecond)
	}
	if got := standing(tracker, "rare"); got != Unclear {
		t.Errorf("standing %v, want a trial", got)
	}
	tracker.RecordSound(Keys(service, []string{"rare"}))
	if got := standing(tracker, "rare"); got != Clear {
		t.Errorf("standing %v after an answer went on", got)
	}
}

// A part that is known to be sound must not be held back by a single end.
func TestPartThatWasSoundIsSentAfterOneEnd(t *testing.T) {
	tracker, c := newTestTracker()
	tracker.RecordSound(Keys(service, []string{"popular"}))
	c.advance(time.Second)
	end(tracker, c, 1, "popular")
	if got := standing(tracker, "popular"); got != Clear {
		t.Errorf("standing %v after one end", got)
	}
	end(tracker, c, 2, "popular")
	if got := standing(tracker, "popular"); got != Unclear {
		t.Errorf("standing %v after two ends", got)
	}
}

// Of two parts that were always in one prompt either may be the cause. Without the other,
// each must get a trial, and the sound one must be cleared by it.
func TestCompanionOfABadPartIsCleared(t *testing.T) {
	tracker, c := newTestTracker()
	for i := range uint64(endsForProof) {
		end(tracker, c, i+1, "bad", "companion")
	}
	if got := standing(tracker, "bad", "companion", "third"); got != Quarantined {
		t.Errorf("standing %v of both", got)
	}
	for _, part := range []string{"bad", "companion"} {
		if got := standing(tracker, part); got != Unclear {
			t.Errorf("standing %v of %s alone", got, part)
		}
	}
	tracker.RecordSound(Keys(service, []string{"companion"}))
	if got := standing(tracker, "companion"); got != Clear {
		t.Errorf("standing %v of the companion after its answer went on", got)
	}
	end(tracker, c, 10, "bad")
	end(tracker, c, 11, "bad")
	if got := standing(tracker, "bad"); got != Quarantined {
		t.Errorf("standing %v of the bad part", got)
	}
}

// Two bad parts at once, each in prompts without the other, must both be quarantined.
func TestTwoBadPartsAreBothQuarantined(t *testing.T) {
	tracker, c := newTestTracker()
	for i := range uint64(endsForProof + maxProbes) {
		end(tracker, c, 2*i+1, "first", "bad1")
		end(tracker, c, 2*i+2, "first", "bad2")
		tracker.RecordSound(Keys(service, []string{"first"}))
	}
	for _, part := range []string{"bad1", "bad2"} {
		if got := standing(tracker, "first", part); got != Quarantined {
			t.Errorf("standing %v of %s", got, part)
		}
	}
}

// An answer that went on before a part was quarantined says nothing: a part may turn bad.
func TestEarlierAnswerDoesNotLiftARecordedQuarantine(t *testing.T) {
	for _, final := range []bool{false, true} {
		old, c := newTestTracker()
		part := Key(service, "bad")
		old.RecordSound([]uint64{part})
		c.advance(time.Minute)
		started := NewTracker(old.now)
		started.SetRecorded([]catalogue.QuarantinedPart{{Key: part, Service: service, ID: "bad", Final: final}})
		c.advance(time.Second)
		started.Apply(old.EventsOf([]uint64{part}))
		if got := standing(started, "bad"); got == Clear {
			t.Errorf("final %v: an answer of a minute ago lifted the quarantine", final)
		}
	}
}

// A report that is repeated must be counted and logged once, also where its parts are known
// to be sound.
func TestRepeatedReportCountsOnce(t *testing.T) {
	seen, c := newTestTracker()
	end(seen, c, 1, "part")
	told := NewTracker(seen.now)
	c.advance(time.Second)
	told.RecordSound(Keys(service, []string{"part"}))
	for range 5 {
		told.Apply(seen.Events())
	}
	if got := told.Counts().Ends; got != 1 {
		t.Errorf("one report counts %d times", got)
	}
}

// What the entries tell each other must lead to the same belief, in any order and when it
// is told twice.
// Guards against a clearing that an entry never learns, since it is told once and a link was
// closed at that moment.
func TestClearingThatWasLostIsToldAgain(t *testing.T) {
	from, c := newTestTracker()
	to := NewTracker(func() monotonic.Time { return c.now })
	end(from, c, 1, "part")
	to.Apply(from.OwnEvents())
	from.RecordSound(Keys(service, []string{"part"})) // nobody hears it
	if got := standing(to, "part"); got != Unclear {
		t.Fatalf("standing %v of a part that is not known to be cleared", got)
	}
	c.advance(time.Second)
	to.Apply(from.OwnEvents())
	if got := standing(to, "part"); got != Clear {
		t.Errorf("standing %v after the entry's events were told again", got)
	}
	c.advance(repeatedFor)
	if events := from.OwnEvents(); len(events) > 0 {
		t.Errorf("%d events are told for good", len(events))
	}
}

func TestEntriesAgreeWhateverTheOrderOfEvents(t *testing.T) {
	seen, c := newTestTracker()
	var events []*wire.PartEvent
	seen.OnEvents(func(e []*wire.PartEvent) { events = append(events, e...) })
	for i := range uint64(endsForProof + maxProbes) {
		end(seen, c, i+1, "bad")
	}
	told := NewTracker(seen.now)
	for i := range events {
		told.Apply([]*wire.PartEvent{events[len(events)-1-i]})
		told.Apply(seen.Events())
	}
	if got := standing(told, "bad"); got != Quarantined {
		t.Errorf("standing %v at an entry that was told", got)
	}
	if got := told.Counts().Ends; got != endsForProof+maxProbes {
		t.Errorf("%d ends are known, want %d", got, endsForProof+maxProbes)
	}
}

// Parts are named by callers: thousands of new ones must not grow the memory.
func TestReportsAndHistoryAreBounded(t *testing.T) {
	tracker, c := newTestTracker()
	for i := range uint64(4 * maxReports) {
		var parts []string
		for n := range MaxParts + 50 {
			parts = append(parts, fmt.Sprintf("%d-%d", i, n))
		}
		tracker.RecordSound(Keys(service, parts[len(parts)-50:]))
		end(tracker, c, i+1, parts...)
	}
	if got := len(tracker.Events()); got > maxReports {
		t.Errorf("%d reports are kept, want at most %d", got, maxReports)
	}
	if got, most := tracker.Counts().Suspects, maxReports*MaxParts; got > most {
		t.Errorf("%d suspects are kept, want at most %d", got, most)
	}
	if got := len(tracker.sound.newer) + len(tracker.sound.older); got > 2*maxRecentKeys {
		t.Errorf("%d parts are remembered, want at most %d", got, 2*maxRecentKeys)
	}
}

// A quarantine that the control group has recorded must hold at an entry that has just
// started, and end there when it is lifted, also if an entry that is behind repeats reports.
func TestRecordedQuarantineHoldsUntilItIsLifted(t *testing.T) {
	seen, c := newTestTracker()
	for i := range uint64(endsForProof + maxProbes) {
		end(seen, c, i+1, "bad")
	}
	unrecorded := seen.Unrecorded()
	if len(unrecorded) != 1 || unrecorded[0].Service != service || unrecorded[0].ID != "bad" || !unrecorded[0].Final {
		t.Fatalf("to be recorded: %v", unrecorded)
	}
	started := NewTracker(seen.now)
	started.SetRecorded(unrecorded)
	if got := standing(started, "bad"); got != Quarantined {
		t.Errorf("standing %v at an entry that has just started", got)
	}
	if got := started.Unrecorded(); len(got) != 0 {
		t.Errorf("recorded again: %v", got)
	}
	started.SetRecorded([]catalogue.QuarantinedPart{})
	started.Apply(seen.Events())
	if got := standing(started, "bad"); got != Clear {
		t.Errorf("standing %v after the quarantine was lifted", got)
	}
}

// A request under which three endpoints ended one after the other must not be sent again by
// anybody, and its parts, which sound requests share, must stay free.
func TestRequestThatEndsEndpointsIsQuarantinedWithoutItsParts(t *testing.T) {
	tracker, c := newTestTracker()
	told := NewTracker(tracker.now)
	request, other := RequestKey(service, "POST", "/x", []byte("bad")), RequestKey(service, "POST", "/x", []byte("good"))
	for i := range uint64(endsForProof) {
		sentAt := c.now
		c.advance(100 * time.Millisecond)
		tracker.RecordEnd(End{Service: service, Parts: []string{"first"}, Request: request, Path: "/x", Endpoint: i + 1, SentAt: sentAt})
		c.advance(time.Millisecond)
		tracker.RecordSound(Keys(service, []string{"first"}))
	}
	told.Apply(tracker.Events())
	told.Apply([]*wire.PartEvent{{Parts: Keys(service, []string{"first"})}})
	for name, at := range map[string]*Tracker{"that saw the ends": tracker, "that was told": told} {
		if got, _ := at.Check(append(Keys(service, []string{"first"}), request)); got != Quarantined {
			t.Errorf("standing %v of the request at the entry %s", got, name)
		}
		if got, _ := at.Check(append(Keys(service, []string{"first"}), other)); got != Clear {
			t.Errorf("standing %v of another request with its part at the entry %s", got, name)
		}
	}
	recorded := tracker.Unrecorded()
	if len(recorded) != 1 || recorded[0].Key != request || !recorded[0].Final || !IsRequestName(recorded[0].ID) {
		t.Errorf("to be recorded: %v", recorded)
	}
}

// A request that many send must not be held back by a single end, like a popular part.
func TestRequestThatWasSoundIsSentAfterOneEnd(t *testing.T) {
	tracker, c := newTestTracker()
	request := RequestKey(service, "GET", "/popular", nil)
	tracker.RecordRequestSound(request)
	for i, want := range []Standing{Clear, Unclear} {
		c.advance(time.Second)
		tracker.RecordEnd(End{Service: service, Request: request, Endpoint: uint64(i + 1), SentAt: c.now - 1})
		if got, _ := tracker.Check([]uint64{request}); got != want {
			t.Errorf("standing %v after %d ends, want %v", got, i+1, want)
		}
	}
}

// Endpoints that end at one moment under copies of one request say nothing against it, and
// one answer to it clears it.
func TestRequestIsClearedByAnAnswer(t *testing.T) {
	tracker, c := newTestTracker()
	request := RequestKey(service, "GET", "/popular", nil)
	sentAt := c.now
	c.advance(time.Second)
	for i := range uint64(20) {
		tracker.RecordEnd(End{Service: service, Request: request, Endpoint: i + 1, SentAt: sentAt})
	}
	if got, _ := tracker.Check([]uint64{request}); got != Unclear {
		t.Errorf("standing %v after ends at one moment, want a trial", got)
	}
	c.advance(time.Second)
	tracker.RecordRequestSound(request)
	if got, _ := tracker.Check([]uint64{request}); got != Clear {
		t.Errorf("standing %v after an answer went on", got)
	}
}
