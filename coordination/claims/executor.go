// Package claims runs non-repeatable requests at most once. It commits a claim
// on the caller's idempotency key before anything is sent to a gate, and
// records the outcome before the caller gets the answer.
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
	maxClaims          = 8                      // for one request; each attempt that did not run is followed by another claim
	claimTimeout       = 2 * time.Second        // for one Claim call
	settleTimeout      = 3 * time.Second        // for recording one outcome, including retries
	inquireCallTimeout = time.Second            // for one Inquire call
	inquireLimit       = 3 * time.Second        // for asking a gate that does not answer, including retries
	retryInterval      = 100 * time.Millisecond // between retries
	inProgressWait     = 500 * time.Millisecond // wait for an attempt that another request with the same key has started
	claimRetryAfter    = time.Second            // for callers, while another request runs under the key or the claim cannot be confirmed
	maxOutcomeBytes    = 64 << 10               // longer bodies are not recorded
)

// Control stores claims in the control group. A call may fail after it has
// taken effect.
type Control interface {
	Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimResponse, error)
	Settle(ctx context.Context, request *wire.SettleRequest) (*wire.SettleResponse, error)
}

// Runner chooses endpoints and runs single attempts.
type Runner interface {
	// Run runs one attempt to its end and returns its whole answer. It returns
	// a *relay.Refusal if nothing ran. After any other error the attempt may
	// have run.
	Run(ctx context.Context, choice routing.Choice, attempt string, job *relay.Job) (*wire.Outcome, error)
	// Choose selects an endpoint.
	Choose(job *relay.Job) (routing.Choice, error)
}

// Request is a non-repeatable request.
type Request struct {
	IdempotencyKey string
	Digest         []byte
	Job            *relay.Job
}

// Digest returns a hash of everything that must be equal when a request is
// resent under the same key.
func Digest(method, path string, body []byte) []byte {
	h := sha256.New()
	h.Write([]byte(method + "\n" + path + "\n"))
	h.Write(body)
	return h.Sum(nil)
}

// Answer is the outcome of a request. Replayed is set if an earlier request
// with the same key ran it.
type Answer struct {
	Outcome  *wire.Outcome
	Endpoint string
	Replayed bool
}

// MayHaveRunError wraps an error whose kind would say that nothing ran,
// although an earlier request with the same key may have run.
type MayHaveRunError struct{ Cause error }

// Error implements error.
func (e *MayHaveRunError) Error() string { return e.Cause.Error() }

// Unwrap returns the wrapped error.
func (e *MayHaveRunError) Unwrap() error { return e.Cause }

// AttemptNotRunError wraps the error of a request that no gate ran and none
// will run: a gate's refusal or the router's error. Another request with the
// same key may run, because a claim that is recorded as not run can be made
// again at any time.
type AttemptNotRunError struct{ Cause error }

// Error implements error.
func (e *AttemptNotRunError) Error() string { return e.Cause.Error() }

// Unwrap returns the wrapped error.
func (e *AttemptNotRunError) Unwrap() error { return e.Cause }

// Executor runs requests under claims.
type Executor struct {
	control Control
	gates   relay.Gates
	runner  Runner
}

// NewExecutor returns an executor.
func NewExecutor(control Control, gates relay.Gates, runner Runner) *Executor {
	return &Executor{control: control, gates: gates, runner: runner}
}

// Run runs a request at most once for its key, or returns the recorded outcome
// of an earlier request. ctx must end by the request's deadline and must not end
// when the caller disconnects.
func (e *Executor) Run(ctx context.Context, request *Request) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, request.Job.AnswerDeadline)
	defer cancel()
	var refused error
	for range maxClaims {
		answer, err := e.claimAndRun(ctx, request, refused)
		var again *claimAgainError
		if !errors.As(err, &again) {
			return answer, err
		}
		refused = again.cause
	}
	if refused != nil {
		return nil, &AttemptNotRunError{refused}
	}
	return nil, inProgressError()
}

// claimAgainError asks for another claim. cause is a gate's refusal, if there
// was one.
type claimAgainError struct{ cause error }

func (e *claimAgainError) Error() string { return "another claim is needed" }

// claimAndRun chooses an endpoint, makes one claim and runs the attempt if the
// claim is granted. refused is the refusal of the previous claim's attempt, if
// there was one. If no endpoint is left, the caller gets that refusal instead
// of the router's error.
func (e *Executor) claimAndRun(ctx context.Context, request *Request, refused error) (*Answer, error) {
	choice, err := e.runner.Choose(request.Job)
	if err != nil {
		return e.answerWithoutEndpoint(ctx, request, firstNonNil(refused, err))
	}
	attempt := relay.NewAttemptID()
	origin := relay.OriginOf(choice, attempt, request.Job)
	response, err := e.claim(ctx, request, origin)
	if err != nil {
		return nil, err
	}
	if response.Granted {
		return e.dispatch(ctx, request, choice, origin)
	}
	return e.answerFromClaim(ctx, request, response.Existing)
}

// firstNonNil returns a unless it is nil, else b.
func firstNonNil(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// answerWithoutEndpoint answers when no endpoint can be chosen. Nothing runs
// for this request, but an earlier request with the same key may have run. The
// claim shows whether there was one.
func (e *Executor) answerWithoutEndpoint(ctx context.Context, request *Request, cause error) (*Answer, error) {
	origin := relay.Origin{Attempt: relay.NewAttemptID(), Organisation: request.Job.Open.Organisation}
	response, err := e.claim(ctx, request, origin)
	if err != nil {
		return nil, err
	}
	if !response.Granted {
		return e.answerFromClaim(ctx, request, response.Existing)
	}
	e.settle(ctx, request, origin.Attempt, wire.ClaimState_CLAIM_STATE_NOT_RUN, nil)
	return nil, &AttemptNotRunError{cause}
}

// claim makes a claim, and retries it until ctx ends if control cannot answer.
// When ctx ends, it is unknown whether the claim was recorded.
func (e *Executor) claim(ctx context.Context, request *Request, origin relay.Origin) (*wire.ClaimResponse, error) {
	message := &wire.ClaimRequest{
		Organisation:  origin.Organisation,
		Key:           request.IdempotencyKey,
		RequestDigest: request.Digest,
		Attempt:       origin.Attempt,
		GateInstance:  origin.GateInstance,
		GateAddress:   origin.GateAddress,
	}
	for {
		response, err := e.claimOnce(ctx, message)
		if err == nil && !isRetryable(response.Failure) {
			return acceptOwnClaim(response, origin.Attempt), claimError(response.Failure)
		}
		if err == nil {
			err = fault.FromWire(response.Failure)
		}
		if !wait.For(ctx, retryInterval) {
			return nil, &MayHaveRunError{fault.Wrap(err, fault.NotCurrent, "the claim could not be confirmed").WithRetryAfter(claimRetryAfter)}
		}
	}
}

// claimError returns the reason why control refused the claim. If the key was
// used for another request, that request may have run.
func claimError(f *wire.Failure) error {
	err := fault.FromWire(f)
	if f.GetKind() == string(fault.KeyReused) {
		return &MayHaveRunError{err}
	}
	return err
}

// acceptOwnClaim grants a claim that was retried because the first answer was
// lost. The retry finds the open claim of the same attempt.
func acceptOwnClaim(response *wire.ClaimResponse, attempt string) *wire.ClaimResponse {
	existing := response.Existing
	if !response.Granted && existing.GetAttempt() == attempt && existing.State == wire.ClaimState_CLAIM_STATE_OPEN {
		return &wire.ClaimResponse{Granted: true}
	}
	return response
}

func (e *Executor) claimOnce(ctx context.Context, message *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return e.control.Claim(ctx, message)
}

// dispatch runs the attempt for which the claim was granted, and records the
// outcome.
func (e *Executor) dispatch(ctx context.Context, request *Request, choice routing.Choice, origin relay.Origin) (*Answer, error) {
	outcome, err := e.runner.Run(ctx, choice, origin.Attempt, request.Job)
	var refusal *relay.Refusal
	switch {
	case err == nil:
		e.settle(ctx, request, origin.Attempt, wire.ClaimState_CLAIM_STATE_DONE, outcome)
		return &Answer{Outcome: outcome, Endpoint: origin.Endpoint}, nil
	case errors.As(err, &refusal):
		request.Job.Route.Excluded = append(request.Job.Route.Excluded, origin.Endpoint)
		e.settle(ctx, request, origin.Attempt, wire.ClaimState_CLAIM_STATE_NOT_RUN, nil)
		return nil, &claimAgainError{cause: refusal.Cause}
	}
	return e.resolveOutcome(ctx, request, origin.Attempt, origin.GateAddress, origin.GateInstance, err)
}

// answerFromClaim answers from the claim of an earlier request.
func (e *Executor) answerFromClaim(ctx context.Context, request *Request, record *wire.ClaimRecord) (*Answer, error) {
	if !bytes.Equal(record.GetRequestDigest(), request.Digest) {
		return nil, &MayHaveRunError{fault.New(fault.KeyReused, "the idempotency key was already used for a different request")}
	}
	switch record.State {
	case wire.ClaimState_CLAIM_STATE_DONE:
		return &Answer{Outcome: record.Outcome, Replayed: true}, nil
	case wire.ClaimState_CLAIM_STATE_UNKNOWN:
		return nil, outcomeUnknownError(nil)
	case wire.ClaimState_CLAIM_STATE_NOT_RUN:
		return nil, &claimAgainError{}
	}
	if record.GateAddress == "" { // claimed without an endpoint, so never dispatched
		e.settle(ctx, request, record.Attempt, wire.ClaimState_CLAIM_STATE_NOT_RUN, nil)
		return nil, &claimAgainError{}
	}
	return e.resolveOutcome(ctx, request, record.Attempt, record.GateAddress, record.GateInstance, nil)
}

// settle records the result of an attempt, with retries for up to
// settleTimeout. If that fails, the claim stays open, and a resent request asks
// the gate for the result.
func (e *Executor) settle(ctx context.Context, request *Request, attempt string, state wire.ClaimState, outcome *wire.Outcome) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	message := &wire.SettleRequest{
		Organisation: request.Job.Open.Organisation,
		Key:          request.IdempotencyKey,
		Attempt:      attempt,
		State:        state,
		Outcome:      withoutLargeBody(outcome),
	}
	for {
		response, err := e.control.Settle(ctx, message)
		if err == nil && !isRetryable(response.Failure) {
			return response.Failure == nil
		}
		if !wait.For(ctx, retryInterval) {
			return false
		}
	}
}

// isRetryable reports whether a call to control should be retried after f.
// Retries are safe, because Claim and Settle calls name their attempt: it does
// no harm if an earlier call took effect after all.
func isRetryable(f *wire.Failure) bool {
	switch fault.Kind(f.GetKind()) {
	case fault.NotLeader, fault.NotCurrent, fault.OutcomeUnknown:
		return true
	}
	return false
}

// withoutLargeBody returns the outcome to record, without its body if that
// exceeds maxOutcomeBytes.
func withoutLargeBody(outcome *wire.Outcome) *wire.Outcome {
	if len(outcome.GetBody()) <= maxOutcomeBytes {
		return outcome
	}
	return &wire.Outcome{Status: outcome.Status, ContentType: outcome.ContentType, Truncated: true}
}

func inProgressError() error {
	return fault.New(fault.InProgress, "a request with this idempotency key is running").WithRetryAfter(claimRetryAfter)
}

func outcomeUnknownError(cause error) error {
	if cause != nil {
		return fault.Wrap(cause, fault.OutcomeUnknown, "it is unknown whether the request took effect")
	}
	return fault.New(fault.OutcomeUnknown, "it is unknown whether the request took effect")
}
