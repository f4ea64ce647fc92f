package serve

import (
	"context"
	"errors"
	"hash/fnv"
	"math"
	"net"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/passes"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

const (
	// creditExponent makes the weight of an answer grow less than the work that
	// it takes, so that long prompts neither starve nor crowd out short ones.
	creditExponent = 0.55
	// plainCredit is the weight of a plain request.
	plainCredit = 1
	// holdStep is how often a request that waits for room looks again when no
	// work ends meanwhile.
	holdStep = 20 * time.Millisecond
	// mostSends bounds the attempts that endpoints refuse without running them.
	mostSends = 6
	// currentWait is the retry time told while the state is not current.
	currentWait = 500 * time.Millisecond
	// currentHold bounds how long a request waits for the state to be current,
	// and currentShare is the divisor of its time left that does too.
	currentHold  = 1500 * time.Millisecond
	currentShare = 5
	// roomWait is the least retry time told while no endpoint has room.
	roomWait = 200 * time.Millisecond
	// firstHoldShare is the part of the objective, as its divisor, for which a
	// first try waits for room.
	firstHoldShare = 8
	// holdShare is the divisor of a caller's patience, or of its time left, for
	// which one that came back waits for room.
	holdShare = 4
	// freshShare is the part of the route's time that a first try has at least.
	freshShare = 0.95
	// callerShare is the part of the time left, as its divisor, that callers wait
	// at most when they are told to come back.
	callerShare = 3
	// leastLeft is the least time worth sending an attempt for.
	leastLeft = 10 * time.Millisecond
)

// run is one request on its way.
type run struct {
	server       *Server
	request      *Request
	answer       Answer
	route        *catalogue.Route
	service      *catalogue.Service
	organisation string
	limit        time.Time
	version      uint64
	tried        map[uint64]bool
	sends        int
	mayHaveRun   int // sends that an endpoint may have worked on
	begun        bool
	lastEvent    string
	events       int             // passed on
	next         *placement.Plan // secured before a silent attempt was given up
	firstAt      time.Time
	late         bool
	status       int
}

// admit finds the route, the organisation and the service.
func (r *run) admit(ctx context.Context) error {
	if err := r.awaitCurrent(ctx); err != nil {
		return err
	}
	state := r.server.current.State()
	c := state.Catalogue
	if c == nil {
		return fault.New(fault.NotCurrent, "no catalogue is known yet").After(currentWait)
	}
	r.version = c.Version
	q := r.request
	if r.route = c.Match(hostOnly(q.Host), q.Path); r.route == nil {
		return fault.New(fault.NotFound, "no route for %s%s", q.Host, q.Path)
	}
	if err := r.identify(c); err != nil {
		return err
	}
	r.service = c.Services[pick(r.route.Split, q.ID)]
	r.limit = q.Arrived.Add(min(q.Left, r.route.Timeout))
	r.server.budget.asked(r.service.Name)
	return nil
}

// awaitCurrent waits a little for a state that is surely the newest.
func (r *run) awaitCurrent(ctx context.Context) error {
	until := time.Now().Add(min(r.request.Left/currentShare, currentHold))
	for !r.server.Current() {
		if time.Now().After(until) {
			return fault.New(fault.NotCurrent, "the catalogue was not confirmed in time").After(currentWait)
		}
		if !r.pause(ctx, nil) {
			return ctx.Err()
		}
	}
	return nil
}

func (r *run) identify(c *catalogue.Catalogue) error {
	if r.route.Public || !c.KeysAsked() {
		return nil
	}
	o := c.OrganisationOf(r.request.Key)
	if o == nil {
		return fault.New(fault.Unauthenticated, "the key belongs to no organisation")
	}
	r.organisation = o.Name
	return nil
}

func hostOnly(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// pick chooses a service by weight; the same request always gets the same one.
func pick(split []catalogue.Share, id string) string {
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

// repeatable reports whether the request may be sent again though it may have run.
func (r *run) repeatable() bool {
	return r.route.Kind == catalogue.Idempotent || r.route.Kind == catalogue.Stream && r.route.Resumable
}

// attempts sends the request until an answer is delivered.
func (r *run) attempts(ctx context.Context) error {
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
		if ctx.Err() != nil || r.next == nil && !r.mayRepeat(err) {
			return err
		}
	}
}

// mayRepeat reports whether another endpoint may be asked after a failure, and
// takes the repeat off the budget.
func (r *run) mayRepeat(err error) bool {
	var unsent *NotSent
	switch {
	case errors.As(err, &unsent), errors.Is(err, errNoMemory):
		return r.sends < mostSends // no endpoint had to deal with it
	case isNotRun(err):
		return r.sends < mostSends && r.takeRepeat()
	}
	return r.mayRunAgain() && r.takeRepeat()
}

// mayRunAgain reports whether another endpoint may run the request though one
// may have run it.
func (r *run) mayRunAgain() bool {
	return r.repeatable() && r.mayHaveRun < max(1, r.route.MaxEndpoints)
}

func (r *run) takeRepeat() bool {
	taken := r.server.budget.take(r.service.Name)
	if !taken {
		r.server.logger.Warn().Str("request", r.request.ID).Str("service", r.service.Name).Int("sends", r.sends).
			Msg("No repeat: the repeat budget is spent.")
	}
	return taken
}

// place waits for endpoints with room.
func (r *run) place(ctx context.Context) (*placement.Plan, error) {
	if plan := r.next; plan != nil {
		r.next = nil
		return plan, nil
	}
	until := r.holdUntil()
	for {
		changed := r.server.book.Changed()
		if plan := r.tryPlace(); plan != nil {
			return plan, nil
		}
		if time.Now().After(until) {
			return nil, r.noRoom()
		}
		if r.isOverdue() {
			changed = nil // those that may still be in time go first
		}
		if !r.pause(ctx, changed) {
			return nil, ctx.Err()
		}
	}
}

// noRoom is the refusal of a request that found no endpoint.
func (r *run) noRoom() error {
	state := r.server.current.State()
	room := r.server.book.Room(r.server.directory.Endpoints(r.service.Name), r.demand(state))
	after := min(max(room.Wait, roomWait), max(time.Until(r.limit)/callerShare, roomWait))
	r.server.logger.Warn().Str("request", r.request.ID).Str("service", r.service.Name).
		Int("endpoints", room.Endpoints).Int("candidates", room.Candidates).Int("answers", room.Answers).
		Int("least_answers", room.Least).Dur("room_in", room.Wait).Dur("retry_after", after).Dur("waited", time.Since(r.request.Arrived)).
		Int("prompt", r.request.PromptTokens).Msg("No endpoint has room.")
	return fault.New(fault.Overloaded, "no endpoint of service %s has room", r.service.Name).After(after)
}

// holdUntil is how long the request waits for room. The first try of a caller is
// told early when to come back; one that came back waits as long as its caller
// may stay, and an answer that has begun as long as there is time.
func (r *run) holdUntil() time.Time {
	if r.begun {
		return r.limit.Add(-leastLeft)
	}
	hold := r.route.Objective / firstHoldShare
	if r.cameBack() {
		hold = min(r.route.Patience, r.request.Left) / holdShare
	}
	return r.request.Arrived.Add(hold)
}

// cameBack reports whether the caller has tried before: it has less time left
// than the route gives.
func (r *run) cameBack() bool {
	return float64(r.request.Left) < freshShare*float64(r.route.Timeout)
}

// isOverdue reports whether the objective of the first event has passed.
func (r *run) isOverdue() bool { return time.Since(r.request.Arrived) > r.route.Objective }

// tryPlace returns a plan when endpoints have room just now.
func (r *run) tryPlace() *placement.Plan {
	if !r.server.Current() {
		return nil
	}
	state := r.server.current.State()
	plan := r.server.book.Choose(r.server.directory.Endpoints(r.service.Name), r.demand(state))
	if plan != nil {
		r.logPlan(plan, state)
	}
	return plan
}

// pause waits for a step, a change or the end of ctx, which it reports as false.
func (r *run) pause(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(holdStep)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

func (r *run) demand(state *catalogue.State) *placement.Demand {
	q := r.request
	d := &placement.Demand{
		Service:    r.service,
		DataCentre: r.server.settings.DataCentre,
		FirstLeft:  time.Until(q.Arrived.Add(r.route.Objective)),
		Limit:      time.Until(r.limit),
		Patience:   r.patienceLeft(),
		Credit:     plainCredit,
		Excluded: func(e *directory.Endpoint) bool {
			return r.tried[e.Key] || e.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_READY || !state.InService(e.DataCentre)
		},
	}
	if engine := r.service.Engine; engine != nil {
		d.PromptTokens = q.PromptTokens
		d.OutputTokens = outputTokens(q, engine)
		d.Pause = r.route.PauseObjective
		d.Credit = math.Pow(max(1, passes.ReadMs(engine, q.PromptTokens, 1)), creditExponent)
	}
	return d
}

// patienceLeft is how long the caller will wait for the next byte.
func (r *run) patienceLeft() time.Duration {
	if r.begun {
		return r.route.Patience
	}
	return time.Until(r.request.Arrived.Add(r.route.Patience))
}

// outputTokens is the expected output: the caller's estimate, or the usual one.
func outputTokens(q *Request, engine *catalogue.Engine) int {
	expected := int(engine.UsualAnswer)
	if q.OutputHint > 0 {
		expected = q.OutputHint
	}
	if q.MaxOutput > 0 {
		expected = min(expected, q.MaxOutput)
	}
	return expected
}

func (r *run) logPlan(p *placement.Plan, state *catalogue.State) {
	age, _ := r.server.current.Age()
	r.server.logger.Info().Str("request", r.request.ID).Str("route", r.route.Name).
		Str("endpoint", p.Endpoints[0].ID).Strs("helpers", identities(p.Endpoints[1:])).Int("prompt", r.request.PromptTokens).
		Int("answers", p.Answers).Float64("backlog_ms", p.BacklogMs).Float64("predicted_first_ms", p.PredictedFirstMs).Float64("score", p.Score).
		Str("runner_up", p.RunnerUp).Float64("runner_up_score", p.RunnerUpScore).Int("candidates", p.Candidates).
		Uint64("version", state.Version()).Dur("state_age", age).Dur("waited", time.Since(r.request.Arrived)).
		Msg("Endpoints were chosen.")
}

func identities(endpoints []*directory.Endpoint) []string {
	ids := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		ids = append(ids, e.ID)
	}
	return ids
}

// finish gives the final answer unless it was delivered, and accounts for it.
func (r *run) finish(ctx context.Context, err error) {
	if r.next != nil {
		r.next.Handle.Close()
	}
	switch {
	case err == nil:
	case r.begun:
		r.answer.Break()
	case ctx.Err() != nil:
		err = fault.New(fault.Cancelled, "the caller left")
		r.answer.Break()
	default:
		final := r.final(err)
		r.status = final.Kind.Status()
		r.answer.Refuse(final)
		err = final
	}
	r.account(err)
}

// final turns a failure into the answer of our own. "Not run" is only said when
// no sending can have run.
func (r *run) final(err error) *fault.Error {
	var e *fault.Error
	if errors.As(err, &e) && (r.mayHaveRun == 0 || !e.Kind.NotRun()) {
		return e
	}
	if r.mayHaveRun == 0 {
		return fault.Wrap(err, fault.Overloaded, "no endpoint took the request").After(roomWait)
	}
	if !time.Now().Before(r.limit) {
		return fault.Wrap(err, fault.Timeout, "the endpoint did not answer in time")
	}
	return fault.Wrap(err, fault.EndpointFailed, "the endpoint's answer broke off")
}

func (r *run) account(err error) {
	outcome := "served"
	if err != nil {
		outcome = string(fault.KindOf(err))
		if r.begun {
			outcome = "broken_off"
		}
	}
	routeName := ""
	if r.route != nil {
		routeName = r.route.Name
	}
	first := time.Duration(0)
	if !r.firstAt.IsZero() {
		first = r.firstAt.Sub(r.request.Arrived)
	}
	labels := metrics.Labels{Organisation: r.organisation, Class: outcome}
	r.server.metrics.Count("serve_requests", labels)
	r.server.metrics.Time("serve_whole_ms", labels, time.Since(r.request.Arrived))
	if first > 0 {
		r.server.metrics.Time("serve_first_ms", labels, first)
	}
	r.server.logger.Info().Str("request", r.request.ID).Str("route", routeName).Str("organisation", r.organisation).
		Uint64("version", r.version).Str("outcome", outcome).Int("status", r.status).Int("sends", r.sends).
		Int("may_have_run", r.mayHaveRun).Int("events", r.events).Str("last_event", r.lastEvent).Bool("late", r.late).Dur("left", r.request.Left).Dur("first", first).
		Dur("whole", time.Since(r.request.Arrived)).Err(err).Msg("The request has its final answer.")
}
