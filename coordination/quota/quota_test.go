package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// entryModel models an entry that obeys the rules for leases.
type entryModel struct {
	name         string
	held, tokens float64
	slots, used  uint32
	validUntil   time.Time
	sequence     uint64
}

func (e *entryModel) expire(now time.Time) {
	if now.After(e.validUntil) {
		e.held, e.tokens, e.slots, e.used = 0, 0, 0, 0
	}
}

// spending is an amount that an entry spent at a time.
type spending struct {
	at     time.Time
	amount float64
}

// checkWindows fails when more was spent in any window than rate and burst allow.
func checkWindows(t *rapid.T, spent []spending, rate, burst float64) {
	for i := range spent {
		sum := 0.0
		for _, s := range spent[i:] {
			sum += s.amount
			if allowed := rate*s.at.Sub(spent[i].at).Seconds() + burst; sum > allowed+1e-6 {
				t.Fatalf("%v spent between %v and %v, %v allowed", sum, spent[i].at.Sub(epoch), s.at.Sub(epoch), allowed)
			}
		}
	}
}

// Spending stays within rate × window + burst whatever the entries demand, keep and
// hand back, when entries fail, the leader changes, responses are lost, and the
// contract changes.
func TestSpendingNeverExceedsTheContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		contract := &wire.Contract{Organisation: "o", RequestsPerSecond: 10, RequestBurst: 20, TokensPerSecond: 1000, TokenBurst: 500, Concurrency: 5}
		ledger := NewLedger(now.Add(-time.Hour))
		maxRate, maxBurst, maxSlots := contract.RequestsPerSecond, contract.RequestBurst, contract.Concurrency
		var spentRequests, spentTokens []spending
		entries := []*entryModel{{name: "e0"}, {name: "e1"}, {name: "e2"}}
		changes := rapid.Bool().Draw(t, "contract changes")
		for range 150 {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 200, 900, 1999, 2001}).Draw(t, "ms")) * time.Millisecond)
			e := rapid.SampledFrom(entries).Draw(t, "entry")
			e.expire(now)
			switch rapid.IntRange(0, 14).Draw(t, "step") {
			case 0: // the entry fails; another one starts with nothing
				*e = entryModel{name: e.name + "'"}
			case 1: // another replica becomes the leader
				ledger = NewLedger(now)
			case 2:
				if !changes {
					continue
				}
				contract.RequestsPerSecond = float64(rapid.IntRange(1, 10).Draw(t, "rate"))
				contract.RequestBurst = float64(rapid.IntRange(1, 20).Draw(t, "burst"))
				contract.Concurrency = uint32(rapid.IntRange(1, 5).Draw(t, "concurrency"))
			case 3, 4, 5, 6:
				amount := rapid.SampledFrom([]float64{0, 0.5, 1, 1}).Draw(t, "part")
				spentRequests = append(spentRequests, spending{now, e.held * amount})
				spentTokens = append(spentTokens, spending{now, e.tokens * amount})
				e.held -= e.held * amount
				e.tokens -= e.tokens * amount
				e.used = uint32(rapid.IntRange(0, int(e.slots)).Draw(t, "used"))
			default:
				leaseOnce(t, ledger, e, contract, &now)
			}
			inUse := uint32(0)
			for _, other := range entries {
				other.expire(now)
				inUse += other.slots
			}
			if inUse > maxSlots {
				t.Fatalf("%d slots are held, %d allowed", inUse, maxSlots)
			}
		}
		checkWindows(t, spentRequests, maxRate, maxBurst)
		checkWindows(t, spentTokens, 1000, 500)
	})
}

// leaseOnce sends one lease request, whose response may be late or lost.
func leaseOnce(t *rapid.T, ledger *Ledger, e *entryModel, contract *wire.Contract, now *time.Time) {
	sentAt := *now
	returned := e.held * rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "returned")
	e.held -= returned
	e.sequence++
	demand := &wire.QuotaDemand{
		Organisation: "o", ConcurrencyHeld: e.used,
		Requests: rapid.SampledFrom([]float64{0, 3, 30}).Draw(t, "wanted"), HeldRequests: e.held, ReturnedRequests: returned,
		Tokens: rapid.SampledFrom([]float64{0, 100, 900}).Draw(t, "tokens"), HeldTokens: e.tokens,
		ConcurrencyWanted: e.used + uint32(rapid.IntRange(0, 4).Draw(t, "slots")),
	}
	e.slots = min(e.slots, max(demand.ConcurrencyWanted, e.used))
	request := &wire.LeaseRequest{Entry: e.name, Sequence: e.sequence}
	if !ledger.AcceptSequence(sentAt, request) {
		t.Fatal("a request with a newer sequence number was refused")
	}
	*now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 5, 300}).Draw(t, "delay")) * time.Millisecond)
	grant := ledger.Lease(*now, e.name, demand, contract)
	if rapid.IntRange(0, 5).Draw(t, "lost answer") == 0 {
		return
	}
	e.expire(*now)
	if now.After(sentAt.Add(LeaseTTL)) {
		return
	}
	e.held += grant.Requests
	e.tokens += grant.Tokens
	e.slots = grant.Concurrency
	e.validUntil = sentAt.Add(LeaseTTL)
}

// Two entries whose demand always exceeds the contract get shares in proportion to
// their demand, and together all of the contract.
func TestScarceQuotaIsDividedByDemand(t *testing.T) {
	contract := &wire.Contract{Organisation: "o", RequestsPerSecond: 100, RequestBurst: 100, TokensPerSecond: 1, TokenBurst: 1, Concurrency: 8}
	ledger := NewLedger(epoch.Add(-time.Hour))
	got := map[string]float64{}
	slots := map[string]uint32{}
	const steps = 1000
	for step := range steps {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		for entry, wanted := range map[string]float64{"large": 300, "small": 100} {
			grant := ledger.Lease(now, entry, &wire.QuotaDemand{Organisation: "o", Requests: wanted, ConcurrencyWanted: uint32(wanted), ConcurrencyHeld: 0}, contract)
			if step > 0 { // the first request may take the whole initial burst
				got[entry] += grant.Requests
			}
			slots[entry] = grant.Concurrency
			if grant.RetryAfterMs == 0 {
				t.Fatal("an unmet demand got no Retry-After")
			}
		}
	}
	total := got["large"] + got["small"]
	left := ledger.accounts["o"].requests.level
	if want := 100 * float64(steps-1) / 100; math.Abs(total+left-want) > 2 || left > 2 {
		t.Errorf("%v granted and %v left, the contract allows %v", total, left, want)
	}
	if part := got["large"] / total; part < 0.74 || part > 0.76 {
		t.Errorf("the entry with 3/4 of the demand got %v", part)
	}
	if slots["large"] != 6 || slots["small"] != 2 {
		t.Errorf("slots: %v", slots)
	}
}

// A lease request that a later one has overtaken is out of date.
func TestOvertakenRequestIsRefused(t *testing.T) {
	ledger := NewLedger(epoch)
	for i, c := range []struct {
		sequence uint64
		ok       bool
	}{{1, true}, {3, true}, {2, false}, {3, false}, {4, true}} {
		if ok := ledger.AcceptSequence(epoch, &wire.LeaseRequest{Entry: "e", Sequence: c.sequence}); ok != c.ok {
			t.Error(fmt.Sprint("request ", i, ": ", ok))
		}
	}
	ledger.AcceptSequence(epoch.Add(2*sequenceTTL), &wire.LeaseRequest{Entry: "other", Sequence: 1})
	if len(ledger.sequences) != 1 {
		t.Error("the sequence of an ended entry is kept")
	}
}

// A failed entry may have spent its holding just before the lease expired, so the
// room that it leaves is filled at the rate and not at once.
func TestExpiredHoldingIsRefilledAtTheRate(t *testing.T) {
	contract := &wire.Contract{Organisation: "o", RequestsPerSecond: 10, RequestBurst: 20}
	ledger := NewLedger(epoch.Add(-time.Hour))
	demand := &wire.QuotaDemand{Organisation: "o", Requests: 20}
	if grant := ledger.Lease(epoch, "dead", demand, contract); grant.Requests != 20 {
		t.Fatalf("a full bucket granted %v", grant.Requests)
	}
	grant := ledger.Lease(epoch.Add(LeaseTTL+100*time.Millisecond), "other", demand, contract)
	if grant.Requests < 0.9 || grant.Requests > 1.1 {
		t.Fatalf("0.1 s after the expiry %v were granted, want 1", grant.Requests)
	}
}
