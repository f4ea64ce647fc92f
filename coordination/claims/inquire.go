package claims

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// findOut asks the gate of a claim what became of its attempt, and acts on it.
// The gate refuses an attempt that it has not seen from then on, so that "not
// run" stays true. cause is the failure that led here, if the attempt was ours.
func (k *Executor) findOut(ctx context.Context, request *Request, attempt, address, instance string, cause error) (*Answer, error) {
	asked := time.Now()
	for {
		response, err := k.inquire(ctx, attempt, address, instance)
		if err == nil {
			switch response.State {
			case wire.AttemptState_ATTEMPT_STATE_NEVER_SEEN, wire.AttemptState_ATTEMPT_STATE_REFUSED:
				k.settle(ctx, request, attempt, wire.ClaimState_CLAIM_STATE_NOT_RUN, nil)
				return nil, &roundOver{}
			case wire.AttemptState_ATTEMPT_STATE_DONE:
				return k.done(ctx, request, attempt, response, cause)
			case wire.AttemptState_ATTEMPT_STATE_UNKNOWN:
				k.settle(ctx, request, attempt, wire.ClaimState_CLAIM_STATE_UNKNOWN, nil)
				return nil, unknown(cause)
			}
		}
		running := err == nil
		if running && cause == nil && time.Since(asked) >= runningWait {
			return nil, inProgress()
		}
		if !running && time.Since(asked) >= inquireFor || !wait.For(ctx, retryPause) {
			return k.undecided(running, cause, err)
		}
	}
}

func (k *Executor) undecided(running bool, cause, err error) (*Answer, error) {
	if running {
		return nil, inProgress()
	}
	if cause == nil {
		cause = err
	}
	return nil, unknown(cause)
}

// done records and returns the outcome that the gate holds. A gate that knows
// the attempt ended but holds no answer leaves the outcome unknown.
func (k *Executor) done(ctx context.Context, request *Request, attempt string, response *wire.InquireResponse, cause error) (*Answer, error) {
	if response.Outcome == nil || response.Failure != nil {
		k.settle(ctx, request, attempt, wire.ClaimState_CLAIM_STATE_UNKNOWN, nil)
		return nil, unknown(cause)
	}
	k.settle(ctx, request, attempt, wire.ClaimState_CLAIM_STATE_DONE, response.Outcome)
	return &Answer{Outcome: response.Outcome, Replayed: cause == nil}, nil
}

func (k *Executor) inquire(ctx context.Context, attempt, address, instance string) (*wire.InquireResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	gate, err := k.gates.Gate(address)
	if err != nil {
		return nil, err
	}
	return gate.Inquire(ctx, &wire.InquireRequest{Attempt: attempt, RefuseIfUnseen: true, GateInstance: instance})
}
