package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
)

// splitCounts are the numbers of endpoints over which a prompt may be split.
var splitCounts = []int{1, 2, 3, 4, 6, 8, 12, 16}

const (
	// maxShortlist is the number of endpoints that are evaluated for each split count
	// of a long prompt. With more, a choice takes longer; with fewer, it may miss the
	// endpoints of the best plan.
	maxShortlist = 48
	// shortlistSplit is the split count for which the endpoints are ranked. The ranking
	// is made once and serves all split counts, as one for each would evaluate all
	// endpoints every time.
	shortlistSplit = 8
)

// option is the evaluated role of one candidate in a plan.
type option struct {
	*candidate
	firstMs float64 // until its part is done, or the first event at the main endpoint
	loss    float64 // credit that other work loses
	cost    float64 // in credit: the cost of the data centre less the preference
	score   float64 // in credit: earned by being on time, less loss and cost
}

// isBetterThan reports whether the option is preferred to other: by score, then by
// fewer answers, then by this entry's tie-break rank.
func (o *option) isBetterThan(other *option) bool {
	if o.score != other.score {
		return o.score > other.score
	}
	if o.answers != other.answers {
		return o.answers < other.answers
	}
	return o.state.tieBreakRank < other.state.tieBreakRank
}

// addPreference adds a preference, which may be negative, to the score and subtracts
// it from the cost.
func (o *option) addPreference(credit float64) {
	o.cost -= credit
	o.score += credit
}

// chooseForEngine returns the plan with the highest score. It returns nil when bestPlan
// finds none, when the best one costs more credit than it earns, or when its first event
// is predicted too late for the caller.
func (s *Scheduler) chooseForEngine(candidates []*candidate, req *Request) *Plan {
	best := s.planAmongTracked(candidates, req)
	if best == nil {
		best = s.bestPlan(candidates, req)
	}
	if best == nil || best.rejectionReason(req) != NoReason {
		return nil
	}
	return best
}

// rejectionReason returns why the best plan isn't taken.
func (p *Plan) rejectionReason(req *Request) Reason {
	switch {
	case p.Score < 0:
		return TooCostly
	case p.PredictedFirstMs > req.maxFirstMs():
		return TooLate
	}
	return NoReason
}

// planAmongTracked returns the best plan for a short prompt among the endpoints whose
// work items are all known. Most short prompts are placed this way, which evaluates
// only a part of the endpoints. It returns nil when all endpoints have to be evaluated:
// for a long prompt, when no data centre sends load reports, when bestPlan finds
// none, and when the plan's expected loss exceeds the cost of an endpoint known from load
// reports. That loss includes the credit that the request itself is likely to lose by
// being late, which Plan.Loss doesn't.
func (s *Scheduler) planAmongTracked(candidates []*candidate, req *Request) *Plan {
	if isLong(req) || len(s.reportedKeys) == 0 {
		return nil
	}
	tracked := make([]*candidate, 0, len(candidates))
	for _, c := range candidates {
		if !c.isReported() {
			tracked = append(tracked, c)
		}
	}
	p := s.bestPlan(tracked, req)
	if p == nil {
		return nil
	}
	lostCredit := p.Loss + req.Credit*lateLossShare*(1-onTimeChance(p.PredictedFirstMs, req.ObjectiveLeft, firstEventMargin))
	if lostCredit > req.Credit*reportedDataCentreCostShare {
		return nil
	}
	return p
}

// isLong reports whether a prompt is long enough to be split over several endpoints. It
// is always false for a plain service.
func isLong(req *Request) bool {
	return req.Service.Engine != nil && enginemodel.PrefillMs(req.Service.Engine, req.PromptTokens, 1) >= minSplitPrefillMs
}

// isOverdue reports whether the objective of the next event has passed. Such a
// request loses nothing more by waiting a little.
func (req *Request) isOverdue() bool { return req.ObjectiveLeft <= 0 }

// shortlist returns the maxShortlist endpoints with the highest scores for prefilling a
// part of a long prompt, as helpers. The best plans are expected among them.
func (s *Scheduler) shortlist(candidates []*candidate, req *Request) []*candidate {
	if len(candidates) <= maxShortlist {
		return candidates
	}
	prefill := prefillOver(req, shortlistSplit)
	options := make([]option, 0, len(candidates))
	for _, c := range candidates {
		options = append(options, s.evaluate(c, req, prefill, true))
	}
	slices.SortFunc(options, func(x, y option) int { return cmp.Compare(y.score, x.score) })
	kept := make([]*candidate, 0, maxShortlist)
	for _, o := range options[:maxShortlist] {
		kept = append(kept, o.candidate)
	}
	return kept
}

// prefillOver returns the prefill of each of n endpoints among which a prompt is
// split.
func prefillOver(req *Request, n int) enginemodel.Prefill {
	return enginemodel.Prefill{
		Ms:     enginemodel.PrefillMs(req.Service.Engine, req.PromptTokens, n),
		Tokens: float64(req.PromptTokens) / float64(n),
	}
}

// maxFirstMs returns the latest predicted first event, in ms from now, for which a
// request is still sent.
func (req *Request) maxFirstMs() float64 {
	return callerTimeoutShare * float64(req.CallerTimeout) / float64(time.Millisecond)
}

// bestPlan returns the plan with the highest score over all split counts; a short
// prompt isn't split. It returns nil when there is no plan with room for the answer or,
// for a short prompt, none with its first event within maxFirstMs.
func (s *Scheduler) bestPlan(candidates []*candidate, req *Request) *Plan {
	var best *Plan
	long := isLong(req)
	if long {
		candidates = s.shortlist(withoutSuspects(candidates), req)
	}
	for _, n := range splitCounts {
		prefill := prefillOver(req, n)
		if n > len(candidates) || n > 1 && !long {
			break
		}
		if p := s.planFor(candidates, req, n, prefill); p != nil && (best == nil || p.Score > best.Score) {
			best = p
		}
	}
	return best
}

// withoutSuspects leaves out suspect endpoints, as a part sent to a dead one delays
// the whole prompt. When half of the endpoints or more are suspect, the cause is more
// likely at this entry, and all are kept.
func withoutSuspects(candidates []*candidate) []*candidate {
	var kept []*candidate
	for _, c := range candidates {
		if !c.state.health.suspect {
			kept = append(kept, c)
		}
	}
	if 2*len(kept) <= len(candidates) {
		return candidates
	}
	return kept
}

// planFor returns the best plan over n endpoints: the best main endpoint among those
// with room for the answer, and the best helpers. It returns nil when there is no such
// main endpoint, when there are too few helpers, or when the memory of these endpoints is
// not enough.
func (s *Scheduler) planFor(candidates []*candidate, req *Request, n int, prefill enginemodel.Prefill) *Plan {
	main, second := s.bestMain(candidates, req, prefill)
	if main == nil {
		return nil
	}
	chosen := []option{*main}
	if n > 1 {
		helpers := s.bestHelpers(candidates, main.candidate, req, n, prefill)
		if len(helpers) < n-1 {
			return nil
		}
		chosen = append(chosen, helpers...)
	}
	heldTokens, fits := splitMemory(chosen, req)
	if !fits {
		return nil
	}
	p := &Plan{prefill: prefill, HeldTokens: heldTokens, ActiveAnswers: main.answers, BacklogMs: main.forecast.PrefillDoneMs}
	for _, o := range chosen {
		p.Endpoints = append(p.Endpoints, o.endpoint)
		p.PredictedFirstMs = max(p.PredictedFirstMs, o.firstMs)
		p.Loss += o.loss
		p.Score -= o.loss + o.cost + req.Credit*endpointCostShare
	}
	p.Score += req.Credit * (1 - lateLossShare + lateLossShare*onTimeChance(p.PredictedFirstMs, req.ObjectiveLeft, firstEventMargin))
	if second != nil {
		p.RunnerUp, p.RunnerUpScore = second.endpoint.ID, p.Score+second.score-main.score
	}
	return p
}

// bestMain returns the best and the second best main endpoint, nil where there is none.
func (s *Scheduler) bestMain(candidates []*candidate, req *Request, prefill enginemodel.Prefill) (best, second *option) {
	long, packingRule := isLong(req), s.packing(candidates, req)
	s.estimates.reportedMains = s.estimates.reportedMains[:0]
	for _, c := range candidates {
		o := s.evaluate(c, req, prefill, false)
		if c.unfitReason(req, o.firstMs) != NoReason {
			continue
		}
		if !long {
			o.addPreference(req.Credit * c.preference(req, o.firstMs, packingRule))
		}
		switch {
		case best == nil || o.isBetterThan(best):
			best, second = &o, best
		case second == nil || o.isBetterThan(second):
			second = &o
		}
		if !long && c.isReported() && o.score >= best.score-req.Credit*equalScoreShare {
			s.estimates.reportedMains = append(s.estimates.reportedMains, o)
		}
	}
	if long {
		return best, second
	}
	return s.pickMain(best, second, req)
}

// bestHelpers returns the n-1 endpoints other than main with the highest scores for
// prefilling a part, fewer if there are not so many.
func (s *Scheduler) bestHelpers(candidates []*candidate, main *candidate, req *Request, n int, prefill enginemodel.Prefill) []option {
	options := make([]option, 0, len(candidates))
	for _, c := range candidates {
		if c != main && c.mayHelp() {
			options = append(options, s.evaluate(c, req, prefill, true))
		}
	}
	slices.SortFunc(options, func(x, y option) int { return cmp.Compare(y.score, x.score) })
	return options[:min(n-1, len(options))]
}

// splitMemory divides the memory of a prompt that is larger than one endpoint's memory
// over the endpoints of a plan. heldTokens is nil when there is no need to; fits is
// false when the memory is not enough.
func splitMemory(chosen []option, req *Request) (heldTokens []int, fits bool) {
	needed := req.PromptTokens + req.OutputTokens
	memoryTokens := req.Service.Engine.MemoryTokens
	if needed <= memoryTokens {
		return nil, true
	}
	free := func(o option) int { return int(float64(memoryTokens-o.usedMemoryTokens) * reservableMemoryShare) }
	heldTokens = make([]int, len(chosen))
	missing := needed - free(chosen[0])
	for i := 1; i < len(chosen) && missing > 0; i++ {
		heldTokens[i] = max(0, min(missing, free(chosen[i])))
		missing -= heldTokens[i]
	}
	return heldTokens, missing <= 0
}
