package quarantine

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	// repeatedFor is the time for which a report or a clearing is repeated to the other
	// entries.
	repeatedFor = 30 * time.Second
	// maxClearings bounds the clearings that are repeated; the oldest are forgotten first.
	maxClearings = 64
	// sameSendTolerance is the difference up to which two times from the send of a request to
	// the end of its endpoint are taken for the same send. A relayed report shows a shorter time
	// if the relaying entry had heard of the end earlier in another way.
	sameSendTolerance = 100 * time.Millisecond
)

// clearing tells that parts are no suspects any more, as an answer of this entry went on.
type clearing struct {
	parts []uint64
	at    monotonic.Time
}

// rememberClearing keeps a clearing for its repetition. The caller holds the lock.
func (t *Tracker) rememberClearing(c *clearing) {
	t.clearings = append(t.clearings, c)
	if len(t.clearings) > maxClearings {
		t.clearings = slices.Delete(t.clearings, 0, 1)
	}
}

// ownClearings returns the events of the latest clearings by this entry.
func (t *Tracker) ownClearings() []*wire.PartEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.clearings = slices.DeleteFunc(t.clearings, func(c *clearing) bool { return now.Sub(c.at) >= repeatedFor })
	var events []*wire.PartEvent
	for _, c := range t.clearings {
		events = append(events, soundEvent(c.parts, now.Sub(c.at)))
	}
	return events
}

// soundEvent returns the event that tells that an answer with the parts went on some time
// ago. The time is rounded up, so that it clears no later end.
func soundEvent(parts []uint64, age time.Duration) *wire.PartEvent {
	return &wire.PartEvent{Parts: parts, AgeMs: uint32(age.Milliseconds()) + 1}
}

// Apply applies events of other entries.
func (t *Tracker) Apply(events []*wire.PartEvent) {
	if len(events) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, e := range events {
		at := now.Add(-time.Duration(e.AgeMs) * time.Millisecond)
		if len(e.Parts) == 0 && (e.Request == 0 || e.Endpoint == 0) || len(e.Parts) > MaxParts {
			continue
		}
		if e.Endpoint == 0 {
			for _, p := range e.Parts {
				t.sound.putLatest(p, at) // an older report may come later
			}
			t.clear(e.Parts, at)
			continue
		}
		parts := slices.Clone(e.Parts)
		slices.Sort(parts)
		sentAt := now.Add(-time.Duration(e.SentAgeMs) * time.Millisecond)
		t.addReport(&report{
			endpoint: e.Endpoint, parts: parts, request: e.Request,
			at: at, sentAt: sentAt, probed: e.Appeal, alone: e.Alone,
		})
	}
}

// Events returns the events of all reports, for an entry that may not know them.
func (t *Tracker) Events() []*wire.PartEvent {
	return t.eventsOf(func(*report) bool { return true })
}

// OwnEvents returns the events of the latest reports of this entry's own requests, and of
// the clearings by its answers. They are repeated, as the first telling may have been lost.
func (t *Tracker) OwnEvents() []*wire.PartEvent {
	now := t.now()
	reports := t.eventsOf(func(r *report) bool { return r.own && now.Sub(r.at) < repeatedFor })
	return append(reports, t.ownClearings()...)
}

// EventsOf returns what is known of the parts: the events of the reports that hold one of
// them, and when answers last went on.
func (t *Tracker) EventsOf(parts []uint64) []*wire.PartEvent {
	events := t.eventsOf(func(r *report) bool {
		return slices.ContainsFunc(parts, r.concerns)
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if at, known := t.sound.get(p); known {
			events = append(events, soundEvent([]uint64{p}, t.now().Sub(at)))
		}
	}
	return events
}

func (t *Tracker) eventsOf(wanted func(*report) bool) []*wire.PartEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []*wire.PartEvent
	for _, r := range t.reports {
		if wanted(r) {
			events = append(events, t.event(r))
		}
	}
	return events
}

// event returns the event that tells other processes a report: not of parts that have been
// cleared since. The caller holds the lock.
func (t *Tracker) event(r *report) *wire.PartEvent {
	now := t.now()
	suspects := slices.DeleteFunc(slices.Clone(r.parts), func(p uint64) bool { return t.suspects[p] == nil })
	return &wire.PartEvent{
		Parts: suspects, Request: r.request, Endpoint: r.endpoint, Appeal: r.probed, Alone: r.alone,
		AgeMs: uint32(now.Sub(r.at).Milliseconds()), SentAgeMs: uint32(now.Sub(r.sentAt).Milliseconds()),
	}
}
