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
	// firstEventMargin is a share of a first-event objective. The chance to meet the
	// objective is estimated as 1 for predictions up to 1-firstEventMargin of it; from
	// there it falls linearly to 0 at the whole objective. pauseMargin is the same for
	// pause objectives, and smaller, as pauses are predicted better.
	firstEventMargin = 0.6
	pauseMargin      = 0.35
	// maxFirstEventMargin bounds the margin. A prediction is off by the work that reaches
	// the endpoints meanwhile, which doesn't grow with the objective. With a proportional
	// margin, requests with a long objective would take capacity from more urgent ones.
	maxFirstEventMargin = 2400 * time.Millisecond
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
	// endpointCostShare is the cost of each endpoint of a plan, the main one included,
	// as a share of the credit. Of plans that are otherwise about equal, it prefers the
	// one with fewer endpoints.
	endpointCostShare = 0.004
	// coldSlowdownFactor multiplies the predicted time until a cold endpoint, one in
	// the cold start that it has announced, has prefilled its part. The wait for a slot
	// isn't multiplied.
	coldSlowdownFactor = 2
	// minSplitPrefillMs is the shortest prefill that is worth splitting over
	// endpoints.
	minSplitPrefillMs = 100
	// overdueDelayCostShare is the cost, as a share of the credit, of placing an
	// already overdue short answer where its first event is predicted at maxFirstMs,
	// the latest for which a request is sent. For an earlier prediction the cost is
	// proportionally lower, so that the endpoint with the earliest one is preferred.
	overdueDelayCostShare = 0.2
	// callerTimeoutShare is the part of the caller timeout that a predicted first event
	// may take up; a request with a later prediction isn't sent. The rest is a reserve,
	// as predictions are too short during bursts.
	callerTimeoutShare = 0.6
	// onTimeSlotsDivisor: slots/onTimeSlotsDivisor slots of an endpoint are kept for
	// answers that are predicted to begin on time.
	onTimeSlotsDivisor = 4
	// minOwnMemoryDivisor: when prompt and output need more than the whole memory of an
	// endpoint, MemoryTokens/minOwnMemoryDivisor of it must be free at the main
	// endpoint, and helpers reserve the rest. With a larger divisor more endpoints
	// qualify, and helpers may have to reserve more.
	minOwnMemoryDivisor = 2
	// reservableMemoryShare is the share of an endpoint's free memory that the split of
	// such a prompt may use. The rest is a reserve for running answers that grow beyond
	// the output estimated for them.
	reservableMemoryShare = 0.85
	// queuedAnswersDivisor: up to slots/queuedAnswersDivisor answers may queue for a
	// slot of an endpoint, if they are still predicted to begin on time.
	queuedAnswersDivisor = 2
	// silentAfter: an endpoint is used only as a last resort when, for this long, it
	// has neither been heard from by an announcement nor answered a request of this
	// entry. An announcement that changes nothing is published to other processes only
	// every second time (refreshEvery in package directory), so with 2 s or more between
	// announcements, idle endpoints could count as silent there.
	silentAfter = 4 * time.Second
	// plainQueueFactor: an endpoint of a plain service gets up to that many times its
	// slots of requests in flight.
	plainQueueFactor = 3
)

// packing is the rule by which short answers share endpoints. In large fleets it depends on
// the demand if the routes of the service differ in priority, see demandPacking.
type packing struct {
	// bonusShare is the bonus of an endpoint that already decodes answers, as a share
	// of the credit. Packing leaves other endpoints free to prefill long prompts.
	bonusShare float64
	// spareDivisor: an endpoint gets the bonus only while more than
	// slots/spareDivisor slots, and more than minSpareSlots, are free. While other
	// endpoints have room, the spare slots are left for concurrent choices of other
	// entries.
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
	OutputTokens int // estimated
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
	HasPriorities  bool          // the routes of the service have different priorities
	// ReservedStart is how soon an endpoint must begin a prompt for which memory is
	// reserved at others, as the reservations end otherwise; 0 for no bound.
	ReservedStart time.Duration
	Excluded      func(e *directory.Endpoint) bool
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
	// ReportAge is the age of the load report by which the main endpoint is known, 0 when
	// its work items are known.
	ReportAge     time.Duration
	RunnerUp      string  // ID of the next best main endpoint
	Score         float64 // in credit; for a plain service, the negated load per slot and data centre cost
	RunnerUpScore float64 // likewise, of the runner-up
	Loss          float64 // credit that other work loses by this plan

	prefill enginemodel.Prefill // on each endpoint
}

// Choose picks endpoints for a request and adds the work item. It returns nil when no
// endpoint can take the request now.
func (s *Scheduler) Choose(endpoints []*directory.Endpoint, req *Request) *Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.decide(s.candidates(endpoints, req), req)
	if p == nil {
		return nil
	}
	p.Handle = s.openWork(p, req)
	return p
}

// decide returns the plan of Choose, without a work item. Explain calls it on a copy of the
// scheduler.
func (s *Scheduler) decide(candidates []*candidate, req *Request) *Plan {
	if len(candidates) == 0 {
		return nil
	}
	var p *Plan
	if req.Service.Engine == nil {
		p = s.choosePlain(candidates, req, s.now())
	} else {
		p = s.chooseForEngine(candidates, req)
	}
	if p == nil {
		return nil
	}
	p.Candidates = len(candidates)
	s.recordReportAge(p, s.now())
	return p
}

// candidates returns the endpoints that can be chosen. Endpoints that are in back-off or
// silent are returned only when there is no other. candidateBuffer[i].reason is then why the
// i-th endpoint is left out.
func (s *Scheduler) candidates(endpoints []*directory.Endpoint, req *Request) []*candidate {
	now, steadyNow := s.now(), monotonic.Now()
	if len(s.candidateBuffer) < len(endpoints) {
		s.candidateBuffer = append(s.candidateBuffer, make([]candidate, len(endpoints)-len(s.candidateBuffer))...)
	}
	var preferred, lastResort []*candidate
	for i, e := range endpoints {
		c := &s.candidateBuffer[i]
		c.reason = s.examine(c, e, req, now, steadyNow)
		switch c.reason {
		case NoReason:
			preferred = append(preferred, c)
		case InBackoff, NotHeard:
			lastResort = append(lastResort, c)
		}
	}
	if len(preferred) == 0 {
		preferred = lastResort
	}
	s.assumeUnheardWork(preferred, req, now)
	return preferred
}

// examine fills the candidate of an endpoint, unless the endpoint can't be chosen, and
// returns why it is left out or is only a last resort. An endpoint that needs a permit can't
// be chosen until a permit may be asked for again.
func (s *Scheduler) examine(c *candidate, e *directory.Endpoint, req *Request, now time.Time, steadyNow monotonic.Time) Reason {
	state := s.stateOf(e.Key)
	state.name = e.ID
	if reason := state.unusableReason(e, req, now); reason != NoReason {
		return reason
	}
	if s.permitRate(state, e, req.Service, now, steadyNow) != Unlimited && !state.permit.mayAsk(now) {
		return WaitsForPermit
	}
	s.trackLoad(state, e, now)
	s.fillCandidate(c, e.Key, req.Service.Engine, now)
	coldness := s.coldness(state, e, now, steadyNow)
	c.endpoint, c.cold = e, coldness == Cold
	c.spareTokens = s.spareMemoryTokens(c, req)
	c.correctRejected(req.Service.Engine, now)
	switch {
	case coldRate(req.Service, coldness) != Unlimited && !s.allowsColdArrival(c, req, now):
		return AtColdRate
	case now.Before(state.health.backoffUntil):
		return InBackoff
	case state.isSilent(e, now, steadyNow):
		return NotHeard
	}
	return NoReason
}

// unusableReason returns why the endpoint takes no requests like this one at all now.
func (state *endpointState) unusableReason(e *directory.Endpoint, req *Request, now time.Time) Reason {
	switch {
	case req.Excluded(e):
		return Excluded
	case state.health.draining:
		return Draining
	case now.Before(state.health.busyUntil):
		return Busy
	}
	return NoReason
}

// allowsColdArrival reports whether an endpoint that is or may be cold can take a further
// arrival. Cold ones of a data centre known from load reports are left to the entries
// there, which see every arrival.
func (s *Scheduler) allowsColdArrival(c *candidate, req *Request, now time.Time) bool {
	if c.cold && c.isReported() {
		return false
	}
	return float64(c.state.recentArrivals(now)+1) <= req.Service.ColdRequestsPerSecond
}
