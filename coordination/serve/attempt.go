package serve

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/httpstatus"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// Detection of stalls. With shorter stall timeouts, more requests are moved although
// their endpoint would have answered, which uses up the retry budget; with longer ones,
// a request stays longer at an endpoint that has failed.
const (
	// firstStallBase plus twice the predicted time of the first event is the silence
	// before the first event of a stream that counts as a stall. After a stall
	// another endpoint is looked for.
	firstStallBase = 700 * time.Millisecond
	// minPauseStall is the least silence between events that counts as a stall.
	minPauseStall = 800 * time.Millisecond
	// maxStallShare is the share of the caller timeout after which the silence of a
	// stream counts as a stall in any case.
	maxStallShare = 0.7
	// failoverRetryInterval is the pause between two attempts to find another
	// endpoint for a stalled request.
	failoverRetryInterval = 200 * time.Millisecond
	// pauseStallFactor is the silence between events that counts as a stall, as a
	// multiple of the pause objective.
	pauseStallFactor = 3
)

// notRunError reports that the endpoint that was meant did not run the request:
// either the response declares it, or another endpoint has responded (421).
type notRunError struct {
	failedHelper string // ID or address of the helper that failed, if one did
}

func (e *notRunError) Error() string {
	if e.failedHelper != "" {
		return "the endpoint did not run the request because helper " + e.failedHelper + " failed"
	}
	return "the endpoint did not run the request"
}

// errStalled marks an attempt that was cancelled because it stalled.
var errStalled = errors.New("the endpoint sent nothing for too long")

// errInvalidResponse marks a response that can't be this endpoint's complete
// response to this request.
var errInvalidResponse = errors.New("the response is not a complete response to this request")

func isNotRun(err error) bool {
	var e *notRunError
	return errors.As(err, &e)
}

// attempt sends the request to the endpoints of a plan and delivers the answer.
func (r *run) attempt(ctx context.Context, plan *placement.Plan) error {
	if err := r.checkBeforeSend(plan); err != nil {
		return err
	}
	r.attempts++
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	reserved, err := r.reserve(sending, plan, cancel)
	if err == nil || !r.server.settings.Load().boundsReservations() {
		// A main endpoint isn't at fault when others refuse memory; those are left out
		// for memoryRefusalTime.
		r.tried[plan.Endpoints[0].Key] = true
	}
	if err != nil {
		return err
	}
	return r.sendReserved(sending, plan, reserved, cancel)
}

// sendReserved sends the request once the memory for it is reserved, and delivers the
// answer.
func (r *run) sendReserved(ctx context.Context, plan *placement.Plan, reserved *reservations, cancelCause context.CancelCauseFunc) error {
	cancel := func() { cancelCause(nil) }
	defer reserved.end()
	if err := r.checkBeforeSend(plan); err != nil {
		return err
	}
	r.attemptEvents, r.goesOn, r.sentAt = 0, false, r.server.parts.Now()
	r.mayHaveRun++
	r.out.beginAttempt()
	r.measureLimitedSend(plan)
	if reserved != nil {
		reserved.sent = true
		go r.endOnLoss(ctx, plan.Endpoints[0], cancelCause)
	}
	response, err := r.send(ctx, plan, reserved, cancel)
	if err == nil {
		err = r.deliver(ctx, plan, response, cancel)
	}
	if lost := lossOf(ctx); err != nil && lost != nil {
		err = lost
	}
	reserved.end() // before what recordResult asks of the endpoint
	r.recordResult(ctx, plan, err)
	return err
}

// errTakenOut marks a plan with an endpoint whose data centre was taken out of service
// after the plan was made.
var errTakenOut = errors.New("the data centre of an endpoint was taken out of service")

// checkBeforeSend checks again what may have changed while the request waited for a permit
// or for memory.
func (r *run) checkBeforeSend(plan *placement.Plan) error {
	if !r.server.StateIsCurrent() {
		return notCurrentError()
	}
	state := r.server.stateCache.State()
	if slices.ContainsFunc(plan.Endpoints, func(e *directory.Endpoint) bool { return !state.InService(e.DataCentre) }) {
		return errTakenOut
	}
	return r.checkParts()
}

// send returns the endpoint's response. It cancels a stalled attempt once another
// endpoint has capacity.
func (r *run) send(ctx context.Context, plan *placement.Plan, reserved *reservations, cancel context.CancelFunc) (*Response, error) {
	a := r.newAttempt(plan, reserved)
	sentAt := time.Now()
	response, stalled, err := awaitResult(ctx, r, plan, cancel, func() (*Response, error) { return r.server.upstream.Send(ctx, a) })
	if err == nil {
		r.recordStatements(plan.Endpoints[0], response, sentAt)
	}
	switch {
	case stalled && err == nil:
		_ = response.Body.Close()
		return nil, errStalled
	case stalled:
		return nil, errStalled
	case err != nil:
		return nil, err
	}
	return checkResponse(response)
}

// awaitResult makes a call to the endpoint of an attempt and returns its result. When the
// endpoint is silent for firstStallTimeout, it cancels the attempt once another endpoint
// has capacity; stalled is then true, and the result is that of the cancelled call.
func awaitResult[T any](ctx context.Context, r *run, plan *placement.Plan, cancel context.CancelFunc, call func() (T, error)) (value T, stalled bool, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		value, err = call()
	}()
	stall := time.NewTimer(r.firstStallTimeout(plan))
	defer stall.Stop()
	for {
		select {
		case <-done:
			return value, false, err
		case <-stall.C:
			if r.planFailover(ctx) {
				cancel()
				<-done
				return value, true, err
			}
			stall.Reset(failoverRetryInterval)
		}
	}
}

// newAttempt returns the attempt for the endpoints of a plan.
func (r *run) newAttempt(plan *placement.Plan, reserved *reservations) *Attempt {
	a := &Attempt{
		Request:      r.request,
		Endpoint:     plan.Endpoints[0],
		Organisation: r.organisation,
		TimeLimit:    time.Until(r.deadline),
		LastEventID:  r.lastEventID,
	}
	if r.service.Engine != nil {
		priority := r.enginePriority // a copy: the search for another endpoint may change it while the attempt is sent
		a.Priority = &priority
	}
	for _, e := range plan.Endpoints[1:] {
		a.Helpers = append(a.Helpers, Helper{Address: e.Address, Ticket: reserved.ticketAt(e)})
	}
	return a
}

// recordStatements records what the response to a request sent at sentAt says of the
// endpoint itself.
func (r *run) recordStatements(e *directory.Endpoint, response *Response, sentAt time.Time) {
	r.recordRetryAfter(e, response)
	r.recordRateLimit(e, response, sentAt)
}

// recordRateLimit records the rate limit that the endpoint stated. A success without
// one says that the endpoint has none; a failure without one says nothing.
func (r *run) recordRateLimit(e *directory.Endpoint, response *Response, sentAt time.Time) {
	if response.Misdirected || !response.MatchesAttempt || response.RateLimit.Invalid {
		return
	}
	switch {
	case response.RateLimit.Stated:
		r.server.scheduler.RecordRateLimit(e.Key, response.RateLimit.PerSecond, sentAt)
	case response.isSuccess() && response.Signed:
		r.server.scheduler.RecordRateLimit(e.Key, placement.Unlimited, sentAt)
	}
}

// recordRetryAfter records for how long a full endpoint accepts no request, if its
// response says so. When a helper failed, the time is not the endpoint's own.
func (r *run) recordRetryAfter(e *directory.Endpoint, response *Response) {
	if response.NotRun && response.RetryAfter > 0 && response.FailedHelper == "" {
		r.server.scheduler.RecordBusy(e.Key, response.RetryAfter)
	}
}

// checkResponse closes a response that is no answer to this request and returns
// an error in its place.
func checkResponse(response *Response) (*Response, error) {
	if response.NotRun || response.Misdirected {
		_ = response.Body.Close()
		return nil, &notRunError{failedHelper: response.FailedHelper}
	}
	if !response.MatchesAttempt || response.Encoded || !httpstatus.IsFinal(response.Status) {
		_ = response.Body.Close()
		return nil, errInvalidResponse
	}
	return response, nil
}

// recordResult records the result of an attempt in the endpoint's health.
func (r *run) recordResult(ctx context.Context, plan *placement.Plan, err error) {
	r.measureAttempt(ctx, err)
	var notSent *NotSentError
	e, ended := plan.Endpoints[0], false
	switch {
	case err == nil:
		r.server.scheduler.RecordSuccess(e.Key)
		r.recordGoingOn()
		return
	case isNotRun(err):
		r.mayHaveRun--
		r.recordRefusal(plan, err)
	case errors.As(err, &notSent):
		r.mayHaveRun--
		r.server.scheduler.RecordUnreachable(e.Key)
	case errors.Is(err, errReservationExpired): // because of this process, not of the endpoint
	case errors.Is(err, errReservationUnused) && r.reaches(context.WithoutCancel(ctx), e):
		r.server.scheduler.RecordRefusal(e.Key) // it may only be busy with earlier prompts
	case ctx.Err() != nil && !errors.Is(err, errStalled) && lossOf(ctx) == nil:
		return // the caller left or the deadline passed, which says nothing about the endpoint
	case errors.Is(err, errCaller), errors.Is(err, errAbortedUnread), errors.Is(err, errBufferFull):
		// The caller or the memory of this entry is the cause.
	default:
		ended = r.recordEnd(ctx, plan)
		r.server.scheduler.RecordFailure(e.Key)
	}
	r.server.logger.Warn().Str("request", r.request.ID).Str("endpoint", e.ID).Str("address", e.Address).
		Str("data_centre", e.DataCentre).Int("send", r.attempts).Bool("begun", r.headerWritten.Load()).Str("last_event", r.lastEventID).
		Bool("endpoint_ended", ended).Strs("shared_parts", r.loggedParts()).Err(err).Msg("An attempt failed.")
}

// recordRefusal records a failure of the helper that the endpoint named, or a
// refusal of the endpoint when it named none.
func (r *run) recordRefusal(plan *placement.Plan, err error) {
	var refused *notRunError
	if errors.As(err, &refused) && refused.failedHelper != "" {
		for _, e := range plan.Endpoints[1:] {
			if e.ID == refused.failedHelper || e.Address == refused.failedHelper {
				r.server.scheduler.RecordFailure(e.Key)
				return
			}
		}
	}
	r.server.scheduler.RecordRefusal(plan.Endpoints[0].Key)
}

// deliver reads the response and queues it for the caller.
func (r *run) deliver(ctx context.Context, plan *placement.Plan, response *Response, cancel context.CancelFunc) error {
	defer response.Body.Close()
	if r.route.Kind == catalogue.Stream && response.isSuccess() {
		return r.deliverStream(ctx, plan, response, cancel)
	}
	return r.deliverPlain(ctx, plan, response, cancel)
}

// writeHeader starts the answer to the caller. What follows goes through r.out.
func (r *run) writeHeader(status int, header http.Header, length int64) {
	r.headerWritten.Store(true)
	r.status = status
	r.out.start(status, header, length)
}
