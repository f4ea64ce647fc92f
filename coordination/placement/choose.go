package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// lateLossShare is the share of the credit that is lost when an answer is late.
	lateLossShare = 0.75
	// firstEventMargin is the part of a first-event objective over which the chance to
	// meet it falls from 1 to 0 as the prediction nears the objective. pauseMargin is
	// the same for pauses, which are predicted better.
	firstEventMargin = 0.6
	pauseMargin      = 0.35
	// otherDataCentreCostShare is the cost of an endpoint in another data centre, as a
	// share of the credit.
	otherDataCentreCostShare = 0.02
	// reportedDataCentreCostShare is the cost, as a share of the credit, of a short
	// answer in a data centre whose load is known from reports only. Reports are late,
	// and entries that have the same report choose the same endpoints. For a long
	// prompt, reportedDataCentreLongCostShare is enough, as events of long prompts are
	// published to all data centres.
	reportedDataCentreCostShare     = 0.5
	reportedDataCentreLongCostShare = 0.1
	// helperCostShare is the cost of each endpoint of a plan, as a share of the
	// credit.
	helperCostShare = 0.004
	// coldSlowdownFactor multiplies the predicted time of a cold endpoint.
	coldSlowdownFactor = 2
	// minSplitPrefillMs is the shortest prefill that is worth splitting over
	// endpoints.
	minSplitPrefillMs = 100
	// overdueDelayCostShare is the cost, as a share of the credit, of a short answer
	// that is late in any case and begins only at the latest time worth sending for.
	overdueDelayCostShare = 0.2
	// callerTimeoutShare is the part of the caller timeout within which the first
	// event must be predicted, as predictions are too short during bursts.
	callerTimeoutShare = 0.6
	// onTimeSlotsDivisor sets the slots kept for requests that can still be on time,
	// one in that many.
	onTimeSlotsDivisor = 4
	// minOwnMemoryDivisor sets the memory that must be free at the main endpoint of a
	// prompt larger than its memory: the memory divided by it.
	minOwnMemoryDivisor = 2
	// reservableMemoryShare is the share of the free memory that may be reserved, as
	// running answers grow meanwhile.
	reservableMemoryShare = 0.85
	// queuedAnswersDivisor sets how many answers may queue for a slot: the slots
	// divided by it.
	queuedAnswersDivisor = 2
	// silentAfter is the time without an announcement or a success after which other
	// endpoints are preferred.
	silentAfter = 4 * time.Second
	// plainQueueFactor limits the requests in flight at an endpoint of a plain
	// service, as a multiple of its slots.
	plainQueueFactor = 3
)

// packing is the rule by which short answers share endpoints.
type packing struct {
	// bonusShare is the bonus of an endpoint that already decodes answers, as a share
	// of the credit. Packing leaves other endpoints free to prefill long prompts.
	bonusShare float64
	// spareDivisor sets the slots left free, one in so many and at least
	// minSpareSlots, for concurrent choices of other entries while other endpoints
	// have room.
	spareDivisor int
}

// minSpareSlots is the least number of slots left free, see packing.
const minSpareSlots = 2

var (
	// smallFleetPacking is for small fleets, whose few endpoints are needed for long
	// prompts.
	smallFleetPacking = packing{bonusShare: 0.8, spareDivisor: 8}
	// largeFleetPacking is for fleets in which other data centres send load reports:
	// with more entries choosing at once, a larger bonus would put more of a burst
	// into the same passes.
	largeFleetPacking = packing{bonusShare: 0.15, spareDivisor: 4}
)

// Request describes a request that needs endpoints.
type Request struct {
	Service      *catalogue.Service
	DataCentre   string // of this entry
	PromptTokens int
	OutputTokens int
	// Objective is the objective for the first event, or for a whole plain answer,
	// from the arrival of the request.
	Objective time.Duration
	// ObjectiveLeft is the time until the next event is due, the first one unless a
	// broken answer is continued. It is negative when overdue.
	ObjectiveLeft  time.Duration
	CallerTimeout  time.Duration // time left until the caller gives up waiting for the first event
	PauseObjective time.Duration // for the time between events; 0 for plain requests
	TimeLimit      time.Duration // time left for the whole answer
	Credit         float64       // weight of serving the request on time
	Excluded       func(e *directory.Endpoint) bool
}

// Plan lists the endpoints chosen for a request, with the figures behind the choice.
// The first endpoint is the main one, which decodes the answer; the others prefill
// parts of its prompt.
type Plan struct {
	Endpoints        []*directory.Endpoint
	HeldTokens       []int // to reserve at each endpoint, nil when the main one has room
	PredictedFirstMs float64
	Handle           *Handle
	// AwaitConflicts asks the caller to wait for concurrent choices of other entries
	// before it sends, and then to call Handle.EndConflictWindow.
	AwaitConflicts bool
	Candidates     int
	ActiveAnswers  int     // at the main endpoint, this one not counted
	BacklogMs      float64 // prefill waiting at the main endpoint
	RunnerUp       string  // ID of the next best main endpoint
	Score          float64
	RunnerUpScore  float64
	Loss           float64 // credit that other work loses by this plan

	prefill enginemodel.Prefill // on each endpoint
}

// Choose picks endpoints for a request and adds the work item. It returns nil when no
// endpoint can take the request now.
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

// candidates returns the endpoints that can be chosen. Endpoints that are in back-off
// or silent are returned only when there is no other.
func (s *Scheduler) candidates(endpoints []*directory.Endpoint, req *Request) []*candidate {
	now, steadyNow := s.now(), monotonic.Now()
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
		if c.cold && req.Service.ColdRequestsPerSecond > 0 && !s.allowsColdArrival(c, req, now) {
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

// allowsColdArrival reports whether a cold endpoint can take a further arrival. Those
// of a data centre known from load reports are left to the entries there, which see
// every arrival.
func (s *Scheduler) allowsColdArrival(c *candidate, req *Request, now time.Time) bool {
	if s.isReported(c) {
		return false
	}
	return float64(c.state.recentArrivals(now)+1) <= req.Service.ColdRequestsPerSecond
}

// choosePlain returns a plan with the least loaded endpoint of a plain service, nil
// when all queues are full.
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
