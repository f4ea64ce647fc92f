package claims

import (
	"context"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// lossyControl commits every claim and outcome, and drops the first answers to
// claims.
type lossyControl struct {
	answersToDrop int
	claimed       string
	settled       wire.ClaimState
}

func (c *lossyControl) dropAnswer() *wire.Failure {
	if c.answersToDrop == 0 {
		return nil
	}
	c.answersToDrop--
	return fault.ToWire(fault.New(fault.OutcomeUnknown, "the leader did not answer"))
}

func (c *lossyControl) Claim(_ context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	granted := c.claimed == ""
	if granted {
		c.claimed = r.Attempt
	}
	if f := c.dropAnswer(); f != nil {
		return &wire.ClaimResponse{Failure: f}, nil
	}
	return &wire.ClaimResponse{Granted: granted, Existing: &wire.ClaimRecord{Attempt: c.claimed}}, nil
}

func (c *lossyControl) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleResponse, error) {
	c.settled = r.State
	return &wire.SettleResponse{}, nil
}

type countingRunner struct{ runs int }

func (r *countingRunner) Choose(*relay.Job) (routing.Choice, error) {
	return routing.Choice{Endpoint: &routing.Endpoint{Report: &wire.GateReport{}}}, nil
}

func (r *countingRunner) Run(context.Context, routing.Choice, string, *relay.Job) (*wire.Outcome, error) {
	r.runs++
	return &wire.Outcome{Status: 201}, nil
}

// If a leader fails while it commits a claim, it is unknown whether the claim
// is recorded. Nothing has been dispatched yet, so the request makes the claim
// again instead of failing.
func TestClaimIsRetriedAfterLostAnswer(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		control, runner := &lossyControl{answersToDrop: 2}, &countingRunner{}
		job := &relay.Job{Open: &wire.AttemptOpen{}, AnswerDeadline: time.Now().Add(time.Minute)}
		answer, err := NewExecutor(control, nil, runner).Run(t.Context(), &Request{IdempotencyKey: "k", Job: job})
		if err != nil || answer.Outcome.Status != 201 || runner.runs != 1 {
			t.Fatalf("answer %v, %v after %d runs", answer, err, runner.runs)
		}
		if control.settled != wire.ClaimState_CLAIM_STATE_DONE {
			t.Errorf("settled as %v", control.settled)
		}
	})
}
