// Package placement chooses the endpoints for each request. It runs in an entry, a
// process that accepts requests from callers. Its Scheduler holds the work items in
// flight of this entry and those that other entries publish, from which it predicts
// the engine passes of each endpoint. Of the short prompts in other data centres, it may
// know only the sums in load reports.
//
// The endpoint that decodes an answer is the main endpoint. A long prompt may be split
// over several endpoints: the others, its helpers, prefill a part each. The credit of
// a request is the weight of serving it on time; a plan is scored by the credit that
// it earns, less the credit that other requests lose by it.
package placement

import (
	"encoding/binary"
	"hash/fnv"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

// arrivalWindow is the time over which arrivals at a cold endpoint are counted.
const arrivalWindow = time.Second

// The bias follows the observed prediction errors as an exponentially weighted mean,
// within bounds.
const (
	biasSmoothing = 0.05
	minBias       = 0.8
	maxBias       = 3
)

// Scheduler holds the work in flight of this entry and of the others, and chooses
// endpoints by it. It is safe for concurrent use.
type Scheduler struct {
	now    func() time.Time
	logger *logs.Logger

	mu                sync.Mutex
	states            map[uint64]*endpointState // by endpoint key
	inFlight          map[enginemodel.WorkID]*work
	awaitingConflicts []*work // of this entry, until EndConflictWindow
	// lastNumber is the number of the last own work item.
	lastNumber   uint64
	tieBreakSeed uint64  // orders equal endpoints at this entry
	bias         float64 // recent ratio of the time to the first event to its prediction
	publish      func(*wire.WorkEvent, Scope)
	reportedKeys map[string][]uint64 // endpoints in the last report of each data centre that sends load reports
	engineOf     func(key uint64) *catalogue.Engine
	isKnown      func(key uint64) bool // whether the endpoint may still exist
	// heardSinceReturn reports whether the endpoint was heard from since its data centre
	// was put back into service.
	heardSinceReturn func(e *directory.Endpoint) bool
	forecastAfter    enginemodel.Forecast // reused; forecast with the part being evaluated
	candidateBuffer  []candidate          // reused
	workEnded        chan struct{}        // closed and replaced when work ends
	estimates        estimates
	entries          heardEntries
}

// NewScheduler returns a scheduler without work. It takes the time from now.
func NewScheduler(now func() time.Time) *Scheduler {
	return &Scheduler{
		now:              now,
		logger:           logs.For("placement"),
		states:           make(map[uint64]*endpointState),
		inFlight:         make(map[enginemodel.WorkID]*work),
		bias:             1,
		publish:          func(*wire.WorkEvent, Scope) {},
		reportedKeys:     make(map[string][]uint64),
		engineOf:         func(uint64) *catalogue.Engine { return nil },
		isKnown:          func(uint64) bool { return true },
		heardSinceReturn: func(*directory.Endpoint) bool { return true },
		workEnded:        make(chan struct{}),
		estimates:        newEstimates(),
	}
}

// OnWorkEvent sets the function that publishes the events of this entry's work to the
// other entries. The function must not block. It must be set before the scheduler is
// in use.
func (s *Scheduler) OnWorkEvent(f func(*wire.WorkEvent, Scope)) { s.publish = f }

// SetEngineLookup sets the function that returns the engine of an endpoint, nil when
// it has none or it isn't known yet. With it, the prefill of other entries' work is
// simulated before this entry has chosen any endpoint itself. It must be set before
// the scheduler is in use.
func (s *Scheduler) SetEngineLookup(f func(key uint64) *catalogue.Engine) { s.engineOf = f }

// SetEndpointLookup sets the function that reports whether the directory has a record of
// an endpoint. The rate limits of others aren't published any more. It must be set before
// the scheduler is in use.
func (s *Scheduler) SetEndpointLookup(f func(key uint64) bool) { s.isKnown = f }

// SetReturnLookup sets the function that reports whether an endpoint was heard from since
// its data centre was put back into service. It must be set before the scheduler is in use.
func (s *Scheduler) SetReturnLookup(f func(e *directory.Endpoint) bool) { s.heardSinceReturn = f }

// SetTieBreakSeed gives this entry its own order of equal endpoints, and its own random
// choices among those about equal. Otherwise entries that choose at the same moment, as after
// a restart of all, would choose the same endpoint. It must be called before the first
// endpoint is known.
func (s *Scheduler) SetTieBreakSeed(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tieBreakSeed = seed
	s.estimates.seed(seed)
}

// tieBreakRank returns an endpoint's place in this entry's order of equal endpoints.
func (s *Scheduler) tieBreakRank(key uint64) uint64 {
	hash := fnv.New64a()
	var text [16]byte
	binary.BigEndian.PutUint64(text[:8], s.tieBreakSeed)
	binary.BigEndian.PutUint64(text[8:], key)
	_, _ = hash.Write(text[:]) // a hash write never fails
	return hash.Sum64()
}

// stateOf returns the state of an endpoint, a new one when there is none.
func (s *Scheduler) stateOf(key uint64) *endpointState {
	state := s.states[key]
	if state == nil {
		state = &endpointState{tieBreakRank: s.tieBreakRank(key)}
		s.states[key] = state
	}
	return state
}

// openWork adds the work item of a new plan and publishes it. The caller holds the
// lock.
func (s *Scheduler) openWork(p *Plan, req *Request) *Handle {
	now := s.now()
	s.lastNumber++
	w := &work{
		id:               enginemodel.WorkID{Number: s.lastNumber},
		prefill:          p.prefill,
		heldTokens:       p.HeldTokens,
		promptTokens:     req.PromptTokens,
		outputTokens:     req.OutputTokens,
		openedAt:         now,
		firstDueAt:       now.Add(req.ObjectiveLeft),
		pauseObjective:   req.PauseObjective,
		expiresAt:        now.Add(req.TimeLimit),
		credit:           float64(creditMilli(req.Credit)) / millisPerCredit,
		predictedFirstMs: p.PredictedFirstMs,
		predictedFirstAt: now.Add(enginemodel.FromMs(p.PredictedFirstMs)),
		scope:            scopeOf(p, req.DataCentre),
	}
	for _, e := range p.Endpoints {
		w.endpoints = append(w.endpoints, e.Key)
	}
	s.addWork(w)
	if isLong(req) || req.isOverdue() {
		s.awaitingConflicts = append(s.awaitingConflicts, w)
		p.AwaitConflicts = true
	}
	s.publish(w.event(now), w.scope)
	return &Handle{scheduler: s, work: w}
}

// WorkEnded returns a channel that is closed when the next work item ends.
func (s *Scheduler) WorkEnded() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workEnded
}

// Stats are counts for the metrics.
type Stats struct {
	Own, Remote int // work items in flight
	BackingOff  int // endpoints in back-off after a failure
	RateLimited int // endpoints with a rate limit
	// Bias is the recent ratio of the time to the first event to its prediction.
	Bias float64
}

// Stats returns the current counts.
func (s *Scheduler) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{Bias: s.bias}
	for id := range s.inFlight {
		if id.Sender == 0 {
			stats.Own++
		} else {
			stats.Remote++
		}
	}
	now := s.now()
	for _, state := range s.states {
		if now.Before(state.health.backoffUntil) {
			stats.BackingOff++
		}
		if state.rateLimit.current() != Unlimited {
			stats.RateLimited++
		}
	}
	return stats
}
