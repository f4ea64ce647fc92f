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
	// creditExponent makes the weight of an answer grow less than the work that
	// it takes, so that long prompts neither starve nor crowd out short ones.
	creditExponent = 0.62
	// urgencyRatio is the weight of an answer against that of one whose priority
	// is by one less urgent.
	urgencyRatio = 1.5
	// leastUrgent is the last of the priorities; 0 is the first.
	leastUrgent = 9
	// plainCredit is the weight of a plain request.
	plainCredit = 1
	// holdStep is how often a request that waits for room looks again when no
	// work ends meanwhile.
	holdStep = 20 * time.Millisecond
	// settleTime is how long news of a choice takes to reach the other entries.
	settleTime = 10 * time.Millisecond
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
	// holdShare is the part of the objective, as its divisor, for which a request
	// waits for room.
	holdShare = 8
	// announceShare is how many intervals of announcements a started process takes
	// to know the endpoints.
	announceShare = 1.25
	// patienceShare is the part of a caller's patience for which a request is held
	// at most.
	patienceShare = 0.5
	// callerShare is the part of the time left, as its divisor, that callers wait
	// at most when they are told to come back.
	callerShare = 3
	// stopShare is how many times its expected time an answer must have until this
	// entry stops, as passes grow with what others read.
	stopShare = 1.25
	// stopWait is the retry time told then: other entries can take it at once.
	stopWait = 20 * time.Millisecond
	// leastLeft is the least time worth sending an attempt for.
	leastLeft = 10 * time.Millisecond
)

// run is one request on its way.
type run struct {
	server       *Server
	request      *Request
	answer       ResponseWriter
	route        *catalogue.Route
	service      *catalogue.Service
	organisation string
	priority     int // 0 is the most urgent
	limit        time.Time
	admittedAt   time.Time
	version      uint64
	tried        map[uint64]bool
	sends        int
	mayHaveRun   int // sends that an endpoint may have worked on
	begun        bool
	lastEvent    string
	events       int             // passed on
	lastAt       time.Time       // of the last event passed on
	crossed      bool            // a choice was made anew, as it crossed another entry's
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
	r.priority = priority(r.route.Priority)
	if err := r.identify(c); err != nil {
		return err
	}
	r.service = c.Services[pick(r.route.Split, q.ID)]
	r.limit = q.Arrived.Add(min(q.TimeLimit, r.route.Timeout))
	if err := r.fitsBeforeStop(); err != nil {
		return err
	}
	r.server.budget.asked(r.service.Name)
	r.admittedAt = time.Now()
	return nil
}

// awaitCurrent waits a little for a state that is surely the newest.
func (r *run) awaitCurrent(ctx context.Context) error {
	until := time.Now().Add(min(r.request.TimeLimit/currentShare, currentHold))
	for !r.server.StateIsCurrent() {
		if time.Now().After(until) {
			return fault.New(fault.NotCurrent, "the catalogue was not confirmed in time").After(currentWait)
		}
		if !r.pause(ctx, nil) {
			return ctx.Err()
		}
	}
	return nil
}

// fitsBeforeStop refuses an answer that this entry would rather cut when it
// stops.
func (r *run) fitsBeforeStop() error {
	at := r.server.stopsAt.Load()
	engine := r.service.Engine
	if at == nil || engine == nil {
		return nil
	}
	expected := r.route.Objective + enginemodel.FromMs(enginemodel.AnswerMs(engine, mostTokens(r.request, engine)))
	if left := time.Until(*at); float64(left) < stopShare*float64(expected) {
		return fault.New(fault.Overloaded, "this entry stops in %v, and the answer may take %v", left, expected).After(stopWait)
	}
	return nil
}

// mostTokens is the longest output that the caller allows, or the usual one.
func mostTokens(q *Request, engine *catalogue.Engine) int {
	if q.MaxOutputTokens > 0 {
		return q.MaxOutputTokens
	}
	return int(engine.UsualAnswer)
}

func (r *run) identify(c *catalogue.Catalogue) error {
	if r.route.Public || !c.KeysAsked() {
		return nil
	}
	o := c.OrganisationOf(r.request.APIKey)
	if o == nil {
		return fault.New(fault.Unauthenticated, "the key belongs to no organisation")
	}
	r.organisation = o.Name
	if o.Priority != nil {
		r.priority = priority(*o.Priority)
	}
	return nil
}

// priority is a rank within the range that endpoints know.
func priority(rank int) int { return min(max(rank, 0), leastUrgent) }

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
	var unsent *NotSentError
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
	r.measureRepeat(taken)
	if !taken {
		r.server.logger.Warn().Str("request", r.request.ID).Str("service", r.service.Name).Int("sends", r.sends).
			Msg("No repeat: the repeat budget is spent.")
	}
	return taken
}
