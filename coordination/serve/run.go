package serve

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admissionqueue"
	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// capacityPollInterval is how often a waiting request tries placement again
	// when no work ends in the meantime.
	capacityPollInterval = admissionqueue.PollInterval
	// conflictWindow is how long a request waits for conflicting plans of other
	// entries before it is sent. The event of a plan that takes longer to arrive is
	// missed; a longer window delays the request. It is the time that the admission queue
	// gives such events too.
	conflictWindow = admissionqueue.StaggerStep
	// maxAttempts is the number of attempts from which a request is not sent again
	// after a failure in which the endpoint did not run it. All attempts count, also
	// those that failed at the memory reservation and those that an endpoint may
	// have run. It is the only bound on retries that take nothing from the retry
	// budget, beside the deadline and the number of endpoints.
	maxAttempts = 6
	// staleRetryAfter is the Retry-After sent while the state is not current. (The
	// HTTP server writes Retry-After in seconds with three decimals.) With a smaller
	// one callers retry more often for nothing; with a larger one they wait for
	// longer after the state has become current.
	staleRetryAfter = 500 * time.Millisecond
	// A request waits for the state to become current for at most maxStateWait,
	// and for at most its time limit divided by stateWaitDivisor.
	maxStateWait     = 1500 * time.Millisecond
	stateWaitDivisor = 5
	// minRetryAfter is the smallest Retry-After when no endpoint has capacity, and the
	// one sent when no endpoint accepted the request. Its trade-off is that of
	// staleRetryAfter.
	minRetryAfter = 200 * time.Millisecond
	// capacityWaitDivisor divides the objective: for that part of it a request
	// waits for an endpoint with capacity.
	capacityWaitDivisor = 8
	// startupIntervals is how many announcement intervals after its start a
	// process is sure to have heard from every endpoint.
	startupIntervals = 1.25
	// callerTimeoutShare is the share of the caller timeout for which a request
	// waits at most while the entry learns of the endpoints.
	callerTimeoutShare = 0.5
	// retryAfterDivisor divides a request's time left: when no endpoint has capacity, the
	// Retry-After is at most that part of it, but at least minRetryAfter. With 3, two
	// thirds of the time remain for the retry.
	retryAfterDivisor = 3
	// stopSafetyFactor is the ratio of the time left until this entry stops to the
	// expected time of a stream below which the request is refused. It exceeds 1
	// because the passes of an engine become longer with the prefill of others.
	stopSafetyFactor = 1.25
	// stopRetryAfter is the Retry-After of a request that is refused because this
	// entry stops soon. It is short because the other entries can serve the request
	// at once.
	stopRetryAfter = 20 * time.Millisecond
	// maxPermitDenials is the number of endpoints without a permit after which a request
	// that has waited for its time is refused, as each took a call to another entry.
	maxPermitDenials = 12
	// minAttemptTime is how long before its deadline an answer that has begun stops
	// waiting for another endpoint, as a shorter attempt would hardly deliver
	// anything. Answers that have not begun are not checked against it.
	minAttemptTime = 10 * time.Millisecond
)

// run is the state of one request while it is served.
type run struct {
	server       *Server
	request      *Request
	writer       ResponseWriter // used by out once that has started, until that has ended
	out          *callerQueue
	route        *catalogue.Route
	service      *catalogue.Service
	organisation string
	// setPriorities sets all of these from fullPriority, which orders the queue. priority is
	// the organisation's or else the route's, for the credit; enginePriority is what engines
	// are told: the place of fullPriority among those of the service if ranked, else priority.
	// ranked tells whether the routes of the service differ in priority, and routeRank is the
	// place of the route's among them. 0 is the most urgent in all.
	fullPriority   catalogue.Priority
	priority       int
	enginePriority int
	ranked         bool
	routeRank      int

	deadline         time.Time // of the whole answer
	admittedAt       time.Time
	catalogueVersion uint64            // at admission
	priorityVersion  uint64            // of the catalogue that the priorities are from
	tried            map[uint64]bool   // keys of the endpoints that were asked
	attempts         int               // attempts so far
	mayHaveRun       int               // attempts that an endpoint may have run
	headerWritten    atomic.Bool       // read by the stop of this entry too
	lastEventID      string            // of the last event that was queued for the caller
	eventsSent       int               // queued for the caller
	attemptEvents    int               // events of the latest attempt
	goesOn           bool              // the answer of the latest attempt has gone on
	sentAt           monotonic.Time    // of the latest attempt
	parts            []uint64          // keys of the prompt's parts that other requests may share
	requestKey       uint64            // the same for all repeats of the request
	lease            *quarantine.Lease // for the next attempt, while one of the parts is suspect
	lastEventAt      time.Time         // when the last event arrived, or its endpoint was read again after that
	permitDenials    int
	hadConflict      bool            // a plan was dropped because it conflicted with another entry's
	nextPlan         *placement.Plan // chosen before a stalled attempt was cancelled
	releasing        *reservations   // of the latest attempt that needed some
	firstByteAt      time.Time
	late             bool // an objective was missed
	status           int
}

// admit finds the route, the organisation and the service of the request and
// refuses it when it can't be served.
func (r *run) admit(ctx context.Context) error {
	if err := r.awaitCurrentState(ctx); err != nil {
		return err
	}
	state := r.server.stateCache.State()
	c := state.Catalogue
	if c == nil {
		return fault.New(fault.NotCurrent, "this entry has not received a catalogue yet").WithRetryAfter(staleRetryAfter)
	}
	r.catalogueVersion = c.Version
	q := r.request
	if r.route = c.Match(hostOnly(q.Host), q.Path); r.route == nil {
		return fault.New(fault.NotFound, "no route matches %s%s", q.Host, q.Path)
	}
	organisation, err := r.authenticate(c)
	if err != nil {
		return err
	}
	r.service = c.Services[pickService(r.route.Split, q.ID)]
	r.setPriorities(c, catalogue.PriorityOf(organisation, r.route))
	r.parts = quarantine.Keys(r.service.Name, q.SharedParts)
	r.requestKey = quarantine.RequestKey(r.service.Name, q.Method, q.Target, q.Body)
	r.deadline = q.Arrived.Add(min(q.TimeLimit, r.route.Timeout))
	if err := r.checkTimeUntilStop(); err != nil {
		return err
	}
	r.server.budget.recordRequest(r.service.Name)
	r.admittedAt = time.Now()
	return nil
}

// awaitCurrentState waits until the state is current. It returns a NotCurrent error
// when that takes too long.
func (r *run) awaitCurrentState(ctx context.Context) error {
	until := time.Now().Add(r.stateWait())
	for !r.server.StateIsCurrent() {
		if time.Now().After(until) {
			return notCurrentError()
		}
		if !r.waitForChange(ctx, nil, nil) {
			return ctx.Err()
		}
	}
	return nil
}

// stateWait returns how long the request waits at most for the state to become current.
func (r *run) stateWait() time.Duration {
	return min(r.request.TimeLimit/stateWaitDivisor, maxStateWait)
}

// notCurrentError returns the error of a request that the entry may not act on.
func notCurrentError() error {
	return fault.New(fault.NotCurrent, "this entry's copy of the replicated state is not current").WithRetryAfter(staleRetryAfter)
}

// checkTimeUntilStop refuses a request whose answer might be cut when this entry stops.
func (r *run) checkTimeUntilStop() error {
	at := r.server.stop.at.Load()
	if at == nil {
		return nil
	}
	longest := r.longestAnswer()
	if left := time.Until(*at); left < longest {
		return fault.New(fault.Overloaded, "this entry stops in %v and the answer may take %v", left, longest).WithRetryAfter(stopRetryAfter)
	}
	return nil
}

// longestAnswer returns the time that the answer may take. A plain request, or one that
// can't go on elsewhere, may take all the time that it has. A stream that a caller can
// resume elsewhere takes longer than predicted at most by stopSafetyFactor.
func (r *run) longestAnswer() time.Duration {
	engine := r.service.Engine
	if engine == nil || !r.isRetrySafe() {
		return time.Until(r.deadline)
	}
	expected := r.route.Objective + enginemodel.FromMs(enginemodel.AnswerMs(engine, maxOutputTokens(r.request, engine)))
	return time.Duration(stopSafetyFactor * float64(expected))
}

// maxOutputTokens returns the caller's limit on the output, or the service's mean
// output when the caller set none.
func maxOutputTokens(q *Request, engine *catalogue.Engine) int {
	if q.MaxOutputTokens > 0 {
		return q.MaxOutputTokens
	}
	return int(engine.MeanOutputTokens)
}

// authenticate finds the organisation of the request's API key. It is nil if the route is
// public or no keys are required.
func (r *run) authenticate(c *catalogue.Catalogue) (*catalogue.Organisation, error) {
	if r.route.Public || !c.KeysRequired() {
		return nil, nil
	}
	o := c.OrganisationByKey(r.request.APIKey)
	if o == nil {
		return nil, fault.New(fault.Unauthenticated, "the API key belongs to no organisation")
	}
	r.organisation = o.Name
	return o, nil
}

// setPriorities sets the priorities of the request. Engines are told both where the routes
// of the service differ in priority.
func (r *run) setPriorities(c *catalogue.Catalogue, p catalogue.Priority) {
	r.fullPriority, r.priority, r.enginePriority = p, p.Organisation, p.Organisation
	r.ranked, r.routeRank = c.HasPriorities(r.service.Name), c.RouteRank(r.service.Name, p.Route)
	if r.ranked {
		r.enginePriority = c.EnginePriority(r.service.Name, p)
	}
	r.priorityVersion = c.Version
}

// updatePriorities gives the request the priorities of a newer catalogue, as a retry may come
// long after admission. Where the routes of the service neither differ in priority nor did,
// those of admission stay.
func (r *run) updatePriorities() {
	c := r.server.stateCache.State().Catalogue
	if c == nil || c.Version == r.priorityVersion || !r.ranked && !c.HasPriorities(r.service.Name) {
		return
	}
	r.setPriorities(c, r.prioritiesIn(c))
}

func hostOnly(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pickService picks a service at random by weight. The choice depends on the
// request ID alone, so that a request always gets the same service.
func pickService(split []catalogue.Share, id string) string {
	total := 0
	for _, s := range split {
		total += s.Weight
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	at := int(h.Sum32() % uint32(total))
	for _, s := range split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return split[0].Service
}

// isRetrySafe reports whether the request may be sent again after an endpoint may
// have run it.
func (r *run) isRetrySafe() bool {
	return r.route.Kind == catalogue.Idempotent || r.route.Kind == catalogue.Stream && r.route.Resumable
}

// runAttempts places and sends the request until an answer is delivered or a
// failure allows no retry.
func (r *run) runAttempts(ctx context.Context) error {
	defer r.endLease()
	for {
		if err := r.awaitParts(ctx); err != nil {
			return err
		}
		plan, err := r.place(ctx)
		if err != nil {
			return err
		}
		err = r.attempt(ctx, plan)
		plan.Handle.Close()
		r.endLease()
		if err == nil {
			return nil
		}
		if failure := r.out.failure(); failure != nil {
			return failure
		}
		if errors.Is(err, errAbortedUnread) {
			if err := r.awaitCaller(ctx, err); err != nil {
				return err
			}
			continue
		}
		if ctx.Err() != nil || r.nextPlan == nil && !r.mayRetry(err) {
			return err
		}
	}
}

// mayRetry reports whether the request may be sent to another endpoint after a
// failure. The retry is charged to the retry budget, unless the endpoint could not be
// reached or the memory reservation failed: then no endpoint has received the request.
func (r *run) mayRetry(err error) bool {
	var notSent *NotSentError
	var unclear *partsUnclearError
	switch {
	case errors.Is(err, errCaller):
		return false
	case errors.As(err, &unclear), errors.Is(err, errTakenOut):
		return true // nothing was sent; awaitParts and place bound the wait
	case errors.As(err, &notSent), errors.Is(err, errNoMemory):
		return r.attempts < maxAttempts // no endpoint has received the request
	case isNotRun(err):
		return r.attempts < maxAttempts && r.takeRetry()
	}
	return r.mayRunAgain() && r.takeRetry()
}

// mayRunAgain reports whether another endpoint may run the request although one
// may have run it already.
func (r *run) mayRunAgain() bool {
	return r.isRetrySafe() && r.mayHaveRun < max(1, r.route.MaxEndpoints)
}

// takeRetry charges a retry to the service's retry budget; false when it is
// exhausted.
func (r *run) takeRetry() bool {
	taken := r.server.budget.take(r.service.Name)
	r.measureRetry(taken)
	if !taken {
		r.server.logger.Warn().Str("request", r.request.ID).Str("service", r.service.Name).Int("sends", r.attempts).
			Msg("The retry budget is exhausted, so the request is not retried.")
	}
	return taken
}
