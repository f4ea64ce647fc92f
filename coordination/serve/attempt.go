package serve

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// stallFirst is the least silence before the first event after which
	// another endpoint is asked; the prediction is added to it.
	stallFirst = 700 * time.Millisecond
	// stallBetween is the least silence between events for the same.
	stallBetween = 800 * time.Millisecond
	// stallShare is the part of a caller's patience after which silence is a stall
	// in any case.
	stallShare = 0.7
	// stallRetry is the pause between two looks for another endpoint.
	stallRetry = 200 * time.Millisecond
	// stallPauses is that silence as a multiple of the pause objective.
	stallPauses = 3
)

// notRunError is an endpoint's own statement that it did not run a request.
type notRunError struct {
	atFault string // identity or address of the helper that failed, if one did
}

func (e *notRunError) Error() string {
	if e.atFault != "" {
		return "the endpoint did not run the request because " + e.atFault + " failed it"
	}
	return "the endpoint did not run the request"
}

// errStalled marks a stream that was silent for too long.
var errStalled = errors.New("the endpoint was silent for too long")

// errGarbled marks bytes that are not the endpoint's answer to this request.
var errGarbled = errors.New("the answer is not a whole answer to this request")

func isNotRun(err error) bool {
	var e *notRunError
	return errors.As(err, &e)
}

// attempt sends the request to the endpoints of a plan and delivers the answer.
func (r *run) attempt(ctx context.Context, plan *placement.Plan) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	main := plan.Endpoints[0]
	r.tried[main.Key] = true
	if !r.server.StateIsCurrent() {
		return fault.New(fault.NotCurrent, "the catalogue was not confirmed in time").After(currentWait)
	}
	r.sends++
	held, err := r.reserve(ctx, plan)
	if err != nil {
		return err
	}
	defer held.end()
	r.mayHaveRun++
	response, err := r.send(ctx, plan, held, cancel)
	if err == nil {
		err = r.deliver(ctx, plan, response, cancel)
	}
	r.judge(ctx, plan, err)
	return err
}

// send returns the beginning of the answer, or gives up on a silent endpoint
// once another one is found.
func (r *run) send(ctx context.Context, plan *placement.Plan, held *reservations, cancel context.CancelFunc) (*Response, error) {
	type result struct {
		response *Response
		err      error
	}
	a := r.newAttempt(plan, held)
	done := make(chan result, 1)
	go func() {
		response, err := r.server.upstream.Send(ctx, a)
		done <- result{response, err}
	}()
	stall := time.NewTimer(r.firstStall(plan))
	defer stall.Stop()
	for {
		select {
		case got := <-done:
			if got.err != nil {
				return nil, got.err
			}
			r.heed(plan.Endpoints[0], got.response)
			return check(got.response)
		case <-stall.C:
			if r.findOther() {
				cancel()
				if got := <-done; got.err == nil {
					r.heed(plan.Endpoints[0], got.response)
					_ = got.response.Body.Close()
				}
				return nil, errStalled
			}
			stall.Reset(stallRetry)
		}
	}
}

func (r *run) newAttempt(plan *placement.Plan, held *reservations) *Attempt {
	a := &Attempt{
		Request:      r.request,
		Endpoint:     plan.Endpoints[0],
		Organisation: r.organisation,
		TimeLimit:    time.Until(r.limit),
		LastEventID:  r.lastEvent,
	}
	if r.service.Engine != nil {
		a.Priority = &r.priority
	}
	for _, e := range plan.Endpoints[1:] {
		a.Helpers = append(a.Helpers, Helper{Address: e.Address, Ticket: held.ticketAt(e)})
	}
	return a
}

// heed notes for how long a full endpoint wants no further request.
func (r *run) heed(e *directory.Endpoint, response *Response) {
	if response.NotRun && response.RetryAfter > 0 && response.FailedHelper == "" {
		r.server.book.RecordBusy(e.Key, response.RetryAfter)
	}
}

// check sorts out answers that are none to this request.
func check(response *Response) (*Response, error) {
	if response.NotRun || response.Misdirected {
		_ = response.Body.Close()
		return nil, &notRunError{atFault: response.FailedHelper}
	}
	if !response.MatchesAttempt || response.Encoded {
		_ = response.Body.Close()
		return nil, errGarbled
	}
	return response, nil
}

// judge notes what an attempt tells of the endpoint.
func (r *run) judge(ctx context.Context, plan *placement.Plan, err error) {
	r.measureAttempt(ctx, err)
	var unsent *NotSentError
	e := plan.Endpoints[0]
	switch {
	case err == nil:
		r.server.book.RecordSuccess(e.Key)
		return
	case isNotRun(err):
		r.mayHaveRun--
		r.blame(plan, err)
	case errors.As(err, &unsent):
		r.mayHaveRun--
		r.server.book.RecordUnreachable(e.Key)
	case ctx.Err() != nil && !errors.Is(err, errStalled):
		return // the caller left or the time is over: nothing is learnt
	default:
		r.server.book.RecordFailure(e.Key)
	}
	r.server.logger.Warn().Str("request", r.request.ID).Str("endpoint", e.ID).Str("address", e.Address).
		Str("data_centre", e.DataCentre).Int("send", r.sends).Bool("begun", r.begun).Str("last_event", r.lastEvent).
		Err(err).Msg("An attempt failed.")
}

// blame notes which endpoint of a plan refused: the helper that is named, or the
// one that was asked.
func (r *run) blame(plan *placement.Plan, err error) {
	var refused *notRunError
	if errors.As(err, &refused) && refused.atFault != "" {
		for _, e := range plan.Endpoints[1:] {
			if e.ID == refused.atFault || e.Address == refused.atFault {
				r.server.book.RecordFailure(e.Key)
				return
			}
		}
	}
	r.server.book.RecordRefusal(plan.Endpoints[0].Key)
}

// deliver passes an answer on.
func (r *run) deliver(ctx context.Context, plan *placement.Plan, response *Response, cancel context.CancelFunc) error {
	defer response.Body.Close()
	if r.route.Kind == catalogue.Stream && response.isGood() {
		return r.deliverStream(ctx, plan, response, cancel)
	}
	return r.deliverPlain(plan, response, cancel)
}

func (r *run) begin(status int, header http.Header, length int64) {
	r.begun, r.status = true, status
	r.answer.WriteHeader(status, header, length)
}
