package relay

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/httpstatus"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/fleet"
)

// maxRefusals is the number of refusals after which a request is not offered to
// a further gate.
const maxRefusals = 8

// Job is one request of a caller with its deadlines.
type Job struct {
	Route              routing.Request
	Open               *wire.AttemptOpen // a template: Relay fills in the attempt, the gate and the times
	Body               []byte
	FirstTokenDeadline time.Time // zero for none; applies to streamed answers
	AnswerDeadline     time.Time // for the end of the answer
	// ReserveBytes counts more memory for this request until it ends, or
	// returns an error if the limit is reached. It may be nil.
	ReserveBytes func(bytes int) error

	bytesReserved bool
}

// Sink receives an answer on its way to the caller.
type Sink interface {
	// Chunk passes on the next chunk. An error means that the caller is gone.
	Chunk(origin Origin, sequence uint64, chunk *wire.Chunk) error
	// Reset discards the chunks received so far, so that the answer can start
	// again. It returns false if that is not possible, for example because
	// chunks have already been sent to the caller.
	Reset() bool
}

// ConfigSource returns the configuration in force, or an error if the
// configuration cannot be shown to be current.
type ConfigSource interface {
	Current() (*fleet.View, error)
}

// Relay routes requests to gates and forwards their answers.
type Relay struct {
	gates  Gates
	config ConfigSource
	router *routing.Router
	budget *RetryBudget
}

// New returns a Relay. All requests of an entry share its budget.
func New(gates Gates, config ConfigSource, router *routing.Router, budget *RetryBudget) *Relay {
	return &Relay{gates: gates, config: config, router: router, budget: budget}
}

// NewAttemptID returns a random attempt identifier.
func NewAttemptID() string { return rand.Text() }

// Do runs a repeatable request, with retries at other endpoints, until it is
// answered, refused or failed. If the context ends first, the error is the
// context's cause.
func (r *Relay) Do(ctx context.Context, job *Job, sink Sink) (*wire.End, Origin, error) {
	r.budget.Deposit()
	ctx, stop := context.WithDeadlineCause(ctx, job.AnswerDeadline, answerTimeout())
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	firstTimer := firstTokenTimer(job, cancel)
	defer firstTimer.Stop()
	var earlier attemptHistory
	for {
		end, origin, err := r.chooseAndRun(ctx, job, sink, firstTimer)
		if err == nil {
			return end, origin, nil
		}
		if ctx.Err() != nil {
			return nil, origin, context.Cause(ctx)
		}
		err = r.confirmNotRun(ctx, origin, err)
		earlier.add(err)
		if !r.mayRetry(err, job, sink, earlier.refusals) {
			return nil, origin, earlier.finalError(err)
		}
		// A gate that the attempt did not reach stays eligible.
		if !undelivered(err) {
			job.Route.Excluded = append(job.Route.Excluded, origin.Endpoint)
		}
	}
}

// undelivered reports whether the attempt did not reach its gate.
func undelivered(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Undelivered
}

func answerTimeout() error {
	return fault.New(fault.Timeout, "the answer was not complete by its deadline")
}

func firstTokenTimer(job *Job, cancel context.CancelCauseFunc) *time.Timer {
	left := time.Until(job.AnswerDeadline)
	if job.Open.Streamed && !job.FirstTokenDeadline.IsZero() {
		left = time.Until(job.FirstTokenDeadline)
	}
	return time.AfterFunc(left, func() {
		cancel(fault.New(fault.Timeout, "the first token did not arrive by its deadline"))
	})
}

// mayRetry reports whether a request may be sent again after err. A retry after
// a failure needs a repeatable request, an answer of which nothing has reached
// the caller, and a retry from the budget. A retry after a refusal needs none
// of these, but refusals are limited to maxRefusals.
func (r *Relay) mayRetry(err error, job *Job, sink Sink, refusals int) bool {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusals < maxRefusals
	}
	var failed *attemptFailure
	return errors.As(err, &failed) && job.Open.Repeatable && sink.Reset() && r.budget.TryWithdraw()
}

// attemptHistory keeps the results of a request's earlier attempts.
type attemptHistory struct {
	refusals int
	refusal  error
	failure  error
}

func (h *attemptHistory) add(err error) {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		h.refusals++
		h.refusal = refusal.Cause
	}
	var failed *attemptFailure
	if errors.As(err, &failed) {
		h.failure = failed.cause
	}
}

// finalError returns the error for the caller. A failure takes precedence over
// a refusal: an attempt that may have run must not be reported as one that did
// not.
func (h *attemptHistory) finalError(err error) error {
	switch {
	case h.failure != nil:
		return h.failure
	case h.refusal != nil:
		return h.refusal
	}
	return err
}

// attemptFailure is the error of an attempt that may have run.
type attemptFailure struct{ cause error }

func (f *attemptFailure) Error() string { return f.cause.Error() }
func (f *attemptFailure) Unwrap() error { return f.cause }

// chooseAndRun chooses an endpoint, or a group if no endpoint has the memory
// for the prompt, and runs one attempt there.
func (r *Relay) chooseAndRun(ctx context.Context, job *Job, sink Sink, firstTimer *time.Timer) (*wire.End, Origin, error) {
	choice, err := r.Choose(job)
	if err != nil {
		if text := r.groupPrompt(job, err); text != "" {
			return r.runGroup(ctx, job, text, sink, func() { firstTimer.Stop() })
		}
		return nil, Origin{}, err
	}
	return r.RunAt(ctx, choice, NewAttemptID(), job, sink, func() { firstTimer.Stop() })
}

// Choose selects an endpoint for a job's next attempt. It uses the
// configuration in force now, which may have changed since the request arrived.
func (r *Relay) Choose(job *Job) (routing.Choice, error) {
	view, err := r.config.Current()
	if err != nil {
		return routing.Choice{}, err
	}
	job.Route.View = view
	job.Route.Now = time.Now()
	job.Open.Revision = view.Revision()
	if job.Route.FirstTokenTimeout > 0 {
		job.Route.FirstTokenTimeout = max(time.Millisecond, time.Until(job.FirstTokenDeadline))
	}
	return r.router.Choose(&job.Route)
}

// OriginOf returns the origin of an attempt at a chosen endpoint.
func OriginOf(choice routing.Choice, attempt string, job *Job) Origin {
	return Origin{
		Endpoint:     choice.Endpoint.Name(),
		GateAddress:  choice.Endpoint.Report.GateAddress,
		GateInstance: choice.Endpoint.Report.GateInstance,
		Attempt:      attempt,
		Organisation: job.Open.Organisation,
	}
}

// RunAt runs one attempt at a chosen endpoint. It calls onFirstChunk when the
// first chunk arrives.
func (r *Relay) RunAt(ctx context.Context, choice routing.Choice, id string, job *Job, sink Sink, onFirstChunk func()) (*wire.End, Origin, error) {
	origin := OriginOf(choice, id, job)
	end, err := r.runAttempt(ctx, choice.Endpoint, choice.LongPrompt, origin, newAttemptOpen(job, origin), job.Body, sink, onFirstChunk)
	return end, origin, err
}

func (r *Relay) runAttempt(ctx context.Context, endpoint *routing.Endpoint, long bool, origin Origin, open *wire.AttemptOpen, body []byte, sink Sink, onFirstChunk func()) (*wire.End, error) {
	inFlight, id := endpoint.InFlight, origin.Attempt
	inFlight.Start(id, open.PromptTokens, long)
	defer inFlight.End(id)
	a := Start(ctx, r.gates, origin, open, body)
	if open.Repeatable {
		defer a.Close()
	} else {
		defer a.Detach() // the attempt may be taking effect; its gate is asked for the result
	}
	return ForwardAnswer(a, origin, sink, func() {
		inFlight.FirstToken(id)
		onFirstChunk()
	})
}

// newAttemptOpen completes the job's template for one attempt. Deadlines are
// sent as the milliseconds left.
func newAttemptOpen(job *Job, origin Origin) *wire.AttemptOpen {
	o := job.Open
	firstTokenDeadline := job.FirstTokenDeadline
	if firstTokenDeadline.IsZero() {
		firstTokenDeadline = job.AnswerDeadline
	}
	return &wire.AttemptOpen{
		Attempt: origin.Attempt, Request: o.Request, Organisation: o.Organisation, GateInstance: origin.GateInstance,
		Model: o.Model, Method: o.Method, Path: o.Path, ContentType: o.ContentType,
		PromptTokens: o.PromptTokens, OutputTokens: o.OutputTokens, Priority: o.Priority,
		FirstTokenMs: millisUntil(firstTokenDeadline), WholeAnswerMs: millisUntil(job.AnswerDeadline),
		BodyBytes: uint64(len(job.Body)), Repeatable: o.Repeatable, Revision: o.Revision,
		PrefixBlocks: o.PrefixBlocks, Streamed: o.Streamed,
	}
}

func millisUntil(t time.Time) uint32 {
	return uint32(max(1, time.Until(t).Milliseconds()))
}

// ForwardAnswer passes an attempt's answer to the sink until the answer ends.
// It calls onFirstChunk before it passes the first chunk.
func ForwardAnswer(a *Attempt, origin Origin, sink Sink, onFirstChunk func()) (*wire.End, error) {
	started := false
	for {
		down, err := a.Next()
		if err != nil {
			return nil, asAttemptFailure(err)
		}
		if end := down.GetEnd(); end != nil {
			return end, endError(end)
		}
		if !started {
			started = true
			onFirstChunk()
		}
		if err := sink.Chunk(origin, down.Sequence, down.GetChunk()); err != nil {
			return nil, err
		}
	}
}

// asAttemptFailure wraps every error but a refusal as an attemptFailure.
func asAttemptFailure(err error) error {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return err
	}
	return &attemptFailure{cause: err}
}

// endError returns an error if the end is not a usable answer: the gate reports
// a failure, or the endpoint answered with a status that says that it could not
// serve the request.
func endError(end *wire.End) error {
	if end.Failure != nil {
		return &attemptFailure{cause: endCause(end)}
	}
	if !httpstatus.IsFinal(int(end.Status)) {
		return &attemptFailure{cause: fault.New(fault.EndpointFailed, "the endpoint answered with status %d, which no answer has", end.Status)}
	}
	switch end.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusInsufficientStorage:
		return &attemptFailure{cause: fault.New(fault.EndpointFailed, "the endpoint answered %d", end.Status)}
	}
	return nil
}

// endCause returns the gate's reason. If the attempt may have run, a kind that
// says that nothing ran becomes EndpointFailed, as does an unknown kind.
func endCause(end *wire.End) error {
	cause := fault.From(fault.FromWire(end.Failure))
	if end.MayHaveRun && (cause.Kind.NotRun() || !cause.Kind.Known()) {
		return fault.Wrap(cause, fault.EndpointFailed, "%s", cause.Message)
	}
	return cause
}
