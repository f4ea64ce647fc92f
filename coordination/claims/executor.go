// Package claims runs non-repeatable requests at most once. A claim on the
// caller's idempotency key is committed before anything is sent to a gate, and
// the outcome is recorded before the caller is answered.
package claims

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	maxRounds       = 8                      // claims made for one request
	claimTimeout    = 2 * time.Second        // for one call to control
	settleTimeout   = 3 * time.Second        // for all tries to record an outcome
	inquireTimeout  = time.Second            // for one question to a gate
	inquireFor      = 3 * time.Second        // for all questions about one attempt
	retryPause      = 100 * time.Millisecond // between tries
	runningWait     = 500 * time.Millisecond // for an attempt that runs at another's hand
	inProgressRetry = time.Second            // told to callers
	maxOutcomeBytes = 64 << 10
)

// Control records claims. Calls may fail with their outcome unknown.
type Control interface {
	Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimResponse, error)
	Settle(ctx context.Context, request *wire.SettleRequest) (*wire.SettleResponse, error)
}

// Runner runs one attempt to its end and holds its whole answer.
type Runner interface {
	// Run returns a *relay.Refusal when nothing ran. Any other error leaves open
	// whether the attempt ran.
	Run(ctx context.Context, choice routing.Choice, attempt string, job *relay.Job) (*wire.Outcome, error)
	// Choose picks an endpoint.
	Choose(job *relay.Job) (routing.Choice, error)
}

// Request is one non-repeatable request.
type Request struct {
	IdempotencyKey string
	Digest         []byte
	Job            *relay.Job
}

// Digest covers all that must be equal in a resent request.
func Digest(method, path string, body []byte) []byte {
	h := sha256.New()
	h.Write([]byte(method + "\n" + path + "\n"))
	h.Write(body)
	return h.Sum(nil)
}

// Answer is the outcome of a request; Replayed when an earlier sending ran it.
type Answer struct {
	Outcome  *wire.Outcome
	Endpoint string
	Replayed bool
}

// MayHaveRunError wraps an error whose kind would say that nothing ran, when an
// earlier sending under the same key may have.
type MayHaveRunError struct{ Cause error }

// Error implements error.
func (u *MayHaveRunError) Error() string { return u.Cause.Error() }

// Unwrap returns the error.
func (u *MayHaveRunError) Unwrap() error { return u.Cause }

// AttemptNotRunError wraps a refusal of one sending: it ran nothing and never will, but
// another one under the same key may, as a claim that was given back can be taken
// at any time.
type AttemptNotRunError struct{ Cause error }

// Error implements error.
func (n *AttemptNotRunError) Error() string { return n.Cause.Error() }

// Unwrap returns the error.
func (n *AttemptNotRunError) Unwrap() error { return n.Cause }

// Executor runs requests under claims.
type Executor struct {
	control Control
	gates   relay.Gates
	runner  Runner
}

// NewExecutor returns a keeper.
func NewExecutor(control Control, gates relay.Gates, runner Runner) *Executor {
	return &Executor{control: control, gates: gates, runner: runner}
}

// Run runs a request at most once for its key, or returns the recorded outcome.
// The context must end by the request's deadline and not with its caller.
func (k *Executor) Run(ctx context.Context, request *Request) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Job.AnswerDeadline)
	defer cancel()
	var refused error
	for range maxRounds {
		answer, err := k.round(ctx, request, refused)
		var again *roundOver
		if !errors.As(err, &again) {
			return answer, err
		}
		refused = again.cause
	}
	if refused != nil {
		return nil, &AttemptNotRunError{refused}
	}
	return nil, inProgress()
}

// roundOver asks for another claim; cause is a gate's refusal, if there was one.
type roundOver struct{ cause error }

func (r *roundOver) Error() string { return "claim again" }

func (k *Executor) round(ctx context.Context, request *Request, refused error) (*Answer, error) {
	choice, err := k.runner.Choose(request.Job)
	if err != nil {
		return k.withoutEndpoint(ctx, request, firstOf(refused, err))
	}
	attempt := relay.NewAttemptID()
	origin := relay.OriginOf(choice, attempt, request.Job)
	response, err := k.claim(ctx, request, origin)
	if err != nil {
		return nil, err
	}
	if response.Granted {
		return k.dispatch(ctx, request, choice, origin)
	}
	return k.existing(ctx, request, response.Existing)
}

func firstOf(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// withoutEndpoint answers when no endpoint can be chosen. Nothing runs now; an
// earlier sending of the same key may have.
func (k *Executor) withoutEndpoint(ctx context.Context, request *Request, cause error) (*Answer, error) {
	origin := relay.Origin{Attempt: relay.NewAttemptID(), Organisation: request.Job.Open.Organisation}
	response, err := k.claim(ctx, request, origin)
	if err != nil {
		return nil, err
	}
	if !response.Granted {
		return k.existing(ctx, request, response.Existing)
	}
	k.settle(ctx, request, origin.Attempt, wire.ClaimState_CLAIM_STATE_NOT_RUN, nil)
	return nil, &AttemptNotRunError{cause}
}

func (k *Executor) claim(ctx context.Context, request *Request, origin relay.Origin) (*wire.ClaimResponse, error) {
	message := &wire.ClaimRequest{
		Organisation:  origin.Organisation,
		Key:           request.IdempotencyKey,
		RequestDigest: request.Digest,
		Attempt:       origin.Attempt,
		GateInstance:  origin.GateInstance,
		GateAddress:   origin.GateAddress,
	}
	for {
		response, err := k.claimOnce(ctx, message)
		if err == nil && !mayPass(response.Failure) {
			return ownIsGranted(response, origin.Attempt), claimRefused(response.Failure)
		}
		if err == nil {
			err = fault.FromWire(response.Failure)
		}
		if !wait.For(ctx, retryPause) {
			return nil, &MayHaveRunError{fault.Wrap(err, fault.NotCurrent, "the claim could not be recorded").After(inProgressRetry)}
		}
	}
}

// claimRefused is control's reason. A key that was used for another request
// leaves open whether that one ran.
func claimRefused(f *wire.Failure) error {
	err := fault.FromWire(f)
	if f.GetKind() == string(fault.KeyReused) {
		return &MayHaveRunError{err}
	}
	return err
}

// ownIsGranted takes the answer to a claim that was made twice because the first
// answer was lost: the open claim that it finds is this request's own.
func ownIsGranted(response *wire.ClaimResponse, attempt string) *wire.ClaimResponse {
	existing := response.Existing
	if !response.Granted && existing.GetAttempt() == attempt && existing.State == wire.ClaimState_CLAIM_STATE_OPEN {
		return &wire.ClaimResponse{Granted: true}
	}
	return response
}

func (k *Executor) claimOnce(ctx context.Context, message *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return k.control.Claim(ctx, message)
}

// dispatch runs the attempt that the claim was granted for.
func (k *Executor) dispatch(ctx context.Context, request *Request, choice routing.Choice, origin relay.Origin) (*Answer, error) {
	outcome, err := k.runner.Run(ctx, choice, origin.Attempt, request.Job)
	var refusal *relay.Refusal
	switch {
	case err == nil:
		k.settle(ctx, request, origin.Attempt, wire.ClaimState_CLAIM_STATE_DONE, outcome)
		return &Answer{Outcome: outcome, Endpoint: origin.Endpoint}, nil
	case errors.As(err, &refusal):
		request.Job.Route.Excluded = append(request.Job.Route.Excluded, origin.Endpoint)
		k.settle(ctx, request, origin.Attempt, wire.ClaimState_CLAIM_STATE_NOT_RUN, nil)
		return nil, &roundOver{cause: refusal.Cause}
	}
	return k.findOut(ctx, request, origin.Attempt, origin.GateAddress, origin.GateInstance, err)
}

// existing answers from the claim of an earlier sending.
func (k *Executor) existing(ctx context.Context, request *Request, record *wire.ClaimRecord) (*Answer, error) {
	if !bytes.Equal(record.GetRequestDigest(), request.Digest) {
		return nil, &MayHaveRunError{fault.New(fault.KeyReused, "the idempotency key was used for another request")}
	}
	switch record.State {
	case wire.ClaimState_CLAIM_STATE_DONE:
		return &Answer{Outcome: record.Outcome, Replayed: true}, nil
	case wire.ClaimState_CLAIM_STATE_UNKNOWN:
		return nil, unknown(nil)
	case wire.ClaimState_CLAIM_STATE_NOT_RUN:
		return nil, &roundOver{}
	}
	if record.GateAddress == "" { // made without an endpoint, so never dispatched
		k.settle(ctx, request, record.Attempt, wire.ClaimState_CLAIM_STATE_NOT_RUN, nil)
		return nil, &roundOver{}
	}
	return k.findOut(ctx, request, record.Attempt, record.GateAddress, record.GateInstance, nil)
}

// settle records what became of an attempt, as far as control can be reached.
// When it can't, the claim stays open and a resend asks the gate.
func (k *Executor) settle(ctx context.Context, request *Request, attempt string, state wire.ClaimState, outcome *wire.Outcome) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	message := &wire.SettleRequest{
		Organisation: request.Job.Open.Organisation,
		Key:          request.IdempotencyKey,
		Attempt:      attempt,
		State:        state,
		Outcome:      bounded(outcome),
	}
	for {
		response, err := k.control.Settle(ctx, message)
		if err == nil && !mayPass(response.Failure) {
			return response.Failure == nil
		}
		if !wait.For(ctx, retryPause) {
			return false
		}
	}
}

// mayPass reports whether a call to control is to be made again. A claim and its
// settlement name their attempt, so a first one that was carried out after all
// does no harm.
func mayPass(f *wire.Failure) bool {
	switch fault.Kind(f.GetKind()) {
	case fault.NotLeader, fault.NotCurrent, fault.OutcomeUnknown:
		return true
	}
	return false
}

// bounded is the outcome as it is recorded: without a body that is too long.
func bounded(outcome *wire.Outcome) *wire.Outcome {
	if len(outcome.GetBody()) <= maxOutcomeBytes {
		return outcome
	}
	return &wire.Outcome{Status: outcome.Status, ContentType: outcome.ContentType, Truncated: true}
}

func inProgress() error {
	return fault.New(fault.InProgress, "a request with this idempotency key is running").After(inProgressRetry)
}

func unknown(cause error) error {
	if cause != nil {
		return fault.Wrap(cause, fault.OutcomeUnknown, "it is not known whether the request took effect")
	}
	return fault.New(fault.OutcomeUnknown, "it is not known whether the request took effect")
}
