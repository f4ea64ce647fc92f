package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// lateShare of the credit is lost when an answer is late.
	lateShare = 0.75
	// firstMargin is the part of the objective of a first event over which the
	// chance to meet it falls from one to nothing; pauseMargin is that of pauses,
	// which are predicted better.
	firstMargin = 0.6
	pauseMargin = 0.35
	// awayShare of the credit is the cost of another data centre.
	awayShare = 0.02
	// reportedShare is the cost of a short answer in a data centre whose work is
	// known from reports only, which are late: entries that hear the same report
	// choose the same endpoints. reportedLongShare is that of a long one, as long
	// readings are told everywhere.
	reportedShare     = 0.5
	reportedLongShare = 0.1
	// helperShare of the credit is the cost of each further endpoint.
	helperShare = 0.004
	// coldFactor is how much longer a cold endpoint is expected to take.
	coldFactor = 2
	// leastSplitMs is the least reading that is worth spreading.
	leastSplitMs = 100
	// delayShare of the credit is the cost of a short answer that is late in any case
	// and begins as late as its caller bears.
	delayShare = 0.2
	// patienceShare is the part of a caller's patience within which a first event
	// must be predicted, as predictions fall short when much arrives.
	patienceShare = 0.6
	// timelyShare is the part of the slots, as its divisor, that only requests
	// get which may still be in time.
	timelyShare = 4
	// leastOwnShare is the part of an endpoint's memory, as its divisor, that must
	// be free where a prompt larger than the memory is answered.
	leastOwnShare = 2
	// reserveShare is the part of the free memory that may be reserved, as other
	// answers grow meanwhile.
	reserveShare = 0.85
	// queueShare is how many answers may queue for a slot, as the divisor of the
	// slots.
	queueShare = 2
	// silentAfter is how long an endpoint may be silent before others go first.
	silentAfter = 4 * time.Second
	// plainQueue is how many plain requests an endpoint is given, as a multiple
	// of its slots.
	plainQueue = 3
)

// packing is how short answers share endpoints.
type packing struct {
	// share of the credit rewards an endpoint that already writes, which leaves
	// others free to read long prompts.
	share float64
	// spare is the part of the slots, as its divisor, that is left free for choices
	// that cross while others have room; leastSpare are in any case.
	spare int
}

const leastSpare = 2 // slots

var (
	// fewEntries is for small fleets, whose few endpoints are needed for long prompts.
	fewEntries = packing{share: 0.8, spare: 8}
	// manyEntries is for fleets whose work elsewhere is reported in sums: the more
	// entries choose at once, the more of a burst a reward puts into the same passes.
	manyEntries = packing{share: 0.15, spare: 4}
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

	reading enginemodel.Prefill // on each endpoint
}

// Choose picks endpoints for a demand and enters the work. It returns nil when
// no endpoint can take it now.
func (b *Scheduler) Choose(endpoints []*directory.Endpoint, d *Request) *Plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(endpoints, d)
	if len(candidates) == 0 {
		return nil
	}
	var p *Plan
	if d.Service.Engine == nil {
		p = choosePlain(candidates, d)
	} else {
		p = b.chooseEngine(candidates, d)
	}
	if p == nil {
		return nil
	}
	p.Candidates = len(candidates)
	p.Handle = b.open(p, d)
	return p
}

// candidates lists the endpoints that may be asked. Those that rest after a
// failure, or are silent, are asked only when no other is left.
func (b *Scheduler) candidates(endpoints []*directory.Endpoint, d *Request) []*candidate {
	now, steadyNow := b.now(), steady.Now()
	if len(b.loads) < len(endpoints) {
		b.loads = append(b.loads, make([]candidate, len(endpoints)-len(b.loads))...)
	}
	var good, doubtful []*candidate
	for i, e := range endpoints {
		if d.Excluded(e) {
			continue
		}
		c := &b.loads[i]
		b.fill(c, e.Key, d.Service.Engine, now)
		c.endpoint, c.account.name = e, e.ID
		if c.account.health.leaving || now.Before(c.account.health.busyUntil) {
			continue
		}
		c.cold = e.Cold(steadyNow)
		if c.cold && d.Service.ColdPerSecond > 0 && !b.mayArrive(c, d, now) {
			continue
		}
		silent := steadyNow.Sub(e.HeardAt) > silentAfter && now.Sub(c.account.health.successAt) > silentAfter
		if now.Before(c.account.health.restUntil) || silent {
			doubtful = append(doubtful, c)
		} else {
			good = append(good, c)
		}
	}
	if len(good) > 0 {
		return good
	}
	return doubtful
}

// mayArrive reports whether a cold endpoint bears a further arrival. Those of a
// data centre that reports its work in sums are left to the entries there, which
// see every arrival.
func (b *Scheduler) mayArrive(c *candidate, d *Request, now time.Time) bool {
	if b.isReported(c) {
		return false
	}
	return float64(c.account.arrivalsAt(now)+1) <= d.Service.ColdPerSecond
}

func choosePlain(candidates []*candidate, d *Request) *Plan {
	var best, second *candidate
	score := func(c *candidate) float64 {
		s := float64(c.answers) / float64(max(1, c.endpoint.Slots))
		if c.endpoint.DataCentre != d.DataCentre {
			s += awayShare
		}
		return s
	}
	for _, c := range candidates {
		if c.answers >= plainQueue*max(1, c.endpoint.Slots) {
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
