package placement

import (
	"math"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
)

const (
	millisPerSecond = 1e3
	// minServedPerSecond bounds ServiceInterval when the rate limits of all endpoints
	// are 0.
	minServedPerSecond = 0.1
)

// Capacity describes how loaded the endpoints of a request are, for the log and for
// Retry-After.
type Capacity struct {
	Endpoints    int
	Candidates   int // that can be chosen now
	Answers      int // at the candidates
	LeastAnswers int // at the least loaded candidate
	// Wait is the predicted time until enough candidates are free: to be on time, the
	// request needs a certain number of endpoints that have finished their waiting
	// prefill and have a slot. When there are fewer candidates, Wait is the time until
	// all of them are free. When all endpoints wait for a permit, it is the time until
	// the first of them may get one.
	Wait time.Duration
	// ServiceInterval is the shortest time between such requests that the candidates
	// can sustain, limited by their slots or their prefill; 0 for a plain service. When
	// all endpoints wait for a permit, it follows from their rate limits.
	ServiceInterval time.Duration
	// OutOfPermits means that all usable endpoints wait for a permit.
	OutOfPermits bool
	// BestPlan is the plan with the highest score, nil when bestPlan finds none and for
	// a plain service.
	BestPlan *Plan
}

// Capacity examines the endpoints in the same way as Choose.
func (s *Scheduler) Capacity(endpoints []*directory.Endpoint, req *Request) Capacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity(endpoints, s.candidates(endpoints, req), req)
}

// capacity is Capacity for a caller that holds the lock and has the candidates.
func (s *Scheduler) capacity(endpoints []*directory.Endpoint, candidates []*candidate, req *Request) Capacity {
	capacity := Capacity{Endpoints: len(endpoints), LeastAnswers: math.MaxInt}
	var waits []float64
	if req.Service.Engine != nil {
		capacity.BestPlan = s.bestPlan(candidates, req)
	}
	for _, c := range candidates {
		capacity.Candidates++
		capacity.Answers += c.answers
		capacity.LeastAnswers = min(capacity.LeastAnswers, c.answers)
		wait := c.forecast.PrefillDoneMs
		if req.Service.Engine != nil {
			wait += c.slotWaitMs(req.Service.Engine)
		}
		waits = append(waits, wait)
	}
	if capacity.Candidates == 0 {
		capacity.LeastAnswers, capacity.Wait = 0, minBackoff
		if wait, perSecond, all := s.permitWait(endpoints, req); all {
			capacity.Wait, capacity.OutOfPermits = wait, true
			capacity.ServiceInterval = enginemodel.FromMs(millisPerSecond / max(perSecond, minServedPerSecond))
		}
		return capacity
	}
	capacity.ServiceInterval = req.serviceInterval(candidates)
	slices.Sort(waits)
	capacity.Wait = enginemodel.FromMs(waits[min(req.endpointsNeeded(), len(waits))-1])
	return capacity
}

// serviceInterval returns the shortest time between such requests that the candidates
// can sustain: the decode time of one divided by all slots, or its prefill time divided
// by all candidates, whichever is longer.
func (req *Request) serviceInterval(candidates []*candidate) time.Duration {
	engine := req.Service.Engine
	if engine == nil {
		return 0
	}
	slots := 0
	for _, c := range candidates {
		slots += c.slots(engine)
	}
	decodeMs := enginemodel.AnswerMs(engine, req.OutputTokens) / float64(slots)
	prefillMs := enginemodel.PrefillMs(engine, req.PromptTokens, 1) / float64(len(candidates))
	return enginemodel.FromMs(max(decodeMs, prefillMs))
}

// endpointsNeeded returns how many idle endpoints are needed to prefill the prompt
// within the part of the objective that counts as surely on time (see
// firstEventMargin), at most the largest split count.
func (req *Request) endpointsNeeded() int {
	engine := req.Service.Engine
	if engine == nil || req.Objective <= 0 {
		return 1
	}
	surelyOnTimeMs := float64(req.Objective) / float64(time.Millisecond) * (1 - firstEventMargin)
	needed := math.Ceil(enginemodel.PrefillMs(engine, req.PromptTokens, 1) / surelyOnTimeMs)
	return min(max(1, int(needed)), splitCounts[len(splitCounts)-1])
}
