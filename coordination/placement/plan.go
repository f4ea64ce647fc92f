package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
)

// splits are the numbers of endpoints over which a prompt may be read.
var splits = []int{1, 2, 3, 4, 6, 8, 12, 16}

const (
	// mostWeighed is how many endpoints are weighed for each split of a long prompt.
	mostWeighed = 48
	// middleSplit is the split by which they are picked.
	middleSplit = 8
)

// option is one candidate's part in a plan.
type option struct {
	*candidate
	first float64 // ms to the first event
	loss  float64 // credit that other work loses
	cost  float64 // of the endpoint's place, in credit
	score float64
}

// before reports whether an option is better than another one: it has more
// score, or the same and fewer answers, or a lower rank at this entry.
func (o *option) before(other *option) bool {
	if o.score != other.score {
		return o.score > other.score
	}
	if o.answers != other.answers {
		return o.answers < other.answers
	}
	return o.account.rank < other.account.rank
}

// add adds to the score of an option by the cost of its place.
func (o *option) add(credit float64) {
	o.cost -= credit
	o.score += credit
}

// chooseEngine returns the plan that gives most credit, nil when none gives more
// than it takes, or when the caller would have left before the first event.
func (b *Scheduler) chooseEngine(candidates []*candidate, d *Request) *Plan {
	best := b.nearPlan(candidates, d)
	if best == nil {
		best = b.bestPlan(candidates, d)
	}
	if best == nil || best.Score < 0 || best.PredictedFirstMs > d.latestMs() {
		return nil
	}
	return best
}

// nearPlan returns the best plan for a short prompt at endpoints whose work is
// told piece by piece, nil when it gives up more than another data centre costs.
// Most short prompts are placed so, by a look at a part of the endpoints.
func (b *Scheduler) nearPlan(candidates []*candidate, d *Request) *Plan {
	if isLong(d) || len(b.reported) == 0 {
		return nil
	}
	near := make([]*candidate, 0, len(candidates))
	for _, c := range candidates {
		if !b.isReported(c) {
			near = append(near, c)
		}
	}
	p := b.bestPlan(near, d)
	if p == nil {
		return nil
	}
	givenUp := p.Loss + d.Credit*lateShare*(1-chance(p.PredictedFirstMs, d.ObjectiveLeft, firstMargin))
	if givenUp > d.Credit*reportedShare {
		return nil
	}
	return p
}

// isLong reports whether a prompt may be read by several endpoints.
func isLong(d *Request) bool {
	return d.Service.Engine != nil && enginemodel.PrefillMs(d.Service.Engine, d.PromptTokens, 1) >= leastSplitMs
}

// isOverdue reports whether the objective of the next event is over. Such a prompt
// loses nothing more by waiting a little.
func (d *Request) isOverdue() bool { return d.ObjectiveLeft <= 0 }

// shortlist leaves out the endpoints that lose most by reading a part of a long
// prompt: so many as are left make every plan that is worth weighing.
func (b *Scheduler) shortlist(candidates []*candidate, d *Request) []*candidate {
	if len(candidates) <= mostWeighed {
		return candidates
	}
	reading := readingOver(d, middleSplit)
	options := make([]option, 0, len(candidates))
	for _, c := range candidates {
		options = append(options, b.weigh(c, d, reading, true))
	}
	slices.SortFunc(options, func(x, y option) int { return cmp.Compare(y.score, x.score) })
	kept := make([]*candidate, 0, mostWeighed)
	for _, o := range options[:mostWeighed] {
		kept = append(kept, o.candidate)
	}
	return kept
}

// readingOver is what each of n endpoints reads of a prompt.
func readingOver(d *Request, n int) enginemodel.Prefill {
	return enginemodel.Prefill{
		Ms:     enginemodel.PrefillMs(d.Service.Engine, d.PromptTokens, n),
		Tokens: float64(d.PromptTokens) / float64(n),
	}
}

// latestMs is the latest prediction of a first event that is worth sending for.
func (d *Request) latestMs() float64 {
	return patienceShare * float64(d.CallerTimeout) / float64(time.Millisecond)
}

// bestPlan returns the plan that gives most credit less what it takes, nil when
// no number of endpoints has room for the answer.
func (b *Scheduler) bestPlan(candidates []*candidate, d *Request) *Plan {
	var best *Plan
	long := isLong(d)
	if long {
		candidates = b.shortlist(proven(candidates), d)
	}
	for _, n := range splits {
		reading := readingOver(d, n)
		if n > len(candidates) || n > 1 && !long {
			break
		}
		if p := b.planFor(candidates, d, n, reading); p != nil && (best == nil || p.Score > best.Score) {
			best = p
		}
	}
	return best
}

// proven leaves out endpoints that have not answered since they failed: a part
// on one that is dead holds up the whole prompt. When half of the endpoints or
// more have failed, the cause is rather on this side, and all stay.
func proven(candidates []*candidate) []*candidate {
	var kept []*candidate
	for _, c := range candidates {
		if !c.account.health.unproven {
			kept = append(kept, c)
		}
	}
	if 2*len(kept) <= len(candidates) {
		return candidates
	}
	return kept
}

// planFor returns the best plan over n endpoints: the best helpers, and of the
// endpoints with room for the answer the best one.
func (b *Scheduler) planFor(candidates []*candidate, d *Request, n int, reading enginemodel.Prefill) *Plan {
	main, second := b.bestMain(candidates, d, reading)
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
	p := &Plan{reading: reading, HeldTokens: held, ActiveAnswers: main.answers, BacklogMs: main.forecast.PrefillDoneMs}
	for _, o := range chosen {
		p.Endpoints = append(p.Endpoints, o.endpoint)
		p.PredictedFirstMs = max(p.PredictedFirstMs, o.first)
		p.Loss += o.loss
		p.Score -= o.loss + o.cost + d.Credit*helperShare
	}
	p.Score += d.Credit * (1 - lateShare + lateShare*chance(p.PredictedFirstMs, d.ObjectiveLeft, firstMargin))
	if second != nil {
		p.RunnerUp, p.RunnerUpScore = second.endpoint.ID, p.Score+second.score-main.score
	}
	return p
}

// bestMain returns the best endpoint to answer, and the next best.
func (b *Scheduler) bestMain(candidates []*candidate, d *Request, reading enginemodel.Prefill) (best, second *option) {
	long, sharing := isLong(d), b.packing()
	for _, c := range candidates {
		o := b.weigh(c, d, reading, false)
		if !c.canAnswer(d, o.first) || !long && o.first > d.latestMs() {
			continue
		}
		if !long {
			o.add(d.Credit * c.preference(d, o.first, sharing))
		}
		switch {
		case best == nil || o.before(best):
			best, second = &o, best
		case second == nil || o.before(second):
			second = &o
		}
	}
	return best, second
}

// bestHelpers returns the n-1 endpoints that lose least by reading a part.
func (b *Scheduler) bestHelpers(candidates []*candidate, main *candidate, d *Request, n int, reading enginemodel.Prefill) []option {
	options := make([]option, 0, len(candidates))
	for _, c := range candidates {
		if c != main {
			options = append(options, b.weigh(c, d, reading, true))
		}
	}
	slices.SortFunc(options, func(x, y option) int { return cmp.Compare(y.score, x.score) })
	return options[:n-1]
}

// spread divides the memory of a prompt that is larger than an endpoint's over
// the endpoints of a plan. It returns nil and true when there is no need to.
func spread(chosen []option, d *Request) (held []int, fits bool) {
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
