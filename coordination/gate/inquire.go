package gate

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Inquire tells what became of an attempt.
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
		rec.failure = fault.ToWire(fault.New(fault.Overloaded, "attempt did not arrive in time").After(retrySoon))
	}
	return &wire.InquireResponse{State: rec.state, Outcome: rec.outcome, Failure: rec.failure}
}

// FindAttempt returns an attempt whose answer is still kept.
func (g *Gate) FindAttempt(request *wire.ResumeRequest) (*Attempt, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if request.GateInstance != "" && request.GateInstance != g.instance {
		return nil, fault.New(fault.OutcomeUnknown, "this gate was restarted")
	}
	rec := g.records.get(request.Attempt)
	if rec == nil || rec.attempt == nil || rec.attempt.open.Organisation != request.Organisation {
		return nil, fault.New(fault.NotFound, "attempt is not kept")
	}
	return rec.attempt, nil
}

// Cancel ends an attempt; an unknown one is left alone.
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

// Drain refuses new work and waits until nothing runs, or until ctx ends. It
// reports whether everything has ended.
func (g *Gate) Drain(ctx context.Context) bool {
	g.StopAdmitting()
	for g.ActiveAttempts() > 0 {
		if ctx.Err() != nil {
			return false
		}
		wait.For(ctx, tickInterval)
	}
	return true
}

// AwaitReaders waits until no reader is left, or until ctx ends, so that the
// last part of every answer is on its way before the process stops.
func (g *Gate) AwaitReaders(ctx context.Context) {
	for g.readers() > 0 && ctx.Err() == nil {
		wait.For(ctx, tickInterval)
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
