package placement

import (
	"math"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/coordination/loadestimate"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// work is a work item: one request in flight on its endpoints.
type work struct {
	id enginemodel.WorkID // Sender is 0 for this entry's own work
	// endpoints are the keys of the endpoints, the main one first.
	endpoints        []uint64
	prefill          enginemodel.Prefill // at each endpoint
	heldTokens       []int               // reserved at each endpoint, nil without reservations
	promptTokens     int
	outputTokens     int
	openedAt         time.Time
	firstDueAt       time.Time // when the request's ObjectiveLeft ends
	pauseObjective   time.Duration
	expiresAt        time.Time // end of the time limit for the whole answer
	credit           float64
	started          bool // the first event has been seen
	late             bool // an objective has been missed
	conflicted       bool // a concurrent choice of another entry takes precedence
	startedAt        time.Time
	predictedFirstMs float64
	predictedFirstAt time.Time // postponed when other work goes ahead
	scope            Scope     // of own work
}

// endpointState is what the scheduler holds of one endpoint.
type endpointState struct {
	name         string // ID, empty until it was a candidate
	tieBreakRank uint64 // order among equal endpoints; differs between entries
	inFlight     []*work
	engine       *catalogue.Engine // nil while unknown, and for plain services
	queue        enginemodel.Queue
	arrivals     []time.Time // within arrivalWindow
	health       health
	rateLimit    rateLimit
	permit       permit
	reported     reportedLoad
	demand       demand
	estimate     *loadestimate.Endpoint // nil where the load isn't known from load reports
	rejection    loadestimate.Rejection
}

// event returns the event that opens the work item at other entries. Its ReadUs is the
// prefill at each endpoint.
func (w *work) event(now time.Time) *wire.WorkEvent {
	var held []uint32
	for _, tokens := range w.heldTokens {
		held = append(held, uint32(tokens))
	}
	return &wire.WorkEvent{
		HeldTokens: held,
		Step:       wire.WorkStep_WORK_STEP_OPEN, Work: w.id.Number, Endpoints: w.endpoints,
		ReadUs: uint32(w.prefill.Ms * 1e3), PromptTokens: uint32(w.promptTokens), OutputTokens: uint32(w.outputTokens),
		FirstMs: wireMs(w.firstDueAt.Sub(now)), PauseMs: wireMs(w.pauseObjective), LimitMs: wireMs(w.expiresAt.Sub(now)),
		CreditMilli: creditMilli(w.credit), PredictedMs: wireMs(w.predictedFirstAt.Sub(now)),
	}
}

// memoryTokensAt returns the memory, in tokens, that the work takes at its i-th
// endpoint.
func (w *work) memoryTokensAt(i int) int {
	switch {
	case w.heldTokens != nil && i > 0:
		return w.heldTokens[i]
	case i > 0:
		return 0
	}
	total := w.promptTokens + w.outputTokens
	for _, tokens := range w.heldTokens {
		total -= tokens
	}
	return max(0, total)
}

// precedes reports whether w is kept and other must be chosen again when two entries
// have chosen the same endpoint at once. All entries come to the same result. Of two
// work items with equal credit and prompt length, neither precedes the other, and both
// are kept.
func (w *work) precedes(other *work) bool {
	if w.credit != other.credit {
		return w.credit > other.credit
	}
	return w.promptTokens > other.promptTokens
}

// isLong reports whether the prompt is long enough to be split over several endpoints,
// as isLong does for a request. Work from that length on is published to all data
// centres, so isCrossDataCentre tells.
func (w *work) isLong() bool { return isCrossDataCentre(w.prefill.Ms, len(w.endpoints)) }

// sharesEndpoint reports whether two work items have an endpoint in common.
func (w *work) sharesEndpoint(other *work) bool {
	return slices.ContainsFunc(w.endpoints, func(key uint64) bool { return slices.Contains(other.endpoints, key) })
}

// millisPerCredit is the resolution of the credit in events and reports.
const millisPerCredit = 1e3

func creditMilli(credit float64) uint32 { return uint32(math.Round(credit * millisPerCredit)) }

// wireMs converts a duration for an event; negative ones become 0.
func wireMs(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// addWork adds a work item to its endpoints' states and queues.
func (s *Scheduler) addWork(w *work) {
	s.inFlight[w.id] = w
	for i, key := range w.endpoints {
		state := s.stateOf(key)
		s.advanceQueue(state, key, w.openedAt)
		state.inFlight = append(state.inFlight, w)
		state.addArrival(w.openedAt)
		if w.isLong() {
			state.demand.add(w.prefill.Ms, w.openedAt)
		}
		state.queue.Add(enginemodel.Part{Work: w.id, Prefill: w.prefill, Helper: i > 0}, w.openedAt)
		s.postponeFirstEvents(state, key, w.openedAt)
	}
}

// advanceQueue simulates the prefill of an endpoint up to now.
func (s *Scheduler) advanceQueue(state *endpointState, key uint64, now time.Time) {
	if engine := s.engineFor(state, key); engine != nil {
		state.queue.Advance(engine, state.decodeBatch(key), now)
	}
}

// engineFor returns the engine of an endpoint, nil while it is unknown.
func (s *Scheduler) engineFor(state *endpointState, key uint64) *catalogue.Engine {
	if state.engine == nil {
		state.engine = s.engineOf(key)
	}
	return state.engine
}

// decodeBatch returns the answers that have begun at the endpoint.
func (state *endpointState) decodeBatch(key uint64) enginemodel.DecodeBatch {
	batch := state.reported.batch
	for _, w := range state.inFlight {
		if w.started && w.endpoints[0] == key {
			batch.Count++
			batch.ContextTokens += w.promptTokens
		}
	}
	return batch
}

// postponeFirstEvents moves the predicted first events of the work whose parts the
// endpoint will now prefill later.
func (s *Scheduler) postponeFirstEvents(state *endpointState, key uint64, now time.Time) {
	if state.engine == nil {
		return
	}
	state.queue.Forecast(state.engine, state.decodeBatch(key), nil, &s.forecastAfter)
	for _, w := range state.inFlight {
		if !w.started {
			w.predictedFirstAt = enginemodel.Later(w.predictedFirstAt, now.Add(enginemodel.FromMs(s.forecastAfter.PartDoneMs(w.id))))
		}
	}
}

// addArrival records an arrival, for the rate limit of cold endpoints.
func (state *endpointState) addArrival(at time.Time) {
	kept := state.arrivals[:0]
	for _, t := range state.arrivals {
		if at.Sub(t) < arrivalWindow {
			kept = append(kept, t)
		}
	}
	state.arrivals = append(kept, at)
}

// recentArrivals counts the arrivals within arrivalWindow.
func (state *endpointState) recentArrivals(now time.Time) int {
	n := 0
	for _, t := range state.arrivals {
		if now.Sub(t) < arrivalWindow {
			n++
		}
	}
	return n
}

// applyOwnStep applies a step of own work and publishes it if it changed anything.
func (s *Scheduler) applyOwnStep(w *work, step wire.WorkStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[w.id] != w || !s.applyStep(w, step) {
		return
	}
	s.publish(&wire.WorkEvent{Step: step, Work: w.id.Number}, w.scope)
}

// applyStep applies a step and reports whether it changed anything.
func (s *Scheduler) applyStep(w *work, step wire.WorkStep) bool {
	switch step {
	case wire.WorkStep_WORK_STEP_STARTED:
		if w.started {
			return false
		}
		now := s.now()
		for _, key := range w.endpoints {
			state := s.stateOf(key)
			s.advanceQueue(state, key, now)
			state.queue.Remove(w.id)
		}
		w.started, w.startedAt = true, now
		s.setSuspect(w.endpoints[0], false, "an answer has begun there")
	case wire.WorkStep_WORK_STEP_LATE:
		if w.late {
			return false
		}
		w.late = true
	case wire.WorkStep_WORK_STEP_CLOSED:
		s.removeWork(w)
	}
	return true
}

// removeWork removes a work item that has ended, and wakes those who wait for
// WorkEnded.
func (s *Scheduler) removeWork(w *work) {
	delete(s.inFlight, w.id)
	for _, key := range w.endpoints {
		if state := s.states[key]; state != nil {
			s.advanceQueue(state, key, s.now())
			state.inFlight = slices.DeleteFunc(state.inFlight, func(other *work) bool { return other == w })
			state.queue.Remove(w.id)
		}
	}
	close(s.workEnded)
	s.workEnded = make(chan struct{})
}
