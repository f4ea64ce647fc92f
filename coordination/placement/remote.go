package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/passes"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// ApplyRemote takes news of another entry's work.
func (b *Book) ApplyRemote(sender uint64, events []*wire.WorkEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, e := range events {
		if e.Step == wire.WorkStep_WORK_STEP_UNREACHABLE {
			b.doubt(e.Endpoints)
			continue
		}
		id := passes.WorkID{Sender: sender, Number: e.Work}
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
			reading: passes.Reading{
				Ms:     float64(e.ReadUs) / 1e3,
				Tokens: float64(e.PromptTokens) / float64(len(e.Endpoints)),
			},
			prompt: int(e.PromptTokens), output: int(e.OutputTokens), openedAt: now,
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

// cross marks own work that was chosen before this news of other work came.
func (b *Book) cross(remote *work) {
	for _, w := range b.settling {
		if remote.precedes(w) && remote.shares(w) {
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

// Forget drops all work of another entry, whose link is lost or started anew.
func (b *Book) Forget(sender uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, w := range b.works {
		if id.Sender == sender {
			b.drop(w)
		}
	}
}

// Own returns the events that tell all of this entry's work anew.
func (b *Book) Own() []*wire.WorkEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var events []*wire.WorkEvent
	for id, w := range b.works {
		if id.Sender != 0 {
			continue
		}
		events = append(events, w.event(now))
		if w.started {
			events = append(events, &wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_STARTED, Work: id.Number})
		}
	}
	return events
}

// Expire drops work whose time is over, of entries that never told its end.
func (b *Book) Expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, w := range b.works {
		if id.Sender != 0 && now.After(w.expires) {
			b.drop(w)
		}
	}
}
