package routing

import (
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// Router chooses the endpoint of each attempt.
type Router struct {
	table     *Table
	policy    Policy
	filters   []Filter
	dropped   []atomic.Int64 // endpoints dropped, by filter
	threshold LengthThreshold
	scratch   chan []Candidate // candidate lists for reuse, so that decisions do not allocate
}

// Choice is the endpoint chosen for an attempt.
type Choice struct {
	Endpoint            *Endpoint
	PredictedFirstToken time.Duration // time to the first token
	LongPrompt          bool
}

// maxScratchLists limits the candidate lists kept for reuse.
const maxScratchLists = 64

// outOfServiceRetryAfter is the retry time if no endpoint serves the request.
const outOfServiceRetryAfter = time.Second

// NewRouter returns a router over the endpoints of the table.
func NewRouter(table *Table, policy Policy) *Router {
	filters := Filters()
	return &Router{
		table:   table,
		policy:  policy,
		filters: filters,
		dropped: make([]atomic.Int64, len(filters)),
		scratch: make(chan []Candidate, maxScratchLists),
	}
}

// Dropped calls each with the name of every filter and the number of endpoints
// that it has dropped.
func (r *Router) Dropped(each func(filter string, count int64)) {
	for i, f := range r.filters {
		each(f.Name(), r.dropped[i].Load())
	}
}

// ObservePrompt counts the length of a prompt. It is called once per request.
func (r *Router) ObservePrompt(tokens uint64) { r.threshold.Observe(tokens) }

// Choose selects an endpoint. The error is OutOfService if no endpoint serves
// the request, Overloaded if all that do are full, and DeadlineUnmeetable if
// none is expected to return the first token in time.
func (r *Router) Choose(request *Request) (Choice, error) {
	request.longThreshold = r.threshold.Tokens()
	candidates, full := r.filter(request, r.getScratch())
	defer r.putScratch(candidates)
	if len(candidates) == 0 {
		return Choice{}, r.noCandidateError(request, full)
	}
	for i := range candidates {
		candidates[i].Cost = r.cost(request, candidates[i].Endpoint)
	}
	chosen := r.policy.Picker.Pick(candidates)
	predicted := predictFirstToken(request, chosen.Endpoint)
	if request.FirstTokenTimeout > 0 && predicted > request.FirstTokenTimeout {
		chosen, predicted = earliestFirstToken(request, candidates)
	}
	if request.FirstTokenTimeout > 0 && predicted > request.FirstTokenTimeout {
		return Choice{}, unmeetableError(request, predicted)
	}
	return Choice{Endpoint: chosen.Endpoint, PredictedFirstToken: predicted, LongPrompt: request.PromptTokens > request.longThreshold}, nil
}

func (r *Router) getScratch() []Candidate {
	select {
	case scratch := <-r.scratch:
		return scratch[:0]
	default:
		return nil
	}
}

func (r *Router) putScratch(scratch []Candidate) {
	clear(scratch) // do not keep removed endpoints in memory
	select {
	case r.scratch <- scratch:
	default:
	}
}

// filter returns the endpoints that pass all filters. full is the least loaded
// of those dropped because of their admit limit.
func (r *Router) filter(request *Request, candidates []Candidate) (kept []Candidate, full *Endpoint) {
	for _, e := range r.table.Snapshot().Endpoints {
		at := r.droppedBy(request, e)
		if at < 0 {
			candidates = append(candidates, Candidate{Endpoint: e})
			continue
		}
		r.dropped[at].Add(1)
		if _, limit := r.filters[at].(AdmitLimitFilter); limit {
			full = lessLoaded(full, e)
		}
	}
	return candidates, full
}

// droppedBy returns the index of the first filter that drops the endpoint, or
// -1.
func (r *Router) droppedBy(request *Request, e *Endpoint) int {
	for i, f := range r.filters {
		if !f.Keep(request, e) {
			return i
		}
	}
	return -1
}

func (r *Router) cost(request *Request, e *Endpoint) float64 {
	sum := 0.0
	for _, s := range r.policy.Scorers {
		sum += s.Cost(request, e)
	}
	return sum
}

func (r *Router) noCandidateError(request *Request, full *Endpoint) error {
	if full != nil {
		return fault.New(fault.Overloaded, "every endpoint for this request is full").WithRetryAfter(predictFirstToken(request, full))
	}
	return fault.New(fault.OutOfService, "no endpoint serves this request now").WithRetryAfter(outOfServiceRetryAfter)
}

func lessLoaded(a, b *Endpoint) *Endpoint {
	if a == nil || b.outstanding() < a.outstanding() {
		return b
	}
	return a
}

// earliestFirstToken returns the candidate with the shortest predicted time to
// the first token.
func earliestFirstToken(request *Request, candidates []Candidate) (Candidate, time.Duration) {
	best, least := candidates[0], predictFirstToken(request, candidates[0].Endpoint)
	for _, c := range candidates[1:] {
		if p := predictFirstToken(request, c.Endpoint); p < least {
			best, least = c, p
		}
	}
	return best, least
}

func predictFirstToken(request *Request, e *Endpoint) time.Duration {
	seconds := FirstTokenScorer{}.Cost(request, e) + PrefixScorer{}.Cost(request, e)
	return time.Duration(max(0, seconds) * float64(time.Second))
}

// unmeetableError sets the retry time to when the shortest queue is expected to
// be short enough.
func unmeetableError(request *Request, predicted time.Duration) error {
	return fault.New(fault.DeadlineUnmeetable, "the first token is expected in %s, but its deadline is in %s",
		predicted.Round(time.Millisecond), request.FirstTokenTimeout.Round(time.Millisecond)).WithRetryAfter(predicted - request.FirstTokenTimeout)
}
