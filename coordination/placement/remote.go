package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// ApplyRemote takes news of another entry's work.
func (b *Scheduler) ApplyRemote(sender uint64, events []*wire.WorkEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(sender, events)
}

// ReplaceRemote takes all work of another entry that this one is to know. What is not
// among it has ended.
func (b *Scheduler) ReplaceRemote(sender uint64, events []*wire.WorkEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := make(map[uint64]bool)
	for _, e := range events {
		if e.Step == wire.WorkStep_WORK_STEP_OPEN {
			open[e.Work] = true
		}
	}
	for id, w := range b.works {
		if id.Sender == sender && !open[id.Number] {
			b.drop(w)
		}
	}
	b.apply(sender, events)
}

func (b *Scheduler) apply(sender uint64, events []*wire.WorkEvent) {
	now := b.now()
	for _, e := range events {
		if e.Step == wire.WorkStep_WORK_STEP_UNREACHABLE {
			b.doubt(e.Endpoints)
			continue
		}
		id := enginemodel.WorkID{Sender: sender, Number: e.Work}
		if e.Step != wire.WorkStep_WORK_STEP_OPEN {
			if w := b.works[id]; w != nil {
				b.change(w, e.Step)
			}
			continue
		}
		if b.works[id] != nil || len(e.Endpoints) == 0 {
			continue
		}
		w := &work{
			id: id, endpoints: e.Endpoints,
			reading: b.readingOf(e),
			prompt:  int(e.PromptTokens), output: int(e.OutputTokens), openedAt: now,
			firstDue: now.Add(time.Duration(e.FirstMs) * time.Millisecond),
			pause:    time.Duration(e.PauseMs) * time.Millisecond,
			expires:  now.Add(time.Duration(e.LimitMs) * time.Millisecond),
			credit:   float64(e.CreditMilli) / creditUnit,
			firstAt:  now.Add(time.Duration(e.PredictedMs) * time.Millisecond),
			held:     heldOf(e),
		}
		b.enter(w)
		b.cross(w)
	}
}

// readingOf is the reading that an event tells of, on each endpoint. Of what was
// read in part before, as many tokens are left as time.
func (b *Scheduler) readingOf(e *wire.WorkEvent) enginemodel.Prefill {
	n := len(e.Endpoints)
	r := enginemodel.Prefill{Ms: float64(e.ReadUs) / 1e3, Tokens: float64(e.PromptTokens) / float64(n)}
	if engine := b.engineAt(b.account(e.Endpoints[0]), e.Endpoints[0]); engine != nil {
		if whole := enginemodel.PrefillMs(engine, int(e.PromptTokens), n); whole > 0 {
			r.Tokens *= min(1, r.Ms/whole)
		}
	}
	return r
}

// cross marks own work that was chosen before this news of other work came. Short
// prompts that share an endpoint are in nobody's way.
func (b *Scheduler) cross(remote *work) {
	for _, w := range b.settling {
		if remote.precedes(w) && remote.shares(w) && (w.isLong() || remote.isLong()) {
			w.crossed = true
		}
	}
}

// heldOf reads the reservations of an event.
func heldOf(e *wire.WorkEvent) []int {
	if len(e.HeldTokens) != len(e.Endpoints) {
		return nil
	}
	held := make([]int, len(e.HeldTokens))
	for i, tokens := range e.HeldTokens {
		held[i] = int(tokens)
	}
	return held
}

// RemoveRemote drops all work of another entry, whose link is lost or started anew.
func (b *Scheduler) RemoveRemote(sender uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, w := range b.works {
		if id.Sender == sender {
			b.drop(w)
		}
	}
}

// OwnEvents returns the events that tell all of this entry's work anew, in the order
// in which it was opened, with the reading that is left of it.
func (b *Scheduler) OwnEvents() []*wire.WorkEvent {
	return b.own(func(*work) bool { return true })
}

// OwnCrossDataCentreEvents is Own for the entries of other data centres: what everyone is told of.
func (b *Scheduler) OwnCrossDataCentreEvents() []*wire.WorkEvent {
	return b.own(func(w *work) bool { return w.audience == AllDataCentres })
}

func (b *Scheduler) own(told func(*work) bool) []*wire.WorkEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var own []*work
	for id, w := range b.works {
		if id.Sender == 0 && told(w) {
			own = append(own, w)
		}
	}
	slices.SortFunc(own, func(x, y *work) int { return cmp.Compare(x.id.Number, y.id.Number) })
	var events []*wire.WorkEvent
	for _, w := range own {
		e := w.event(now)
		e.ReadUs = uint32(b.readingLeft(w, now) * 1e3)
		events = append(events, e)
		if w.started {
			events = append(events, &wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_STARTED, Work: w.id.Number})
		}
	}
	return events
}

// readingLeft is the most that one of the endpoints still has to read, in ms.
func (b *Scheduler) readingLeft(w *work, now time.Time) float64 {
	left := 0.0
	for _, key := range w.endpoints {
		a := b.account(key)
		b.follow(a, key, now)
		if a.engine == nil {
			return w.reading.Ms // nothing is followed there
		}
		left = max(left, a.queue.Remaining(w.id).Ms)
	}
	return left
}

// Expire drops work whose time is over, of entries that never told its end.
func (b *Scheduler) Expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, w := range b.works {
		if id.Sender != 0 && now.After(w.expires) {
			b.drop(w)
		}
	}
}
