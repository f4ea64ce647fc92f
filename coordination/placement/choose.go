package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// lateLossShare of the credit is lost when an answer is late.
	lateLossShare = 0.75
	// firstEventMargin is the part of the objective of a first event over which the
	// chance to meet it falls from one to nothing; pauseMargin is that of pauses,
	// which are predicted better.
	firstEventMargin = 0.6
	pauseMargin      = 0.35
	// otherDataCentreCostShare of the credit is the cost of another data centre.
	otherDataCentreCostShare = 0.02
	// reportedDataCentreCostShare is the cost of a short answer in a data centre whose work is
	// known from reports only, which are late: entries that hear the same report
	// choose the same endpoints. reportedLongShare is that of a long one, as long
	// readings are told everywhere.
	reportedDataCentreCostShare     = 0.5
	reportedDataCentreLongCostShare = 0.1
	// helperCostShare of the credit is the cost of each further endpoint.
	helperCostShare = 0.004
	// coldSlowdownFactor is how much longer a cold endpoint is expected to take.
	coldSlowdownFactor = 2
	// minSplitPrefillMs is the least reading that is worth spreading.
	minSplitPrefillMs = 100
	// overdueDelayCostShare of the credit is the cost of a short answer that is late in any case
	// and begins as late as its caller bears.
	overdueDelayCostShare = 0.2
	// callerTimeoutShare is the part of a caller's patience within which a first event
	// must be predicted, as predictions fall short when much arrives.
	callerTimeoutShare = 0.6
	// onTimeSlotsDivisor is the part of the slots, as its divisor, that only requests
	// get which may still be in time.
	onTimeSlotsDivisor = 4
	// minOwnMemoryDivisor is the part of an endpoint's memory, as its divisor, that must
	// be free where a prompt larger than the memory is answered.
	minOwnMemoryDivisor = 2
	// reservableMemoryShare is the part of the free memory that may be reserved, as other
	// answers grow meanwhile.
	reservableMemoryShare = 0.85
	// queuedAnswersDivisor is how many answers may queue for a slot, as the divisor of the
	// slots.
	queuedAnswersDivisor = 2
	// silentAfter is how long an endpoint may be silent before others go first.
	silentAfter = 4 * time.Second
	// plainQueueFactor is how many plain requests an endpoint is given, as a multiple
	// of its slots.
	plainQueueFactor = 3
)

// packing is how short answers share endpoints.
type packing struct {
	// bonusShare of the credit rewards an endpoint that already writes, which leaves
	// others free to read long prompts.
	bonusShare float64
	// spareDivisor is the part of the slots, as its divisor, that is left free for choices
	// that cross while others have room; leastSpare are in any case.
	spareDivisor int
}

const minSpareSlots = 2 // slots

var (
	// smallFleetPacking is for small fleets, whose few endpoints are needed for long prompts.
	smallFleetPacking = packing{bonusShare: 0.8, spareDivisor: 8}
	// largeFleetPacking is for fleets whose work elsewhere is reported in sums: the more
	// entries choose at once, the more of a burst a reward puts into the same passes.
	largeFleetPacking = packing{bonusShare: 0.15, spareDivisor: 4}
)

// Request is a request that asks for endpoints.
type Request struct {
	Service        *catalogue.Service
	DataCentre     string // of this entry
	PromptTokens   int
	OutputTokens   int
	Objective      time.Duration // of the answer or its first event, from the arrival
	ObjectiveLeft  time.Duration // to the objective
	CallerTimeout  time.Duration // the caller leaves when the first event takes longer
	PauseObjective time.Duration // objective between events
	TimeLimit      time.Duration // until it is over in any case
	Credit         float64       // weight of being on time
	Excluded       func(e *directory.Endpoint) bool
}

// Plan names the endpoints of a request: the first answers, the others read
// parts of its prompt.
type Plan struct {
	Endpoints        []*directory.Endpoint
	HeldTokens       []int // tokens to reserve at each endpoint, nil when the first one has room
	PredictedFirstMs float64
	Handle           *Handle
	AwaitConflicts   bool // wait for choices of other entries that crossed this one before sending
	Candidates       int
	ActiveAnswers    int     // at the first endpoint, before this one
	BacklogMs        float64 // of reading there
	RunnerUp         string  // the best endpoint that was not taken
	Score            float64
	RunnerUpScore    float64
	Loss             float64 // credit that other work loses

	prefill enginemodel.Prefill // on each endpoint
}

// Choose picks endpoints for a demand and enters the work. It returns nil when
// no endpoint can take it now.
func (s *Scheduler) Choose(endpoints []*directory.Endpoint, req *Request) *Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(endpoints, req)
	if len(candidates) == 0 {
		return nil
	}
	var p *Plan
	if req.Service.Engine == nil {
		p = choosePlain(candidates, req)
	} else {
		p = s.chooseForEngine(candidates, req)
	}
	if p == nil {
		return nil
	}
	p.Candidates = len(candidates)
	p.Handle = s.openWork(p, req)
	return p
}

// candidates lists the endpoints that may be asked. Those that rest after a
// failure, or are silent, are asked only when no other is left.
func (s *Scheduler) candidates(endpoints []*directory.Endpoint, req *Request) []*candidate {
	now, steadyNow := s.now(), steady.Now()
	if len(s.candidateBuffer) < len(endpoints) {
		s.candidateBuffer = append(s.candidateBuffer, make([]candidate, len(endpoints)-len(s.candidateBuffer))...)
	}
	var preferred, lastResort []*candidate
	for i, e := range endpoints {
		if req.Excluded(e) {
			continue
		}
		c := &s.candidateBuffer[i]
		s.fillCandidate(c, e.Key, req.Service.Engine, now)
		c.endpoint, c.state.name = e, e.ID
		if c.state.health.draining || now.Before(c.state.health.busyUntil) {
			continue
		}
		c.cold = e.Cold(steadyNow)
		if c.cold && req.Service.ColdPerSecond > 0 && !s.allowsColdArrival(c, req, now) {
			continue
		}
		silent := steadyNow.Sub(e.HeardAt) > silentAfter && now.Sub(c.state.health.lastSuccessAt) > silentAfter
		if now.Before(c.state.health.backoffUntil) || silent {
			lastResort = append(lastResort, c)
		} else {
			preferred = append(preferred, c)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return lastResort
}

// allowsColdArrival reports whether a cold endpoint bears a further arrival. Those of a
// data centre that reports its work in sums are left to the entries there, which
// see every arrival.
func (s *Scheduler) allowsColdArrival(c *candidate, req *Request, now time.Time) bool {
	if s.isReported(c) {
		return false
	}
	return float64(c.state.recentArrivals(now)+1) <= req.Service.ColdPerSecond
}

func choosePlain(candidates []*candidate, req *Request) *Plan {
	var best, second *candidate
	score := func(c *candidate) float64 {
		s := float64(c.answers) / float64(max(1, c.endpoint.Slots))
		if c.endpoint.DataCentre != req.DataCentre {
			s += otherDataCentreCostShare
		}
		return s
	}
	for _, c := range candidates {
		if c.answers >= plainQueueFactor*max(1, c.endpoint.Slots) {
			continue
		}
		switch {
		case best == nil || score(c) < score(best):
			best, second = c, best
		case second == nil || score(c) < score(second):
			second = c
		}
	}
	if best == nil {
		return nil
	}
	p := &Plan{Endpoints: []*directory.Endpoint{best.endpoint}, Score: -score(best), ActiveAnswers: best.answers}
	if second != nil {
		p.RunnerUp, p.RunnerUpScore = second.endpoint.ID, -score(second)
	}
	return p
}
