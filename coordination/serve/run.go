package serve

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// creditExponent makes the credit of a request grow more slowly than its
	// prefill time, so that long prompts neither starve nor crowd out short ones.
	creditExponent = 0.62
	// urgencyRatio is the ratio between the credits of two requests whose
	// priorities differ by one.
	urgencyRatio = 1.5
	// lowestPriority is the least urgent priority; 0 is the most urgent.
	lowestPriority = 9
	// plainCredit is the credit of a request to a service without an engine.
	plainCredit = 1
	// capacityPollInterval is how often a waiting request tries placement again
	// when no work ends in the meantime.
	capacityPollInterval = 20 * time.Millisecond
	// conflictWindow is how long the event of a placement takes to reach the
	// other entries.
	conflictWindow = 10 * time.Millisecond
	// maxSends bounds the attempts of a request that no endpoint has run.
	maxSends = 6
	// staleRetryAfter is the Retry-After sent while the state is not current.
	staleRetryAfter = 500 * time.Millisecond
	// A request waits for the state to become current for at most maxStateWait,
	// and for at most its time limit divided by stateWaitDivisor.
	maxStateWait     = 1500 * time.Millisecond
	stateWaitDivisor = 5
	// minRetryAfter is the least Retry-After sent while no endpoint has room.
	minRetryAfter = 200 * time.Millisecond
	// capacityWaitDivisor divides the objective: for that part of it a request
	// waits for an endpoint with room.
	capacityWaitDivisor = 8
	// startupIntervals is how many announcement intervals after its start a
	// process is sure to have heard from every endpoint.
	startupIntervals = 1.25
	// callerTimeoutShare is the share of the caller timeout for which a request
	// waits at most while the entry learns of the endpoints.
	callerTimeoutShare = 0.5
	// retryAfterDivisor divides a request's time left: a Retry-After is at most
	// that part of it, so that the caller has time for the retry.
	retryAfterDivisor = 3
	// stopSafetyFactor is the ratio of the time left until this entry stops to the
	// expected time of an answer below which the request is refused. It exceeds 1
	// because the passes of an engine become longer with the prefill of others.
	stopSafetyFactor = 1.25
	// stopRetryAfter is the Retry-After sent then. It is short because the other
	// entries can serve the request at once.
	stopRetryAfter = 20 * time.Millisecond
	// minAttemptTime is the least time left for which an attempt is worth sending.
	minAttemptTime = 10 * time.Millisecond
)

// run is the state of one request while it is served.
type run struct {
	server           *Server
	request          *Request
	writer           ResponseWriter
	route            *catalogue.Route
	service          *catalogue.Service
	organisation     string
	priority         int       // 0 is the most urgent
	deadline         time.Time // of the whole answer
	admittedAt       time.Time
	catalogueVersion uint64
	tried            map[uint64]bool // keys of the endpoints that were asked
	sends            int             // attempts so far
	mayHaveRun       int             // attempts that an endpoint may have run
	headerWritten    bool
	lastEventID      string
	eventsSent       int             // to the caller
	lastEventAt      time.Time       // when the last event was sent to the caller
	hadConflict      bool            // a plan was dropped because it conflicted with another entry's
	nextPlan         *placement.Plan // chosen before a stalled attempt was cancelled
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
	r.priority = clampPriority(r.route.Priority)
	if err := r.authenticate(c); err != nil {
		return err
	}
	r.service = c.Services[pickService(r.route.Split, q.ID)]
	r.deadline = q.Arrived.Add(min(q.TimeLimit, r.route.Timeout))
	if err := r.checkTimeUntilStop(); err != nil {
		return err
	}
	r.server.budget.recordRequest(r.service.Name)
	r.admittedAt = time.Now()
	return nil
}

// awaitCurrentState waits until the state is current, or returns a NotCurrent
// error.
func (r *run) awaitCurrentState(ctx context.Context) error {
	until := time.Now().Add(min(r.request.TimeLimit/stateWaitDivisor, maxStateWait))
	for !r.server.StateIsCurrent() {
		if time.Now().After(until) {
			return fault.New(fault.NotCurrent, "no quorum confirmed the catalogue in time").WithRetryAfter(staleRetryAfter)
		}
		if !r.waitForChange(ctx, nil) {
			return ctx.Err()
		}
	}
	return nil
}

// checkTimeUntilStop refuses a request whose answer would probably be cut when
// this entry stops.
func (r *run) checkTimeUntilStop() error {
	at := r.server.stopsAt.Load()
	engine := r.service.Engine
	if at == nil || engine == nil {
		return nil
	}
	expected := r.route.Objective + enginemodel.FromMs(enginemodel.AnswerMs(engine, maxOutputTokens(r.request, engine)))
	if left := time.Until(*at); float64(left) < stopSafetyFactor*float64(expected) {
		return fault.New(fault.Overloaded, "this entry stops in %v and the answer may take %v", left, expected).WithRetryAfter(stopRetryAfter)
	}
	return nil
}

// maxOutputTokens returns the caller's limit on the output, or the service's mean
// output when the caller set none.
func maxOutputTokens(q *Request, engine *catalogue.Engine) int {
	if q.MaxOutputTokens > 0 {
		return q.MaxOutputTokens
	}
	return int(engine.MeanOutputTokens)
}

// authenticate finds the organisation of the request's API key, unless the route
// is public.
func (r *run) authenticate(c *catalogue.Catalogue) error {
	if r.route.Public || !c.KeysRequired() {
		return nil
	}
	o := c.OrganisationByKey(r.request.APIKey)
	if o == nil {
		return fault.New(fault.Unauthenticated, "the API key belongs to no organisation")
	}
	r.organisation = o.Name
	if o.Priority != nil {
		r.priority = clampPriority(*o.Priority)
	}
	return nil
}

// clampPriority limits a priority to the range that endpoints accept.
func clampPriority(rank int) int { return min(max(rank, 0), lowestPriority) }

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
	for {
		plan, err := r.place(ctx)
		if err != nil {
			return err
		}
		err = r.attempt(ctx, plan)
		plan.Handle.Close()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || r.nextPlan == nil && !r.mayRetry(err) {
			return err
		}
	}
}

// mayRetry reports whether the request may be sent to another endpoint after a
// failure. It charges the retry to the retry budget if an endpoint has received
// the request.
func (r *run) mayRetry(err error) bool {
	var notSent *NotSentError
	switch {
	case errors.As(err, &notSent), errors.Is(err, errNoMemory):
		return r.sends < maxSends // no endpoint has received the request
	case isNotRun(err):
		return r.sends < maxSends && r.takeRetry()
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
		r.server.logger.Warn().Str("request", r.request.ID).Str("service", r.service.Name).Int("sends", r.sends).
			Msg("The retry budget is exhausted, so the request is not retried.")
	}
	return taken
}
