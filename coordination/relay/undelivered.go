package relay

import (
	"context"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	inquireTimeout        = time.Second // for one Inquire call
	undeliveredRetryAfter = 500 * time.Millisecond
)

// confirmNotRun returns a *Refusal instead of outcome if the gate does not know
// the attempt and has recorded that it will refuse it from now on. In all other
// cases it returns outcome.
func (r *Relay) confirmNotRun(ctx context.Context, origin Origin, outcome error) error {
	var failed *attemptFailure
	if !errors.As(outcome, &failed) || status.Code(failed.cause) != codes.NotFound {
		return outcome
	}
	gate, err := r.gates.Gate(origin.GateAddress)
	if err != nil {
		return outcome
	}
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	answer, err := gate.Inquire(ctx, &wire.InquireRequest{
		Attempt:        origin.Attempt,
		RefuseIfUnseen: true,
		GateInstance:   origin.GateInstance,
	})
	if err != nil {
		return outcome
	}
	switch answer.State {
	case wire.AttemptState_ATTEMPT_STATE_NEVER_SEEN, wire.AttemptState_ATTEMPT_STATE_REFUSED:
		cause := fault.New(fault.Overloaded, "the attempt did not reach its gate").WithRetryAfter(undeliveredRetryAfter)
		return &Refusal{Cause: cause, Undelivered: true}
	}
	return outcome
}
