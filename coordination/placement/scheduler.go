// Package placement decides which endpoints carry a request. Its book holds the
// work in flight of all entries, from which it predicts the passes of each
// endpoint.
package placement

import (
	"encoding/binary"
	"hash/fnv"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

// arrivalWindow is the span over which arrivals at a cold endpoint are counted.
const arrivalWindow = time.Second

// The bias of predictions follows what is seen in steps, within bounds.
const (
	biasSmoothing = 0.05
	minBias       = 0.8
	maxBias       = 3
)

// Scheduler is the ledger of work in flight, of this entry and of the others.
type Scheduler struct {
	now    func() time.Time
	logger *logs.Logger

	mu                sync.Mutex
	states            map[uint64]*endpointState // by endpoint key
	inFlight          map[enginemodel.WorkID]*work
	awaitingConflicts []*work // own
	lastNumber        uint64
	tieBreakSeed      uint64  // seed of this entry's order of endpoints that are alike
	bias              float64 // of the time to the first event over its prediction, lately
	publish           func(*wire.WorkEvent, Scope)
	reportedKeys      map[string][]uint64 // endpoints in the last report of each data centre that reports sums
	engineOf          func(key uint64) *catalogue.Engine
	forecastAfter     enginemodel.Forecast // scratch
	candidateBuffer   []candidate          // scratch
	workEnded         chan struct{}        // closed and replaced when work ends
}

// NewScheduler returns an empty book.
func NewScheduler(now func() time.Time) *Scheduler {
	return &Scheduler{
		now:          now,
		logger:       logs.For("placement"),
		states:       make(map[uint64]*endpointState),
		inFlight:     make(map[enginemodel.WorkID]*work),
		bias:         1,
		publish:      func(*wire.WorkEvent, Scope) {},
		reportedKeys: make(map[string][]uint64),
		engineOf:     func(uint64) *catalogue.Engine { return nil },
		workEnded:    make(chan struct{}),
	}
}

// OnWorkEvent sets the function that tells the other entries of this one's work. It
// must not block.
func (s *Scheduler) OnWorkEvent(f func(*wire.WorkEvent, Scope)) { s.publish = f }

// SetEngineLookup sets the function that finds the engine of an endpoint, nil when
// there is none or it isn't known yet. With it the reading of other entries'
// work is followed before this entry has chosen any endpoint itself.
func (s *Scheduler) SetEngineLookup(f func(key uint64) *catalogue.Engine) { s.engineOf = f }

// SetTieBreakSeed gives this entry its own order of endpoints that are alike, before it
// knows any. Entries that all choose at one moment, as after a restart of all, would
// else choose the same one.
func (s *Scheduler) SetTieBreakSeed(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tieBreakSeed = seed
}

// tieBreakRank is an endpoint's place in this entry's order.
func (s *Scheduler) tieBreakRank(key uint64) uint64 {
	hash := fnv.New64a()
	var text [16]byte
	binary.BigEndian.PutUint64(text[:8], s.tieBreakSeed)
	binary.BigEndian.PutUint64(text[8:], key)
	_, _ = hash.Write(text[:]) // a hash takes all
	return hash.Sum64()
}

func (s *Scheduler) stateOf(key uint64) *endpointState {
	state := s.states[key]
	if state == nil {
		state = &endpointState{tieBreakRank: s.tieBreakRank(key)}
		s.states[key] = state
	}
	return state
}

// openWork enters a plan that was just made. The caller holds the lock.
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

// WorkEnded returns a channel that is closed when some work ends.
func (s *Scheduler) WorkEnded() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workEnded
}

// Stats are counts for the metrics.
type Stats struct {
	Own, Remote int // pieces of work in flight
	BackingOff  int // endpoints that are left alone after a failure
	Bias        float64
}

// Stats counts what the book holds.
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
	}
	return stats
}
