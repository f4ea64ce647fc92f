package routing

import (
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// Router decides which endpoint gets an attempt.
type Router struct {
	table    *Table
	policy   Policy
	filters  []Filter
	dropped  []atomic.Int64 // by filter
	boundary LengthThreshold
	scratch  chan []Candidate // free lists of candidates
}

// Choice is the outcome of a decision.
type Choice struct {
	Endpoint            *Endpoint
	PredictedFirstToken time.Duration // to the first token
	LongPrompt          bool
}

// maxScratch bounds the lists kept between decisions.
const maxScratch = 64

// outOfServiceRetry is told when no endpoint can serve at all.
const outOfServiceRetry = time.Second

// NewRouter returns a router over the table.
func NewRouter(table *Table, policy Policy) *Router {
	filters := Filters()
	return &Router{
		table:   table,
		policy:  policy,
		filters: filters,
		dropped: make([]atomic.Int64, len(filters)),
		scratch: make(chan []Candidate, maxScratch),
	}
}

// Dropped returns how many candidates each filter has dropped.
func (r *Router) Dropped(each func(filter string, count int64)) {
	for i, f := range r.filters {
		each(f.Name(), r.dropped[i].Load())
	}
}

// ObservePrompt counts a prompt's length once per request.
func (r *Router) ObservePrompt(tokens uint64) { r.boundary.Observe(tokens) }

// Choose picks an endpoint. The error is OutOfService when none serves the
// request, Overloaded when all that do are full, and DeadlineUnmeetable when
// none is expected to give the first token in time.
func (r *Router) Choose(request *Request) (Choice, error) {
	request.boundary = r.boundary.Tokens()
	candidates, full := r.filter(request, r.takeScratch())
	defer r.giveScratch(candidates)
	if len(candidates) == 0 {
		return Choice{}, r.none(request, full)
	}
	for i := range candidates {
		candidates[i].Cost = r.cost(request, candidates[i].Endpoint)
	}
	chosen := r.policy.Picker.Pick(candidates)
	predicted := predict(request, chosen.Endpoint)
	if request.FirstTokenTimeout > 0 && predicted > request.FirstTokenTimeout {
		chosen, predicted = soonest(request, candidates)
	}
	if request.FirstTokenTimeout > 0 && predicted > request.FirstTokenTimeout {
		return Choice{}, unmeetable(request, predicted)
	}
	return Choice{Endpoint: chosen.Endpoint, PredictedFirstToken: predicted, LongPrompt: request.PromptTokens > request.boundary}, nil
}

func (r *Router) takeScratch() []Candidate {
	select {
	case scratch := <-r.scratch:
		return scratch[:0]
	default:
		return nil
	}
}

func (r *Router) giveScratch(scratch []Candidate) {
	clear(scratch) // endpoints that are gone must not be kept alive
	select {
	case r.scratch <- scratch:
	default:
	}
}

func (r *Router) filter(request *Request, candidates []Candidate) (kept []Candidate, full *Endpoint) {
	for _, e := range r.table.Snapshot().Endpoints {
		at := r.firstDrop(request, e)
		if at < 0 {
			candidates = append(candidates, Candidate{Endpoint: e})
			continue
		}
		r.dropped[at].Add(1)
		if _, limit := r.filters[at].(AdmitLimitFilter); limit {
			full = sooner(full, e)
		}
	}
	return candidates, full
}

func (r *Router) firstDrop(request *Request, e *Endpoint) int {
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

func (r *Router) none(request *Request, full *Endpoint) error {
	if full != nil {
		return fault.New(fault.Overloaded, "every endpoint for this request is full").After(predict(request, full))
	}
	return fault.New(fault.OutOfService, "no endpoint serves this request now").After(outOfServiceRetry)
}

func sooner(a, b *Endpoint) *Endpoint {
	if a == nil || b.outstanding() < a.outstanding() {
		return b
	}
	return a
}

func soonest(request *Request, candidates []Candidate) (Candidate, time.Duration) {
	best, least := candidates[0], predict(request, candidates[0].Endpoint)
	for _, c := range candidates[1:] {
		if p := predict(request, c.Endpoint); p < least {
			best, least = c, p
		}
	}
	return best, least
}

func predict(request *Request, e *Endpoint) time.Duration {
	seconds := FirstTokenScorer{}.Cost(request, e) + PrefixScorer{}.Cost(request, e)
	return time.Duration(max(0, seconds) * float64(time.Second))
}

// unmeetable tells when the shortest queue will have shrunk enough.
func unmeetable(request *Request, predicted time.Duration) error {
	return fault.New(fault.DeadlineUnmeetable, "the first token is expected in %s, its deadline is %s",
		predicted.Round(time.Millisecond), request.FirstTokenTimeout.Round(time.Millisecond)).After(predicted - request.FirstTokenTimeout)
}
