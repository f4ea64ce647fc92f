package relay

import (
	"context"
	"errors"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"pgregory.net/rapid"
)

func message(sequence uint64) *wire.AttemptDown { return &wire.AttemptDown{Sequence: sequence} }

// Messages that arrive in any order, also more than once, come out exactly once
// and in order. After a resumption from the next sequence number, none is
// missing.
func TestReorderBufferDeliversEachMessageOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := rapid.Uint64Range(1, 600).Draw(t, "last")
		arriving := rapid.SliceOfN(rapid.Uint64Range(0, last), 0, 1200).Draw(t, "arriving")
		buffer, want := NewReorderBuffer(1), uint64(1)
		pop := func() {
			for down := buffer.Pop(); down != nil; down = buffer.Pop() {
				if down.Sequence != want {
					t.Fatalf("got %d, want %d", down.Sequence, want)
				}
				want++
			}
		}
		for _, sequence := range arriving {
			buffer.Add(message(sequence))
			if len(buffer.buffered) > maxBuffered+1 {
				t.Fatalf("%d messages are buffered", len(buffer.buffered))
			}
			if rapid.Bool().Draw(t, "pop") {
				pop()
			}
		}
		pop()
		if len(buffer.buffered) > 0 != buffer.Gap() {
			t.Fatalf("%d messages are buffered, gap %v", len(buffer.buffered), buffer.Gap())
		}
		for sequence := buffer.Next(); sequence <= last; sequence++ {
			buffer.Add(message(sequence))
			pop()
		}
		if want != last+1 || buffer.Gap() {
			t.Fatalf("%d of %d messages were delivered", want-1, last)
		}
	})
}

// Retries stay within the configured ratio of requests, even if every request
// fails.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewRetryBudget()
		requests, retries := rapid.IntRange(0, 5000).Draw(t, "requests"), 0
		for range requests {
			budget.Deposit()
			if budget.TryWithdraw() {
				retries++
			}
		}
		if most := budgetMax + budgetRatio*float64(requests); float64(retries) > most+1 {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
}

// A gate that already runs the attempt refuses a second copy of it. That
// refusal must not count as a proof that nothing ran.
func TestDuplicateArrivalIsNotARefusal(t *testing.T) {
	var refusal *Refusal
	if err := new(Attempt).handleRefusal(fault.New(fault.InProgress, "the attempt is running")); errors.As(err, &refusal) {
		t.Errorf("%v is treated as a refusal", err)
	}
	if err := new(Attempt).handleRefusal(fault.New(fault.Overloaded, "full")); !errors.As(err, &refusal) {
		t.Errorf("%v is not treated as a refusal", err)
	}
}

// unreachableGate is a gate to which no connection can be opened.
type unreachableGate struct{ wire.GateClient }

func (unreachableGate) Gate(string) (wire.GateClient, error) { return unreachableGate{}, nil }

func (unreachableGate) Attempt(context.Context, ...grpc.CallOption) (wire.Gate_AttemptClient, error) {
	return nil, status.Error(codes.Unavailable, "connection refused")
}

func (unreachableGate) Resume(context.Context, *wire.ResumeRequest, ...grpc.CallOption) (wire.Gate_ResumeClient, error) {
	return nil, status.Error(codes.Unavailable, "connection refused")
}

// An attempt that never left this entry must be refused as not run, not reported as lost.
func TestAttemptWithoutAConnectionIsRefusedAsNotRun(t *testing.T) {
	a := Start(t.Context(), unreachableGate{}, Origin{GateAddress: "10.0.0.1:1"}, &wire.AttemptOpen{}, nil)
	defer a.Detach()
	_, err := ForwardAnswer(a, Origin{}, nil, nil)
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Undelivered {
		t.Fatalf("%v, want a refusal that excludes the gate", err)
	}
	if f := fault.From(refusal.Cause); !f.Kind.NotRun() || f.RetryAfter <= 0 {
		t.Errorf("kind %s, Retry-After %v", f.Kind, f.RetryAfter)
	}
}
