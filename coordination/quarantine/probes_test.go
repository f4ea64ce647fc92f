package quarantine

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// endUnderProbe records that an endpoint ended under a probe of a part, sent just now.
func endUnderProbe(t *Tracker, c *clock, endpoint uint64, probed string, parts ...string) {
	sentAt := c.now
	c.advance(100 * time.Millisecond)
	t.RecordEnd(End{
		Service: service, Parts: parts, Request: RequestKey(service, "POST", "/x", []byte("probe")), Endpoint: endpoint, SentAt: sentAt,
		Lease: &Lease{probed: Key(service, probed)},
	})
	c.advance(time.Millisecond)
}

// Guards against an entry that lets a request through for good because it heard first of the
// earlier of two sends of the request to one endpoint, while others refuse it.
func TestLaterOfTwoSendsToAnEndpointCountsInAnyOrder(t *testing.T) {
	const request = 7
	for _, order := range [][]int{{0, 1, 2, 3}, {0, 1, 3, 2}} {
		tracker, _ := newTestTracker()
		events := []*wire.PartEvent{
			{Request: request, Endpoint: 1, AgeMs: 200, SentAgeMs: 450},
			{Request: request, Endpoint: 2, AgeMs: 100, SentAgeMs: 350},
			{Request: request, Endpoint: 3, AgeMs: 0, SentAgeMs: 144}, // sent after the first end
			{Request: request, Endpoint: 3, AgeMs: 0, SentAgeMs: 250},
		}
		for _, i := range order {
			tracker.Apply(events[i : i+1])
		}
		if got, _ := tracker.Check([]uint64{request}); got != Quarantined {
			t.Errorf("standing %v with the reports in the order %v", got, order)
		}
	}
}

// Guards against a relayed report that counts as that of a later send because the relaying
// entry had heard of the end earlier in another way.
func TestReportThatIsToldOnIsNoLaterSend(t *testing.T) {
	const request = 7
	tracker, _ := newTestTracker()
	tracker.Apply([]*wire.PartEvent{
		{Request: request, Endpoint: 1, AgeMs: 200, SentAgeMs: 450},
		{Request: request, Endpoint: 2, AgeMs: 100, SentAgeMs: 350},
		{Request: request, Endpoint: 3, AgeMs: 0, SentAgeMs: 250},
		{Request: request, Endpoint: 3, AgeMs: 30, SentAgeMs: 190},
	})
	if got, _ := tracker.Check([]uint64{request}); got != Unclear {
		t.Errorf("standing %v, want a trial", got)
	}
}

// Guards against a further probe, which ends one more endpoint, if the other part of the first
// probe becomes known to be sound only after that probe ended its endpoint.
func TestProbeCountsOnceItsOtherPartsAreCleared(t *testing.T) {
	for _, told := range []bool{false, true} {
		tracker, c := newTestTracker()
		for i := range uint64(endsForProof) {
			endUnder(tracker, c, i+1, "rare", "bad") // the rare part isn't cleared
		}
		endUnderProbe(tracker, c, endsForProof+1, "bad", "fresh", "bad")
		if got := standing(tracker, "bad"); got == Quarantined {
			t.Error("the quarantine is final while the probe's other part may be the cause")
		}
		if told {
			tracker.Apply([]*wire.PartEvent{{Parts: Keys(service, []string{"fresh"})}})
		} else {
			tracker.RecordSound(Keys(service, []string{"fresh"}))
		}
		if got := standing(tracker, "bad"); got != Quarantined {
			t.Errorf("standing %v after the probe's other part was cleared (told by another entry: %v)", got, told)
		}
	}
}

// Guards against a second probe that ends an endpoint while the answers that would make it
// unnecessary are still being written, and against a part that isn't probed again.
func TestNextProbeWaitsForAnswersWithThePartsOfTheLatest(t *testing.T) {
	tracker, c := newTestTracker()
	guard := NewGuard("self", tracker, func() []*wire.ProcessRecord { return nil }, nil, func() monotonic.Time { return c.now })
	for i := range uint64(endsForProof) {
		endUnder(tracker, c, i+1, "rare", "bad")
	}
	probe := &wire.TrialRequest{Parts: Keys(service, []string{"bad"}), LastsMs: 1000}
	first := guard.Answer(probe)
	if first.Lease == 0 {
		t.Fatal("no probe of a quarantined part")
	}
	endUnderProbe(tracker, c, endsForProof+1, "bad", "fresh", "bad")
	guard.AnswerEnd(&wire.TrialEnd{Lease: first.Lease})
	if guard.Answer(probe).Lease != 0 {
		t.Error("another probe while the other part of the latest one may be cleared")
	}
	c.advance(otherPartsWait)
	if guard.Answer(probe).Lease == 0 {
		t.Errorf("no other probe %v after the end under the latest one", otherPartsWait)
	}
}
