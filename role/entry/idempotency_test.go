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

// storeOpenClaim stores the claim of an entry that crashed after it was granted.
func storeOpenClaim(b *testbed, attempt, address string) {
	b.control.claims["k"] = &wire.ClaimRecord{Organisation: "a", Key: "k", Attempt: attempt, GateInstance: "a", GateAddress: address,
		RequestDigest: claims.Digest("POST", visitPath, []byte(visitBody))}
}

// A request under an idempotency key runs at most once whichever message is lost or
// process crashes, and both sends get a correct answer.
func TestRequestUnderAKeyRunsAtMostOnce(t *testing.T) {
	good := plan{chunks: []string{"booked"}, status: 200}
	cases := []struct {
		name                 string
		first                plan // of the first attempt that reaches a gate
		prepare              func(b *testbed)
		status, secondStatus int
		runs                 int
	}{
		{name: "nothing lost", first: good, status: 200, secondStatus: 200, runs: 1},
		{name: "claim's answer lost", first: good, prepare: func(b *testbed) { b.control.loseClaim = 1 }, status: 200, secondStatus: 200, runs: 1},
		{name: "outcome not recorded", first: good, prepare: func(b *testbed) { b.control.loseSettle = true }, status: 200, secondStatus: 200, runs: 1},
		{name: "refused by the first gate", first: plan{refuse: failure(fault.Overloaded)}, status: 200, secondStatus: 200, runs: 1},
		{name: "link broken before the gate received it", first: plan{lost: true}, status: 200, secondStatus: 200, runs: 1},
		{name: "link broken before the end", first: plan{chunks: []string{"booked"}, status: 200, breakAfter: 1}, status: 200, secondStatus: 200, runs: 1},
		{name: "endpoint fails", first: plan{chunks: []string{"no"}, status: 500}, status: 500, secondStatus: 500, runs: 1},
		{name: "gate crashes after it received it", first: plan{crash: true}, status: 502, secondStatus: 502, runs: 1},
		{name: "entry crashed before dispatch", first: good, prepare: func(b *testbed) { storeOpenClaim(b, "old", b.gates[0].address) }, status: 200, secondStatus: 200, runs: 1},
		{name: "entry crashed after dispatch", first: good, prepare: func(b *testbed) {
			storeOpenClaim(b, "old", b.gates[0].address)
			b.gates[0].attempts["old"] = &seenAttempt{down: messages(good)}
			b.gates[0].attemptIDs = []string{"old"}
		}, status: 200, secondStatus: 200, runs: 1},
		{name: "entry crashed without an endpoint", first: good, prepare: func(b *testbed) { storeOpenClaim(b, "old", "") }, status: 200, secondStatus: 200, runs: 1},
		{name: "claim's gate unreachable", first: good, prepare: func(b *testbed) { storeOpenClaim(b, "old", "127.0.0.1:1") }, status: 502, secondStatus: 502, runs: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var arrivals atomic.Int32
			b := newTestbed(t, 2, func(int, *wire.AttemptOpen) plan {
				if arrivals.Add(1) == 1 {
					return c.first
				}
				return good
			})
			if c.prepare != nil {
				c.prepare(b)
			}
			first := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k")
			second := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k")
			if first.status != c.status || second.status != c.secondStatus || b.runs() != c.runs {
				t.Errorf("status %d, then %d, %d runs: %s", first.status, second.status, b.runs(), first.body+second.body)
			}
			if first.header.Get("X-Not-Run")+second.header.Get("X-Not-Run") != "" {
				t.Error("X-Not-Run is set")
			}
			if c.status == 200 && (second.body != "booked" || first.body != "booked" || second.header.Get("X-Idempotent-Replay") != "true") {
				t.Errorf("answers %q and %q", first.body, second.body)
			}
			other := b.do("POST", visitPath, `{"dish":8}`, "Idempotency-Key", "k")
			if other.status != 422 || other.header.Get("X-Not-Run") != "" {
				t.Errorf("the key is accepted for another request: %d", other.status)
			}
			b.awaitSlotsFree()
		})
	}
}

// An attempt that its gate hadn't seen when asked about it is refused if it arrives
// later.
func TestLateAttemptOfCrashedEntryIsRefused(t *testing.T) {
	b := newTestbed(t, 1, always(plan{chunks: []string{"booked"}, status: 200}))
	storeOpenClaim(b, "old", b.gates[0].address)
	if got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k"); got.status != 200 {
		t.Fatalf("%d %s", got.status, got.body)
	}
	if p, _ := b.gates[0].admit(&wire.AttemptOpen{Attempt: "old"}, nil); p.refuse == nil || b.runs() != 1 {
		t.Errorf("the late attempt runs: %d runs", b.runs())
	}
}

// Concurrent sends under one key run once. A process without CPU time may see its
// endpoints' reports too late and refuse a send; the test then sends it again, as
// Retry-After tells its caller to.
func TestConcurrentSendsRunOnce(t *testing.T) {
	b := newTestbed(t, 2, always(plan{chunks: []string{"booked"}, status: 200}))
	const sends = 8
	answers := make(chan answer, sends)
	for range sends {
		go func() {
			a := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k")
			for ; a.status == 503 && a.header.Get("Retry-After") != ""; a = b.do("POST", visitPath, visitBody, "Idempotency-Key", "k") {
				if notRun := a.header.Get("X-Not-Run"); notRun == "true" {
					t.Errorf("a refused send reports that the request did not run at all: %s", a.body)
				}
				time.Sleep(10 * time.Millisecond)
			}
			answers <- a
		}()
	}
	for range sends {
		if a := <-answers; a.status != 200 && a.status != 409 || a.header.Get("X-Not-Run") != "" {
			t.Errorf("%d %s", a.status, a.body)
		}
	}
	if b.runs() != 1 {
		t.Errorf("%d runs", b.runs())
	}
}

// A send that is refused before its claim is read reports only that it didn't run
// itself, not that an earlier send under the same key didn't.
func TestEarlyRefusalReportsOnItsOwnSendOnly(t *testing.T) {
	b := newTestbed(t, 1, always(plan{chunks: []string{"booked"}, status: 200}))
	if got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k"); got.status != 200 {
		t.Fatalf("the first send got %d %s", got.status, got.body)
	}
	got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k", "X-Deadline-Ms", "0")
	if got.status != 400 || got.header.Get("X-Not-Run") != "this-sending" {
		t.Errorf("the second send got %d, X-Not-Run %q", got.status, got.header.Get("X-Not-Run"))
	}
}

// A send that every gate refuses releases its claim, which another send under the key
// may take at any time. So the refusal reports only that this send didn't run.
func TestGateRefusalReportsOnItsOwnSendOnly(t *testing.T) {
	refusing := true
	b := newTestbed(t, 2, func(int, *wire.AttemptOpen) plan {
		if refusing {
			return plan{refuse: failure(fault.Overloaded)}
		}
		return plan{chunks: []string{"booked"}, status: 200}
	})
	got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k")
	if got.status != 503 || got.header.Get("X-Not-Run") != "this-sending" {
		t.Errorf("the refused send got %d, X-Not-Run %q", got.status, got.header.Get("X-Not-Run"))
	}
	refusing = false
	if got := b.do("POST", visitPath, visitBody, "Idempotency-Key", "k"); got.status != 200 || b.runs() != 1 {
		t.Errorf("another send got %d, %d runs", got.status, b.runs())
	}
}
