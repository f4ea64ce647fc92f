package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// ApplyRemote applies events of another entry's work. sender is the entry's
// incarnation.
func (s *Scheduler) ApplyRemote(sender uint64, events []*wire.WorkEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(sender, events)
}

// ReplaceRemote replaces the work of another entry by the given events. Work that is
// not among them has ended.
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

// apply applies events of another entry. The caller holds the lock.
func (s *Scheduler) apply(sender uint64, events []*wire.WorkEvent) {
	now := s.now()
	for _, e := range events {
		if s.applyEndpointEvent(e) {
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

// applyEndpointEvent applies an event that tells of endpoints instead of a work item. It
// returns false for any other event.
func (s *Scheduler) applyEndpointEvent(e *wire.WorkEvent) bool {
	switch e.Step {
	case wire.WorkStep_WORK_STEP_UNREACHABLE:
		s.applyUnreachable(e.Endpoints)
	case wire.WorkStep_WORK_STEP_RATE_LIMIT:
		for _, key := range e.Endpoints {
			s.mergeRateLimit(key, e.RateLimit)
		}
	case wire.WorkStep_WORK_STEP_BUSY:
		for _, key := range e.Endpoints {
			s.applyBusy(key, time.Duration(e.LimitMs)*time.Millisecond)
		}
	default:
		return false
	}
	return true
}

// prefillOf returns the prefill left at each endpoint, as an event that opens work
// reports it in ReadUs. When some of it is done already, the tokens left are in
// proportion to the time left.
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

// markConflicts marks own work that was chosen concurrently and has lower precedence.
// Short prompts may share an endpoint without a conflict.
func (s *Scheduler) markConflicts(remote *work) {
	for _, w := range s.awaitingConflicts {
		if remote.precedes(w) && remote.sharesEndpoint(w) && (w.isLong() || remote.isLong()) {
			w.conflicted = true
		}
	}
}

// heldTokensOf returns the reservations of an event, nil without any.
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

// RemoveRemote removes all work of another entry, after its link is lost or
// re-established.
func (s *Scheduler) RemoveRemote(sender uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, w := range s.inFlight {
		if id.Sender == sender {
			s.removeWork(w)
		}
	}
}

// OwnEvents returns events that describe all work of this entry with its remaining
// prefill, in the order in which it was opened, and all that it knows of endpoints' rate
// limits and requests to be spared.
func (s *Scheduler) OwnEvents() []*wire.WorkEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	stated := append(s.rateLimitEvents(func(*rateLimit) bool { return true }), s.busyEvents()...)
	return append(stated, s.ownWorkEvents(func(*work) bool { return true })...)
}

// OwnCrossDataCentreEvents is OwnEvents for the entries of other data centres, to which
// it is sent often. It leaves out the work that is published in this entry's data centre
// only, and what this entry has heard of endpoints from other processes.
func (s *Scheduler) OwnCrossDataCentreEvents() []*wire.WorkEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := s.rateLimitEvents(func(l *rateLimit) bool { return l.own })
	return append(limits, s.ownWorkEvents(func(w *work) bool { return w.scope == AllDataCentres })...)
}

// ownWorkEvents returns the events of the work items that wanted accepts. The caller
// holds the lock.
func (s *Scheduler) ownWorkEvents(wanted func(*work) bool) []*wire.WorkEvent {
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

// prefillLeftMs returns the most prefill, in ms, that any endpoint of the work has
// left.
func (s *Scheduler) prefillLeftMs(w *work, now time.Time) float64 {
	left := 0.0
	for _, key := range w.endpoints {
		state := s.stateOf(key)
		s.advanceQueue(state, key, now)
		if state.engine == nil {
			return w.prefill.Ms // without an engine nothing is simulated
		}
		left = max(left, state.queue.Remaining(w.id).Ms)
	}
	return left
}

// Expire removes work of other entries that is past its time limit, for entries that
// never reported its end.
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
