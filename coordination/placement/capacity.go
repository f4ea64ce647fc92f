package placement

import (
	"math"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
)

// Capacity describes how full the endpoints of a demand are, for the log.
type Capacity struct {
	Endpoints    int
	Candidates   int // that may be asked now
	Answers      int // at the candidates
	LeastAnswers int // answers at the emptiest candidate
	// Wait is the time after which as many candidates as the demand needs to be
	// in time are predicted to be done with the reading they have, and to have a
	// slot.
	Wait time.Duration
	// ServiceInterval is the time in which the candidates can serve one such demand after
	// another, by their slots and by their reading.
	ServiceInterval time.Duration
	// BestPlan is the plan that came nearest to being taken, nil when no number of
	// endpoints has room for the answer.
	BestPlan *Plan
}

// Capacity looks at the endpoints as Choose does.
func (s *Scheduler) Capacity(endpoints []*directory.Endpoint, req *Request) Capacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	capacity := Capacity{Endpoints: len(endpoints), LeastAnswers: math.MaxInt}
	var waits []float64
	candidates := s.candidates(endpoints, req)
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
		return capacity
	}
	capacity.ServiceInterval = req.serviceInterval(candidates)
	slices.Sort(waits)
	capacity.Wait = enginemodel.FromMs(waits[min(req.endpointsNeeded(), len(waits))-1])
	return capacity
}

// serviceInterval is the part of the candidates' time that one such demand takes.
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

// endpointsNeeded is the number of idle endpoints that read the prompt within the
// part of the objective that counts as surely in time.
func (req *Request) endpointsNeeded() int {
	engine := req.Service.Engine
	if engine == nil || req.Objective <= 0 {
		return 1
	}
	surelyOnTimeMs := float64(req.Objective) / float64(time.Millisecond) * (1 - firstEventMargin)
	needed := math.Ceil(enginemodel.PrefillMs(engine, req.PromptTokens, 1) / surelyOnTimeMs)
	return min(max(1, int(needed)), splitCounts[len(splitCounts)-1])
}
