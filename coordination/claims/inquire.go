package claims

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/httpstatus"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// resolveOutcome asks the gate of a claim for the result of its attempt,
// records it and returns the answer. RefuseIfUnseen makes the gate refuse the
// attempt if it arrives later, so that a result of "not run" stays true. cause
// is the error of the attempt if this request started it, else nil.
func (e *Executor) resolveOutcome(ctx context.Context, request *Request, attempt, address, instance string, cause error) (*Answer, error) {
	startedAt := time.Now()
	for {
		response, err := e.inquire(ctx, attempt, address, instance)
		if err == nil {
			switch response.State {
			case wire.AttemptState_ATTEMPT_STATE_NEVER_SEEN, wire.AttemptState_ATTEMPT_STATE_REFUSED:
				e.settle(ctx, request, attempt, wire.ClaimState_CLAIM_STATE_NOT_RUN, nil)
				return nil, &claimAgainError{}
			case wire.AttemptState_ATTEMPT_STATE_DONE:
				return e.recordDone(ctx, request, attempt, response, cause)
			case wire.AttemptState_ATTEMPT_STATE_UNKNOWN:
				e.settle(ctx, request, attempt, wire.ClaimState_CLAIM_STATE_UNKNOWN, nil)
				return nil, outcomeUnknownError(cause)
			}
		}
		running := err == nil
		if running && cause == nil && time.Since(startedAt) >= inProgressWait {
			return nil, inProgressError()
		}
		if !running && time.Since(startedAt) >= inquireLimit || !wait.For(ctx, retryInterval) {
			return e.unresolvedError(running, cause, err)
		}
	}
}

// unresolvedError returns the error for an attempt whose result the gate did
// not give in time.
func (e *Executor) unresolvedError(running bool, cause, err error) (*Answer, error) {
	if running {
		return nil, inProgressError()
	}
	if cause == nil {
		cause = err
	}
	return nil, outcomeUnknownError(cause)
}

// recordDone records and returns the outcome that the gate holds. If the
// attempt has ended but the gate holds no answer, the outcome is unknown.
func (e *Executor) recordDone(ctx context.Context, request *Request, attempt string, response *wire.InquireResponse, cause error) (*Answer, error) {
	if response.Failure != nil || !httpstatus.IsFinal(int(response.Outcome.GetStatus())) {
		e.settle(ctx, request, attempt, wire.ClaimState_CLAIM_STATE_UNKNOWN, nil)
		return nil, outcomeUnknownError(cause)
	}
	e.settle(ctx, request, attempt, wire.ClaimState_CLAIM_STATE_DONE, response.Outcome)
	return &Answer{Outcome: response.Outcome, Replayed: cause == nil}, nil
}

func (e *Executor) inquire(ctx context.Context, attempt, address, instance string) (*wire.InquireResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, inquireCallTimeout)
	defer cancel()
	gate, err := e.gates.Gate(address)
	if err != nil {
		return nil, err
	}
	return gate.Inquire(ctx, &wire.InquireRequest{Attempt: attempt, RefuseIfUnseen: true, GateInstance: instance})
}
