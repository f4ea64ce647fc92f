package gate

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Inquire returns the state and outcome of an attempt. The state is UNKNOWN
// when the request names another gate instance. With RefuseIfUnseen, an attempt
// that has not arrived yet is refused when it does.
func (g *Gate) Inquire(request *wire.InquireRequest) *wire.InquireResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	if request.GateInstance != "" && request.GateInstance != g.instance {
		return &wire.InquireResponse{State: wire.AttemptState_ATTEMPT_STATE_UNKNOWN}
	}
	rec := g.records.get(request.Attempt)
	if rec == nil && !request.RefuseIfUnseen {
		return &wire.InquireResponse{State: wire.AttemptState_ATTEMPT_STATE_NEVER_SEEN}
	}
	if rec == nil {
		rec = g.records.add(request.Attempt, wire.AttemptState_ATTEMPT_STATE_REFUSED, time.Now())
		rec.failure = fault.ToWire(fault.New(fault.Overloaded, "attempt did not arrive in time").WithRetryAfter(shortRetryAfter))
	}
	return &wire.InquireResponse{State: rec.state, Outcome: rec.outcome, Failure: rec.failure}
}

// FindAttempt returns an attempt whose answer is still kept. The error is
// NotFound when it is not, and OutcomeUnknown when this gate instance is not
// the requested one.
func (g *Gate) FindAttempt(request *wire.ResumeRequest) (*Attempt, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if request.GateInstance != "" && request.GateInstance != g.instance {
		return nil, fault.New(fault.OutcomeUnknown, "this gate was restarted")
	}
	rec := g.records.get(request.Attempt)
	if rec == nil || rec.attempt == nil || rec.attempt.open.Organisation != request.Organisation {
		return nil, fault.New(fault.NotFound, "answer of the attempt is not kept")
	}
	return rec.attempt, nil
}

// Cancel ends an attempt. An unknown attempt ID is ignored.
func (g *Gate) Cancel(attempt string) {
	g.mu.Lock()
	var found *Attempt
	if rec := g.records.get(attempt); rec != nil {
		found = rec.attempt
	}
	g.mu.Unlock()
	if found != nil {
		found.Cancel()
	}
}

// Drain refuses new work and waits until no attempt is active or ctx ends. It
// reports whether all attempts have ended.
func (g *Gate) Drain(ctx context.Context) bool {
	g.StopAdmitting()
	for g.ActiveAttempts() > 0 {
		if ctx.Err() != nil {
			return false
		}
		wait.For(ctx, busyTickInterval)
	}
	return true
}

// AwaitReaders waits until no reader is left or ctx ends, so that the last part
// of every answer is sent before the process stops.
func (g *Gate) AwaitReaders(ctx context.Context) {
	for g.readers() > 0 && ctx.Err() == nil {
		wait.For(ctx, busyTickInterval)
	}
}

func (g *Gate) readers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, rec := range g.records.order {
		if rec.attempt != nil {
			n += rec.attempt.readers
		}
	}
	return n
}
