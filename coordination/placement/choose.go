package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/passes"
	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// lateShare of the credit is lost when an answer is late.
	lateShare = 0.75
	// firstMargin is the part of the objective of a first event over which the
	// chance to meet it falls from one to nothing; pauseMargin is that of pauses,
	// which are predicted better.
	firstMargin = 0.5
	pauseMargin = 0.35
	// packShare of the credit rewards an endpoint that already writes, which
	// leaves others free to read long prompts.
	packShare = 0.2
	// awayShare of the credit is the cost of another data centre.
	awayShare = 0.02
	// helperShare of the credit is the cost of each further endpoint.
	helperShare = 0.004
	// coldFactor is how much longer a cold endpoint is expected to take.
	coldFactor = 2
	// leastSplitMs is the least reading that is worth spreading.
	leastSplitMs = 100
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

// splits are the numbers of endpoints over which a prompt may be read.
var splits = []int{1, 2, 3, 4, 6, 8, 12, 16}

// Demand is a request that asks for endpoints.
type Demand struct {
	Service      *catalogue.Service
	DataCentre   string // of this entry
	PromptTokens int
	OutputTokens int
	FirstLeft    time.Duration // to the objective of the answer or its first event
	Patience     time.Duration // the caller leaves when the first event takes longer
	Pause        time.Duration // objective between events
	Limit        time.Duration // until it is over in any case
	Credit       float64       // weight of being on time
	Excluded     func(e *directory.Endpoint) bool
}

// Plan names the endpoints of a request: the first answers, the others read
// parts of its prompt.
type Plan struct {
	Endpoints        []*directory.Endpoint
	Held             []int // tokens to reserve at each endpoint, nil when the first one has room
	PredictedFirstMs float64
	Handle           *Handle
	Candidates       int
	Answers          int     // at the first endpoint, before this one
	BacklogMs        float64 // of reading there
	RunnerUp         string  // the best endpoint that was not taken
	Score            float64
	RunnerUpScore    float64

	reading passes.Reading // on each endpoint
}

// candidate is an endpoint with what is predicted for it.
type candidate struct {
	endpoint *directory.Endpoint
	account  *account
	resting  bool
	cold     bool
	answers  int            // answers that it writes or will write
	context  int            // tokens of these
	backlog  passes.Reading // given to it and not yet done
	memory   int            // tokens
}

// Choose picks endpoints for a demand and enters the work. It returns nil when
// no endpoint can take it now.
func (b *Book) Choose(endpoints []*directory.Endpoint, d *Demand) *Plan {
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
	if p == nil || p.Score < 0 && d.Service.Engine != nil || p.PredictedFirstMs > patienceShare*float64(d.Patience)/float64(time.Millisecond) {
		return nil
	}
	p.Candidates = len(candidates)
	p.Handle = b.open(p, d)
	return p
}

// Room describes how full the endpoints of a demand are, for the log.
type Room struct {
	Endpoints  int
	Candidates int // that may be asked now
	Answers    int // at the candidates
	Least      int // answers at the emptiest candidate
	// Wait is the least time after which a candidate is predicted to be done
	// with the reading it has, and to have a slot.
	Wait time.Duration
}

// Room looks at the endpoints as Choose does.
func (b *Book) Room(endpoints []*directory.Endpoint, d *Demand) Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Room{Endpoints: len(endpoints), Least: math.MaxInt, Wait: math.MaxInt64}
	for _, c := range b.candidates(endpoints, d) {
		r.Candidates++
		r.Answers += c.answers
		r.Least = min(r.Least, c.answers)
		wait := c.backlog.Ms
		if d.Service.Engine != nil {
			wait += c.slotWaitMs(d.Service.Engine)
		}
		r.Wait = min(r.Wait, fromMs(wait))
	}
	if r.Candidates == 0 {
		r.Least, r.Wait = 0, doubtFirst
	}
	return r
}

// candidates lists the endpoints that may be asked. Those that rest after a
// failure, or are silent, are asked only when no other is left.
func (b *Book) candidates(endpoints []*directory.Endpoint, d *Demand) []*candidate {
	now, steadyNow := b.now(), steady.Now()
	var good, doubtful []*candidate
	for _, e := range endpoints {
		if d.Excluded(e) {
			continue
		}
		c := b.candidate(e, now)
		c.cold = e.Cold(steadyNow)
		if c.cold && d.Service.ColdPerSecond > 0 && float64(c.account.arrivalsAt(now)+1) > d.Service.ColdPerSecond {
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

func (b *Book) candidate(e *directory.Endpoint, now time.Time) *candidate {
	c := b.load(e.Key, now)
	c.endpoint = e
	return c
}

// load adds up the work at an endpoint.
func (b *Book) load(key uint64, now time.Time) *candidate {
	a := b.account(key)
	c := &candidate{account: a}
	for _, w := range a.works {
		if !w.started {
			c.backlog = c.backlog.Add(w.reading)
		}
		c.memory += w.memoryAt(slices.Index(w.endpoints, key))
		if w.endpoints[0] == key {
			c.answers++
			c.context += w.prompt
		}
	}
	c.progress(now)
	return c
}

// progress takes off the backlog what is read by now, as predicted.
func (c *candidate) progress(now time.Time) {
	left := max(0, float64(c.account.readFree.Sub(now))/float64(time.Millisecond))
	if left >= c.backlog.Ms {
		return
	}
	c.backlog.Tokens *= left / c.backlog.Ms
	c.backlog.Ms = left
}

func choosePlain(candidates []*candidate, d *Demand) *Plan {
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
	p := &Plan{Endpoints: []*directory.Endpoint{best.endpoint}, Score: -score(best), Answers: best.answers}
	if second != nil {
		p.RunnerUp, p.RunnerUpScore = second.endpoint.ID, -score(second)
	}
	return p
}

// option is one candidate's part in a plan.
type option struct {
	*candidate
	first float64 // ms to the first event
	loss  float64 // credit that other work loses
	cost  float64 // of the endpoint's place, in credit
	score float64
}

func (b *Book) chooseEngine(candidates []*candidate, d *Demand) *Plan {
	var best *Plan
	engine := d.Service.Engine
	for _, n := range splits {
		reading := passes.Reading{
			Ms:     passes.ReadMs(engine, d.PromptTokens, n),
			Tokens: float64(d.PromptTokens) / float64(n),
		}
		if n > len(candidates) || n > 1 && reading.Ms*float64(n) < leastSplitMs {
			break
		}
		if p := b.planFor(candidates, d, n, reading); p != nil && (best == nil || p.Score > best.Score) {
			best = p
		}
	}
	return best
}

// planFor returns the best plan over n endpoints: the best helpers, and of the
// endpoints with room for the answer the best one.
func (b *Book) planFor(candidates []*candidate, d *Demand, n int, reading passes.Reading) *Plan {
	main, second := b.bestMain(candidates, d, n, reading)
	if main == nil {
		return nil
	}
	chosen := []option{*main}
	if n > 1 {
		chosen = append(chosen, b.bestHelpers(candidates, main.candidate, d, n, reading)...)
	}
	held, fits := spread(chosen, d)
	if !fits {
		return nil
	}
	p := &Plan{reading: reading, Held: held, Answers: main.answers, BacklogMs: main.backlog.Ms}
	for _, o := range chosen {
		p.Endpoints = append(p.Endpoints, o.endpoint)
		p.PredictedFirstMs = max(p.PredictedFirstMs, o.first)
		p.Score -= o.loss + o.cost + d.Credit*helperShare
	}
	p.Score += d.Credit * (1 - lateShare + lateShare*chance(p.PredictedFirstMs, d.FirstLeft, firstMargin))
	if second != nil {
		p.RunnerUp, p.RunnerUpScore = second.endpoint.ID, p.Score+second.score-main.score
	}
	return p
}

// bestMain returns the best endpoint to answer, and the next best.
func (b *Book) bestMain(candidates []*candidate, d *Demand, n int, reading passes.Reading) (best, second *option) {
	for _, c := range candidates {
		o := b.weigh(c, d, c.backlog, reading, false)
		if !c.canAnswer(d, o.first) {
			continue
		}
		if reading.Ms*float64(n) < leastSplitMs {
			o.cost -= d.Credit * packShare * float64(c.answers) / float64(max(1, d.Service.Engine.Slots))
			o.score -= o.cost
		}
		switch {
		case best == nil || o.score > best.score:
			best, second = &o, best
		case second == nil || o.score > second.score:
			second = &o
		}
	}
	return best, second
}

// bestHelpers returns the n-1 endpoints that lose least by reading a part.
func (b *Book) bestHelpers(candidates []*candidate, main *candidate, d *Demand, n int, reading passes.Reading) []option {
	options := make([]option, 0, len(candidates))
	for _, c := range candidates {
		if c != main {
			options = append(options, b.weigh(c, d, passes.Reading{}, reading, true))
		}
	}
	slices.SortFunc(options, func(x, y option) int { return cmp.Compare(y.score, x.score) })
	return options[:n-1]
}

// canAnswer reports whether the candidate has room and memory for an answer
// that is predicted to begin after firstMs. One that is in time may queue for a
// slot; late ones don't get the last slots.
func (c *candidate) canAnswer(d *Demand, firstMs float64) bool {
	engine := d.Service.Engine
	slots := c.slots(engine)
	room := slots + slots/queueShare
	if firstMs > float64(d.FirstLeft)/float64(time.Millisecond) {
		room = slots - slots/timelyShare
	}
	needed := d.PromptTokens + d.OutputTokens
	if needed > engine.MemoryTokens {
		needed = engine.MemoryTokens / leastOwnShare // the rest is reserved elsewhere
	}
	return c.answers < room && c.memory+needed <= engine.MemoryTokens
}

// spread divides the memory of a prompt that is larger than an endpoint's over
// the endpoints of a plan. It returns nil and true when there is no need to.
func spread(chosen []option, d *Demand) (held []int, fits bool) {
	needed := d.PromptTokens + d.OutputTokens
	most := d.Service.Engine.MemoryTokens
	if needed <= most {
		return nil, true
	}
	free := func(o option) int { return int(float64(most-o.memory) * reserveShare) }
	held = make([]int, len(chosen))
	missing := needed - free(chosen[0])
	for i := 1; i < len(chosen) && missing > 0; i++ {
		held[i] = max(0, min(missing, free(chosen[i])))
		missing -= held[i]
	}
	return held, missing <= 0
}

func (c *candidate) slots(engine *catalogue.Engine) int {
	return max(1, min(engine.Slots, c.endpoint.Slots))
}

// slotWaitMs predicts how long a further answer waits for a slot.
func (c *candidate) slotWaitMs(engine *catalogue.Engine) float64 {
	slots := c.slots(engine)
	ahead := c.answers - slots + 1
	if ahead <= 0 {
		return 0
	}
	events := engine.UsualAnswer / float64(max(1, engine.StepsPerPass))
	answerMs := events * passes.PassMs(engine, slots, c.context, passes.Reading{})
	return float64(ahead) * answerMs / float64(slots)
}

// weigh predicts what one endpoint's part in a demand gives and takes.
func (b *Book) weigh(c *candidate, d *Demand, ahead, reading passes.Reading, helps bool) option {
	engine := d.Service.Engine
	o := option{candidate: c}
	o.first = passes.FirstMs(engine, c.answers, c.context, ahead, reading)
	if c.cold {
		o.first *= coldFactor
	}
	if !helps {
		o.first = (o.first + c.slotWaitMs(engine)) * b.bias
	}
	o.loss = b.lossOf(c, engine, reading, helps)
	if c.endpoint.DataCentre != d.DataCentre {
		o.cost += d.Credit * awayShare
	}
	o.score = d.Credit*lateShare*chance(o.first, d.FirstLeft, firstMargin) - o.loss - o.cost
	return o
}

// lossOf is the credit that the work at an endpoint loses to further reading.
// A helper's part goes ahead of all reading there.
func (b *Book) lossOf(c *candidate, engine *catalogue.Engine, reading passes.Reading, helps bool) float64 {
	before := passes.PassMs(engine, c.answers, c.context, c.backlog)
	after := passes.PassMs(engine, c.answers, c.context, c.backlog.Add(reading))
	now := b.now()
	loss := 0.0
	for _, w := range c.account.works {
		if w.late {
			continue
		}
		kept := 0.0
		if w.endpoints[0] == c.endpoint.Key {
			kept = chance(before, w.pause, pauseMargin) - chance(after, w.pause, pauseMargin)
		}
		if !w.started && helps {
			first := float64(w.firstAt.Sub(now)) / float64(time.Millisecond)
			left := w.firstDue.Sub(now)
			kept = max(kept, chance(first, left, firstMargin)-chance(first+reading.Ms, left, firstMargin))
		}
		loss += w.credit * lateShare * max(0, kept)
	}
	return loss
}

// chance estimates how likely a predicted time in ms meets an objective. It is
// 0 where there is none or its time is over.
func chance(predictedMs float64, objective time.Duration, margin float64) float64 {
	limit := float64(objective) / float64(time.Millisecond)
	if objective <= 0 {
		return 0
	}
	return min(1, max(0, (limit-predictedMs)/(limit*margin)))
}
