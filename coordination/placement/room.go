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
func (b *Scheduler) Capacity(endpoints []*directory.Endpoint, d *Request) Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Capacity{Endpoints: len(endpoints), LeastAnswers: math.MaxInt}
	var waits []float64
	candidates := b.candidates(endpoints, d)
	if d.Service.Engine != nil {
		r.BestPlan = b.bestPlan(candidates, d)
	}
	for _, c := range candidates {
		r.Candidates++
		r.Answers += c.answers
		r.LeastAnswers = min(r.LeastAnswers, c.answers)
		wait := c.forecast.PrefillDoneMs
		if d.Service.Engine != nil {
			wait += c.slotWaitMs(d.Service.Engine)
		}
		waits = append(waits, wait)
	}
	if r.Candidates == 0 {
		r.LeastAnswers, r.Wait = 0, doubtFirst
		return r
	}
	r.ServiceInterval = d.gap(candidates)
	slices.Sort(waits)
	r.Wait = enginemodel.FromMs(waits[min(d.readersNeeded(), len(waits))-1])
	return r
}

// gap is the part of the candidates' time that one such demand takes.
func (d *Request) gap(candidates []*candidate) time.Duration {
	engine := d.Service.Engine
	if engine == nil {
		return 0
	}
	slots := 0
	for _, c := range candidates {
		slots += c.slots(engine)
	}
	writing := enginemodel.AnswerMs(engine, d.OutputTokens) / float64(slots)
	reading := enginemodel.PrefillMs(engine, d.PromptTokens, 1) / float64(len(candidates))
	return enginemodel.FromMs(max(writing, reading))
}

// readersNeeded is the number of idle endpoints that read the prompt within the
// part of the objective that counts as surely in time.
func (d *Request) readersNeeded() int {
	engine := d.Service.Engine
	if engine == nil || d.Objective <= 0 {
		return 1
	}
	sure := float64(d.Objective) / float64(time.Millisecond) * (1 - firstMargin)
	needed := math.Ceil(enginemodel.PrefillMs(engine, d.PromptTokens, 1) / sure)
	return min(max(1, int(needed)), splits[len(splits)-1])
}
