package placement

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"pgregory.net/rapid"
)

// A response that was overtaken on its way must not raise or end a limit.
func TestRateLimitIsRaisedOnlyByLaterRequests(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewScheduler(func() time.Time { return now })
	const key = 7
	s.RecordRateLimit(key, Unlimited, now)
	if got := s.RateLimit(key); got != Unlimited {
		t.Fatalf("limit %v before any was stated", got)
	}
	sentEarlier := now
	now = now.Add(time.Second)
	steps := []struct {
		perSecond float64
		sentAt    time.Time
		want      float64
	}{
		{1.6, sentEarlier, 1.6},                          // a first limit holds at once
		{Unlimited, sentEarlier, 1.6},                    // was overtaken
		{4, sentEarlier, 1.6},                            // was overtaken
		{1, sentEarlier, 1},                              // a lower one holds at once
		{3, now.Add(time.Millisecond), 3},                // was sent later
		{Unlimited, now.Add(2 * time.Second), Unlimited}, // the limit has ended
		{0, now, 0},                                      // a limit of none at all
	}
	for i, step := range steps {
		s.RecordRateLimit(key, step.perSecond, step.sentAt)
		if got := s.RateLimit(key); got != step.want {
			t.Errorf("step %d: limit %v, want %v", i, got, step.want)
		}
	}
	if stats := s.Stats(); stats.RateLimited != 1 {
		t.Errorf("%d endpoints with a rate limit, want 1", stats.RateLimited)
	}
}

// Whatever the order and however often they come, the same statements must lead to the
// same limit everywhere.
func TestRateLimitsOfAllEntriesAgree(t *testing.T) {
	const key = 7
	rapid.Check(t, func(t *rapid.T) {
		var published []*wire.WorkEvent
		entries := make([]*testbed, 3)
		for i := range entries {
			entries[i] = newTestbed(1)
			entries[i].scheduler.OnWorkEvent(func(e *wire.WorkEvent, _ Scope) { published = append(published, e) })
		}
		for range rapid.IntRange(1, 20).Draw(t, "statements") {
			for _, b := range entries {
				b.now = b.now.Add(time.Second)
			}
			b := rapid.SampledFrom(entries).Draw(t, "entry")
			if len(published) > 0 && rapid.Bool().Draw(t, "hears") {
				b.scheduler.ApplyRemote(9, []*wire.WorkEvent{rapid.SampledFrom(published).Draw(t, "event")})
			}
			b.scheduler.RecordRateLimit(key, rapid.SampledFrom([]float64{0.5, 1, 7, Unlimited}).Draw(t, "perSecond"), b.now)
		}
		for _, b := range entries {
			for _, e := range rapid.Permutation(published).Draw(t, "order") {
				b.scheduler.ApplyRemote(9, []*wire.WorkEvent{e})
			}
		}
		first, revision := entries[0].scheduler.RateLimit(key), entries[0].scheduler.RateLimitMessage(key).Revision
		for i, b := range entries[1:] {
			if got := b.scheduler.RateLimit(key); got != first || b.scheduler.RateLimitMessage(key).Revision != revision {
				t.Fatalf("entry %d has the limit %v, entry 0 has %v", i+1, got, first)
			}
		}
	})
}

// A process that was started anew must learn all limits from any other.
func TestRateLimitsArePartOfAnEntrysWholeWork(t *testing.T) {
	told, hearsay, restarted := newTestbed(2), newTestbed(2), newTestbed(2)
	told.scheduler.OnWorkEvent(func(e *wire.WorkEvent, scope Scope) {
		if scope != AllDataCentres {
			t.Error("a rate limit must be published to all data centres")
		}
		hearsay.scheduler.ApplyRemote(1, []*wire.WorkEvent{e})
	})
	told.scheduler.RecordRateLimit(told.endpoints[0].Key, 1.5, told.now)
	restarted.scheduler.ReplaceRemote(2, hearsay.scheduler.OwnEvents())
	if got := restarted.scheduler.RateLimit(told.endpoints[0].Key); got != 1.5 {
		t.Errorf("the limit is %v, want 1.5", got)
	}
	if n := len(hearsay.scheduler.OwnCrossDataCentreEvents()); n != 0 {
		t.Errorf("%d limits of others are repeated to other data centres", n)
	}
	if n := len(told.scheduler.OwnCrossDataCentreEvents()); n != 1 {
		t.Errorf("%d limits are repeated to other data centres, want 1", n)
	}
	told.scheduler.SetEndpointLookup(func(uint64) bool { return false })
	if n := len(told.scheduler.OwnEvents()); n != 0 {
		t.Errorf("%d limits of endpoints that are gone are published", n)
	}
}

// A part of a long prompt is a request too: it must not go round a limit.
func TestEndpointWithARateLimitGetsNoPartOfAPrompt(t *testing.T) {
	b := newTestbed(6)
	for _, e := range b.endpoints[:3] {
		b.scheduler.RecordRateLimit(e.Key, 2, b.now)
	}
	for range 20 {
		p := b.scheduler.Choose(b.endpoints, b.long())
		if p == nil {
			break
		}
		for _, e := range p.Endpoints[1:] {
			if b.scheduler.RateLimit(e.Key) != Unlimited {
				t.Errorf("%s has a limit and got a part", e.ID)
			}
		}
	}
	for _, e := range b.endpoints[3:] {
		b.scheduler.RecordRateLimit(e.Key, 2, b.now)
	}
	for id := range b.scheduler.inFlight {
		b.scheduler.removeWork(b.scheduler.inFlight[id])
	}
	if p := b.choose(t, b.long()); len(p.Endpoints) != 1 {
		t.Errorf("a prompt was split over %d endpoints that all have a limit", len(p.Endpoints))
	}
	if p := b.scheduler.Choose(b.endpoints, b.newReq(900_000, 30*time.Second, time.Second)); p != nil {
		t.Errorf("a prompt larger than any endpoint was placed on %d", len(p.Endpoints))
	}
}

// An endpoint without a permit must not be chosen until its turn, unless its limit rises.
func TestEndpointWithoutAPermitIsChosenAtItsTurn(t *testing.T) {
	b := newTestbed(1)
	key := b.endpoints[0].Key
	b.scheduler.RecordRateLimit(key, 1, b.now)
	b.scheduler.EndPermit(key, time.Second)
	if p := b.scheduler.Choose(b.endpoints, b.short()); p != nil {
		t.Error("an endpoint without a permit was chosen")
	}
	if wait, all := b.scheduler.PermitWait(b.endpoints, b.short()); !all || wait != time.Second {
		t.Errorf("wait %v, all %v", wait, all)
	}
	if c := b.scheduler.Capacity(b.endpoints, b.short()); c.Wait != time.Second || c.ServiceInterval != time.Second {
		t.Errorf("room in %v, one request each %v", c.Wait, c.ServiceInterval)
	}
	b.now = b.now.Add(time.Second)
	b.choose(t, b.short())
	b.scheduler.EndPermit(key, time.Minute)
	b.scheduler.RecordRateLimit(key, Unlimited, b.now.Add(time.Second))
	b.choose(t, b.short())
}

// endLimit records a limit and, a second later, its end.
func (b *testbed) endLimit(key uint64, perSecond float64) {
	b.scheduler.RecordRateLimit(key, perSecond, b.now)
	b.now = b.now.Add(time.Second)
	b.scheduler.RecordRateLimit(key, Unlimited, b.now)
}

// While the allowed rate grows, an entry without a permit must ask again soon: else nobody
// sends, and all send at once when the growth ends.
func TestEntriesAskAgainWhileTheAllowedRateGrows(t *testing.T) {
	b := newTestbed(1)
	key := b.endpoints[0].Key
	b.endLimit(key, 1)
	b.scheduler.EndPermit(key, time.Minute)
	if wait, all := b.scheduler.PermitWait(b.endpoints, b.short()); !all || wait != recoveryDoubling {
		t.Errorf("wait %v, all %v, want %v", wait, all, recoveryDoubling)
	}
}

// After the end of a limit the allowed rate must grow step by step, and a limit that is
// stated meanwhile must hold at once.
func TestAllowedRateGrowsAfterTheEndOfALimit(t *testing.T) {
	b := newTestbed(1)
	key := b.endpoints[0].Key
	b.endLimit(key, 2)
	for i, want := range []float64{2, 4, 8, 16, 32, Unlimited} {
		if got := b.scheduler.AllowedRate(key); got != want {
			t.Errorf("%v after the end %v a second are allowed, want %v", time.Duration(i)*recoveryDoubling, got, want)
		}
		b.now = b.now.Add(recoveryDoubling)
	}
	b.endLimit(key, 0)
	if got := b.scheduler.AllowedRate(key); got != minRecoveryPerSecond {
		t.Errorf("after a limit of 0 %v a second are allowed, want %v", got, minRecoveryPerSecond)
	}
	b.scheduler.RecordRateLimit(key, 1.5, b.now)
	if got := b.scheduler.AllowedRate(key); got != 1.5 {
		t.Errorf("%v a second are allowed, the new limit is 1.5", got)
	}
}

// A process that learns of a limit only after its end must not take it for just ended.
func TestLimitThatEndedBeforeIsNotTakenForJustEnded(t *testing.T) {
	told, restarted := newTestbed(1), newTestbed(1)
	key := told.endpoints[0].Key
	told.endLimit(key, 1)
	restarted.scheduler.ReplaceRemote(1, told.scheduler.OwnEvents())
	if got := restarted.scheduler.AllowedRate(key); got != Unlimited {
		t.Errorf("%v a second are allowed, want no limit", got)
	}
	if got := restarted.scheduler.RateLimitMessage(key).Revision; got != 2 {
		t.Errorf("revision %d, want 2", got)
	}
}
