package relay

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/fleet"
)

// maxRefusals bounds the gates that one request is offered to.
const maxRefusals = 8

// Job is one request of a caller.
type Job struct {
	Route              routing.Request
	Open               *wire.AttemptOpen // all but the attempt and the gate
	Body               []byte
	FirstTokenDeadline time.Time // for streamed answers
	AnswerDeadline     time.Time
	// ReserveBytes takes more of the bound on bytes held, until the request ends; may be nil.
	ReserveBytes func(bytes int) error

	grown bool
}

// Sink takes an answer on its way to the caller.
type Sink interface {
	// Chunk takes the next part. An error means that the caller is gone.
	Chunk(origin Origin, sequence uint64, chunk *wire.Chunk) error
	// Reset forgets the parts taken. It reports false when some have already
	// gone to the caller.
	Reset() bool
}

// ConfigSource gives the configuration in force, or an error when it can't be shown to
// be current.
type ConfigSource interface {
	Current() (*fleet.View, error)
}

// Relay runs requests.
type Relay struct {
	gates  Gates
	views  ConfigSource
	router *routing.Router
	budget *RetryBudget
}

// New returns a relay.
func New(gates Gates, views ConfigSource, router *routing.Router, budget *RetryBudget) *Relay {
	return &Relay{gates: gates, views: views, router: router, budget: budget}
}

// NewAttemptID returns a random attempt identity.
func NewAttemptID() string { return rand.Text() }

// Do runs a repeatable request until it is answered, refused or failed. The
// context's cause is the error when the context ends first.
func (r *Relay) Do(ctx context.Context, job *Job, sink Sink) (*wire.End, Origin, error) {
	r.budget.Deposit()
	ctx, stop := context.WithDeadlineCause(ctx, job.AnswerDeadline, wholeTimeout())
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	first := firstTokenTimer(job, cancel)
	defer first.Stop()
	var past history
	for {
		end, origin, err := r.attempt(ctx, job, sink, first)
		if err == nil {
			return end, origin, nil
		}
		if ctx.Err() != nil {
			return nil, origin, context.Cause(ctx)
		}
		err = r.refuseLost(ctx, origin, err)
		past.add(err)
		if !r.mayRepeat(err, job, sink, past.refusals) {
			return nil, origin, past.reason(err)
		}
		if !unseen(err) {
			job.Route.Excluded = append(job.Route.Excluded, origin.Endpoint)
		}
	}
}

// unseen reports whether the attempt was lost on its way to the gate.
func unseen(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Undelivered
}

func wholeTimeout() error {
	return fault.New(fault.Timeout, "the answer was not whole by its deadline")
}

func firstTokenTimer(job *Job, cancel context.CancelCauseFunc) *time.Timer {
	left := time.Until(job.AnswerDeadline)
	if job.Open.Streamed && !job.FirstTokenDeadline.IsZero() {
		left = time.Until(job.FirstTokenDeadline)
	}
	return time.AfterFunc(left, func() {
		cancel(fault.New(fault.Timeout, "the answer had not begun by its deadline"))
	})
}

func (r *Relay) mayRepeat(err error, job *Job, sink Sink, refusals int) bool {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusals < maxRefusals
	}
	var failed *attemptFailure
	return errors.As(err, &failed) && job.Open.Repeatable && sink.Reset() && r.budget.TryWithdraw()
}

// history keeps the outcomes of a request's earlier attempts.
type history struct {
	refusals int
	refusal  error
	failure  error
}

func (h *history) add(err error) {
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

// reason is the error that the caller gets. A failure goes before a refusal: an
// attempt that may have run must not be covered by one that did not.
func (h *history) reason(err error) error {
	switch {
	case h.failure != nil:
		return h.failure
	case h.refusal != nil:
		return h.refusal
	}
	return err
}

// attemptFailure is the failure of an attempt that may have run.
type attemptFailure struct{ cause error }

func (f *attemptFailure) Error() string { return f.cause.Error() }
func (f *attemptFailure) Unwrap() error { return f.cause }

// attempt chooses an endpoint and runs one attempt there.
func (r *Relay) attempt(ctx context.Context, job *Job, sink Sink, first *time.Timer) (*wire.End, Origin, error) {
	choice, err := r.Choose(job)
	if err != nil {
		if text := r.longText(job, err); text != "" {
			return r.runGroup(ctx, job, text, sink, func() { first.Stop() })
		}
		return nil, Origin{}, err
	}
	return r.RunAt(ctx, choice, NewAttemptID(), job, sink, func() { first.Stop() })
}

// Choose picks an endpoint for a job's next attempt under the configuration in
// force now, which may have changed since the request came.
func (r *Relay) Choose(job *Job) (routing.Choice, error) {
	view, err := r.views.Current()
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

// OriginOf names the place of an attempt at a chosen endpoint.
func OriginOf(choice routing.Choice, attempt string, job *Job) Origin {
	return Origin{
		Endpoint:     choice.Endpoint.Name(),
		GateAddress:  choice.Endpoint.Report.GateAddress,
		GateInstance: choice.Endpoint.Report.GateInstance,
		Attempt:      attempt,
		Organisation: job.Open.Organisation,
	}
}

// RunAt runs one attempt at a chosen endpoint. began is called at the first chunk.
func (r *Relay) RunAt(ctx context.Context, choice routing.Choice, id string, job *Job, sink Sink, began func()) (*wire.End, Origin, error) {
	origin := OriginOf(choice, id, job)
	end, err := r.runAttempt(ctx, choice.Endpoint, choice.LongPrompt, origin, openFor(job, origin), job.Body, sink, began)
	return end, origin, err
}

func (r *Relay) runAttempt(ctx context.Context, endpoint *routing.Endpoint, long bool, origin Origin, open *wire.AttemptOpen, body []byte, sink Sink, began func()) (*wire.End, error) {
	own, id := endpoint.InFlight, origin.Attempt
	own.Start(id, open.PromptTokens, long)
	defer own.End(id)
	a := Start(ctx, r.gates, origin, open, body)
	if open.Repeatable {
		defer a.Close()
	} else {
		defer a.Detach() // it may be taking effect: its gate is asked what became of it
	}
	return ForwardAnswer(a, origin, sink, func() {
		own.FirstToken(id)
		began()
	})
}

func openFor(job *Job, origin Origin) *wire.AttemptOpen {
	o := job.Open
	firstTokenBy := job.FirstTokenDeadline
	if firstTokenBy.IsZero() {
		firstTokenBy = job.AnswerDeadline
	}
	return &wire.AttemptOpen{
		Attempt: origin.Attempt, Request: o.Request, Organisation: o.Organisation, GateInstance: origin.GateInstance,
		Model: o.Model, Method: o.Method, Path: o.Path, ContentType: o.ContentType,
		PromptTokens: o.PromptTokens, OutputTokens: o.OutputTokens, Priority: o.Priority,
		FirstTokenMs: millisUntil(firstTokenBy), WholeAnswerMs: millisUntil(job.AnswerDeadline),
		BodyBytes: uint64(len(job.Body)), Repeatable: o.Repeatable, Revision: o.Revision,
		PrefixBlocks: o.PrefixBlocks, Streamed: o.Streamed,
	}
}

func millisUntil(t time.Time) uint32 {
	return uint32(max(1, time.Until(t).Milliseconds()))
}

// ForwardAnswer passes an attempt's answer to the sink until its end.
func ForwardAnswer(a *Attempt, origin Origin, sink Sink, began func()) (*wire.End, error) {
	started := false
	for {
		down, err := a.Next()
		if err != nil {
			return nil, classify(err)
		}
		if end := down.GetEnd(); end != nil {
			return end, endFailure(end)
		}
		if !started {
			started = true
			began()
		}
		if err := sink.Chunk(origin, down.Sequence, down.GetChunk()); err != nil {
			return nil, err
		}
	}
}

func classify(err error) error {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return err
	}
	return &attemptFailure{cause: err}
}

// endFailure tells why an end is not a usable answer: the gate says so, or the
// endpoint answered that it could not serve.
func endFailure(end *wire.End) error {
	if end.Failure != nil {
		return &attemptFailure{cause: endCause(end)}
	}
	switch end.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusInsufficientStorage:
		return &attemptFailure{cause: fault.New(fault.EndpointFailed, "the endpoint answered %d", end.Status)}
	}
	return nil
}

// endCause is the gate's reason, of a kind that does not deny that it ran.
func endCause(end *wire.End) error {
	cause := fault.From(fault.FromWire(end.Failure))
	if end.MayHaveRun && (cause.Kind.NotRun() || !cause.Kind.Known()) {
		return fault.Wrap(cause, fault.EndpointFailed, "%s", cause.Message)
	}
	return cause
}
