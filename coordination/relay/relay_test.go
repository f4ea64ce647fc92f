package relay

import (
	"errors"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"pgregory.net/rapid"
)

func message(sequence uint64) *wire.AttemptDown { return &wire.AttemptDown{Sequence: sequence} }

// Whatever arrives, in whatever order and however often, comes out once and in
// order; after a resumption from the next sequence all of it has come out.
func TestOrderGivesEachMessageOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := rapid.Uint64Range(1, 600).Draw(t, "last")
		arriving := rapid.SliceOfN(rapid.Uint64Range(0, last), 0, 1200).Draw(t, "arriving")
		order, want := NewReorderBuffer(1), uint64(1)
		pop := func() {
			for down := order.Pop(); down != nil; down = order.Pop() {
				if down.Sequence != want {
					t.Fatalf("got %d, want %d", down.Sequence, want)
				}
				want++
			}
		}
		for _, sequence := range arriving {
			order.Add(message(sequence))
			if len(order.held) > maxHeld+1 {
				t.Fatalf("%d messages held", len(order.held))
			}
			if rapid.Bool().Draw(t, "pop") {
				pop()
			}
		}
		pop()
		if len(order.held) > 0 != order.Gap() {
			t.Fatalf("%d held, gap %v", len(order.held), order.Gap())
		}
		for sequence := order.Next(); sequence <= last; sequence++ {
			order.Add(message(sequence))
			pop()
		}
		if want != last+1 || order.Gap() {
			t.Fatalf("%d of %d messages came out", want-1, last)
		}
	})
}

// Retries stay within the ratio of requests, whatever fails.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewRetryBudget()
		requests, retries := rapid.IntRange(0, 5000).Draw(t, "requests"), 0
		for range requests {
			budget.Deposit()
			if budget.TryWithdraw() {
				retries++
			}
		}
		if most := budgetMost + budgetRatio*float64(requests); float64(retries) > most+1 {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
}

// A gate that refuses a second arrival because the first one runs has not said
// that nothing ran.
func TestSecondArrivalIsNoProof(t *testing.T) {
	var refusal *Refusal
	if err := new(Attempt).refused(fault.New(fault.InProgress, "it runs")); errors.As(err, &refusal) {
		t.Errorf("%v counts as a proof that nothing ran", err)
	}
	if err := new(Attempt).refused(fault.New(fault.Overloaded, "full")); !errors.As(err, &refusal) {
		t.Errorf("%v is no refusal", err)
	}
}
