package entry

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/claims"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	visitPath = "/services/booking/visit?day=3"
	visitBody = `{"dish":7}`
)

// openClaim is what an entry leaves that dies after its claim.
func openClaim(b *bed, attempt, address string) {
	b.control.claims["k"] = &wire.ClaimRecord{Organisation: "a", Key: "k", Attempt: attempt, GateInstance: "a", GateAddress: address,
		RequestDigest: claims.Digest("POST", visitPath, []byte(visitBody))}
}

// A request under one key runs at most once, whatever is lost; both sendings
// get an answer that is true.
func TestNonRepeatableRequestRunsAtMostOnce(t *testing.T) {
	good := plan{chunks: []string{"booked"}, status: 200}
	cases := []struct {
		name          string
		first         plan // of the first attempt that reaches a gate
		before        func(b *bed)
		status, again int
		runs          int
	}{
		{name: "nothing lost", first: good, status: 200, again: 200, runs: 1},
		{name: "claim's answer lost", first: good, before: func(b *bed) { b.control.loseClaim = 1 }, status: 200, again: 200, runs: 1},
		{name: "outcome not recorded", first: good, before: func(b *bed) { b.control.loseSettle = true }, status: 200, again: 200, runs: 1},
		{name: "refused by the first gate", first: plan{refuse: failure(fault.Overloaded)}, status: 200, again: 200, runs: 1},
		{name: "link broken before the gate took it", first: plan{unseen: true}, status: 200, again: 200, runs: 1},
		{name: "link broken before the end", first: plan{chunks: []string{"booked"}, status: 200, breakAfter: 1}, status: 200, again: 200, runs: 1},
		{name: "endpoint fails", first: plan{chunks: []string{"no"}, status: 500}, status: 500, again: 500, runs: 1},
		{name: "gate dies after it took it", first: plan{die: true}, status: 502, again: 502, runs: 1},
		{name: "entry died before dispatch", first: good, before: func(b *bed) { openClaim(b, "old", b.gates[0].address) }, status: 200, again: 200, runs: 1},
		{name: "entry died after dispatch", first: good, before: func(b *bed) {
			openClaim(b, "old", b.gates[0].address)
			b.gates[0].attempts["old"] = &seenAttempt{down: messages(good)}
			b.gates[0].order = []string{"old"}
		}, status: 200, again: 200, runs: 1},
		{name: "entry died without an endpoint", first: good, before: func(b *bed) { openClaim(b, "old", "") }, status: 200, again: 200, runs: 1},
		{name: "claim's gate unreachable", first: good, before: func(b *bed) { openClaim(b, "old", "127.0.0.1:1") }, status: 502, again: 502, runs: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var arrivals atomic.Int32
			b := newBed(t, 2, func(int, *wire.AttemptOpen) plan {
				if arrivals.Add(1) == 1 {
					return c.first
				}
				return good
			})
			if c.before != nil {
				c.before(b)
			}
			first := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k")
			second := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k")
			if first.status != c.status || second.status != c.again || b.runs() != c.runs {
				t.Errorf("status %d, then %d, %d runs: %s", first.status, second.status, b.runs(), first.body+second.body)
			}
			if first.header.Get("X-Not-Run")+second.header.Get("X-Not-Run") != "" {
				t.Error("not run is said")
			}
			if c.status == 200 && (second.body != "booked" || first.body != "booked" || second.header.Get("X-Idempotent-Replay") != "true") {
				t.Errorf("answers %q and %q", first.body, second.body)
			}
			other := b.do("POST", visitPath, `{"dish":8}`, "Idempotency-Key", "k")
			if other.status != 422 || other.header.Get("X-Not-Run") != "" {
				t.Errorf("the key passes for another request: %d", other.status)
			}
			b.slotsFree()
		})
	}
}

// An attempt that a gate was asked about in vain is refused if it arrives late.
func TestLateAttemptOfDeadEntryIsRefused(t *testing.T) {
	b := newBed(t, 1, always(plan{chunks: []string{"booked"}, status: 200}))
	openClaim(b, "old", b.gates[0].address)
	if got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k"); got.status != 200 {
		t.Fatalf("%d %s", got.status, got.body)
	}
	if p, _ := b.gates[0].admit(&wire.AttemptOpen{Attempt: "old"}, nil); p.refuse == nil || b.runs() != 1 {
		t.Errorf("the late attempt runs: %d runs", b.runs())
	}
}

// Sendings at the same moment run once. One that is refused, as a starved process
// hears of its endpoints too late, is sent again as its caller is told.
func TestConcurrentSendingsRunOnce(t *testing.T) {
	b := newBed(t, 2, always(plan{chunks: []string{"booked"}, status: 200}))
	const sendings = 8
	answers := make(chan answer, sendings)
	for range sendings {
		go func() {
			a := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k")
			for ; a.status == 503 && a.header.Get("Retry-After") != ""; a = b.do("POST", visitPath, visitBody, "Idempotency-Key", "k") {
				if said := a.header.Get("X-Not-Run"); said == "true" {
					t.Errorf("a refused sending speaks for the others: %s", a.body)
				}
				time.Sleep(10 * time.Millisecond)
			}
			answers <- a
		}()
	}
	for range sendings {
		if a := <-answers; a.status != 200 && a.status != 409 || a.header.Get("X-Not-Run") != "" {
			t.Errorf("%d %s", a.status, a.body)
		}
	}
	if b.runs() != 1 {
		t.Errorf("%d runs", b.runs())
	}
}

// A sending that is refused before its claim is looked at says nothing of an
// earlier one under the same key.
func TestRefusalSpeaksForItsOwnSendingOnly(t *testing.T) {
	b := newBed(t, 1, always(plan{chunks: []string{"booked"}, status: 200}))
	if got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k"); got.status != 200 {
		t.Fatalf("the first sending got %d %s", got.status, got.body)
	}
	got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k", "X-Deadline-Ms", "0")
	if got.status != 400 || got.header.Get("X-Not-Run") != "this-sending" {
		t.Errorf("the second sending got %d, X-Not-Run %q", got.status, got.header.Get("X-Not-Run"))
	}
}

// A sending that every gate refuses gives its claim back, and another sending under
// the key may take it at any moment: the refusal speaks for itself only.
func TestRefusalUnderAKeySpeaksForItsOwnSendingOnly(t *testing.T) {
	refusing := true
	b := newBed(t, 2, func(int, *wire.AttemptOpen) plan {
		if refusing {
			return plan{refuse: failure(fault.Overloaded)}
		}
		return plan{chunks: []string{"booked"}, status: 200}
	})
	got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k")
	if got.status != 503 || got.header.Get("X-Not-Run") != "this-sending" {
		t.Errorf("the refused sending got %d, X-Not-Run %q", got.status, got.header.Get("X-Not-Run"))
	}
	refusing = false
	if got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k"); got.status != 200 || b.runs() != 1 {
		t.Errorf("another sending got %d, %d runs", got.status, b.runs())
	}
}
