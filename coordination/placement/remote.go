package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// ApplyRemote takes news of another entry's work.
func (s *Scheduler) ApplyRemote(sender uint64, events []*wire.WorkEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(sender, events)
}

// ReplaceRemote takes all work of another entry that this one is to know. What is not
// among it has ended.
func (s *Scheduler) ReplaceRemote(sender uint64, events []*wire.WorkEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := make(map[uint64]bool)
	for _, e := range events {
		if e.Step == wire.WorkStep_WORK_STEP_OPEN {
			open[e.Work] = true
		}
	}
	for id, w := range s.inFlight {
		if id.Sender == sender && !open[id.Number] {
			s.removeWork(w)
		}
	}
	s.apply(sender, events)
}

func (s *Scheduler) apply(sender uint64, events []*wire.WorkEvent) {
	now := s.now()
	for _, e := range events {
		if e.Step == wire.WorkStep_WORK_STEP_UNREACHABLE {
			s.suspectUnreachable(e.Endpoints)
			continue
		}
		id := enginemodel.WorkID{Sender: sender, Number: e.Work}
		if e.Step != wire.WorkStep_WORK_STEP_OPEN {
			if w := s.inFlight[id]; w != nil {
				s.applyStep(w, e.Step)
			}
			continue
		}
		if s.inFlight[id] != nil || len(e.Endpoints) == 0 {
			continue
		}
		w := &work{
			id: id, endpoints: e.Endpoints,
			prefill:      s.prefillOf(e),
			promptTokens: int(e.PromptTokens), outputTokens: int(e.OutputTokens), openedAt: now,
			firstDueAt:       now.Add(time.Duration(e.FirstMs) * time.Millisecond),
			pauseObjective:   time.Duration(e.PauseMs) * time.Millisecond,
			expiresAt:        now.Add(time.Duration(e.LimitMs) * time.Millisecond),
			credit:           float64(e.CreditMilli) / millisPerCredit,
			predictedFirstAt: now.Add(time.Duration(e.PredictedMs) * time.Millisecond),
			heldTokens:       heldTokensOf(e),
		}
		s.addWork(w)
		s.markConflicts(w)
	}
}

// prefillOf is the reading that an event tells of, on each endpoint. Of what was
// read in part before, as many tokens are left as time.
func (s *Scheduler) prefillOf(e *wire.WorkEvent) enginemodel.Prefill {
	n := len(e.Endpoints)
	prefill := enginemodel.Prefill{Ms: float64(e.ReadUs) / 1e3, Tokens: float64(e.PromptTokens) / float64(n)}
	if engine := s.engineFor(s.stateOf(e.Endpoints[0]), e.Endpoints[0]); engine != nil {
		if whole := enginemodel.PrefillMs(engine, int(e.PromptTokens), n); whole > 0 {
			prefill.Tokens *= min(1, prefill.Ms/whole)
		}
	}
	return prefill
}

// markConflicts marks own work that was chosen before this news of other work came. Short
// prompts that share an endpoint are in nobody's way.
func (s *Scheduler) markConflicts(remote *work) {
	for _, w := range s.awaitingConflicts {
		if remote.precedes(w) && remote.sharesEndpoint(w) && (w.isLong() || remote.isLong()) {
			w.conflicted = true
		}
	}
}

// heldTokensOf reads the reservations of an event.
func heldTokensOf(e *wire.WorkEvent) []int {
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
func (s *Scheduler) RemoveRemote(sender uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, w := range s.inFlight {
		if id.Sender == sender {
			s.removeWork(w)
		}
	}
}

// OwnEvents returns the events that tell all of this entry's work anew, in the order
// in which it was opened, with the reading that is left of it.
func (s *Scheduler) OwnEvents() []*wire.WorkEvent {
	return s.ownEvents(func(*work) bool { return true })
}

// OwnCrossDataCentreEvents is Own for the entries of other data centres: what everyone is told of.
func (s *Scheduler) OwnCrossDataCentreEvents() []*wire.WorkEvent {
	return s.ownEvents(func(w *work) bool { return w.scope == AllDataCentres })
}

func (s *Scheduler) ownEvents(wanted func(*work) bool) []*wire.WorkEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var own []*work
	for id, w := range s.inFlight {
		if id.Sender == 0 && wanted(w) {
			own = append(own, w)
		}
	}
	slices.SortFunc(own, func(x, y *work) int { return cmp.Compare(x.id.Number, y.id.Number) })
	var events []*wire.WorkEvent
	for _, w := range own {
		e := w.event(now)
		e.ReadUs = uint32(s.prefillLeftMs(w, now) * 1e3)
		events = append(events, e)
		if w.started {
			events = append(events, &wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_STARTED, Work: w.id.Number})
		}
	}
	return events
}

// prefillLeftMs is the most that one of the endpoints still has to read, in ms.
func (s *Scheduler) prefillLeftMs(w *work, now time.Time) float64 {
	left := 0.0
	for _, key := range w.endpoints {
		state := s.stateOf(key)
		s.advanceQueue(state, key, now)
		if state.engine == nil {
			return w.prefill.Ms // nothing is followed there
		}
		left = max(left, state.queue.Remaining(w.id).Ms)
	}
	return left
}

// Expire drops work whose time is over, of entries that never told its end.
func (s *Scheduler) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for id, w := range s.inFlight {
		if id.Sender != 0 && now.After(w.expiresAt) {
			s.removeWork(w)
		}
	}
}
