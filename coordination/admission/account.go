package admission

import (
	"math"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	prefetchFor  = 2500 * time.Millisecond // demand held in advance: a new leader grants nothing for about as long
	idleAfter    = 2 * time.Second         // without requests, all but the standing part goes back
	forgetAfter  = 30 * time.Second        // without requests, the standing part goes back too
	standing     = 2.0                     // requests held in advance at least while in demand
	surplus      = 1.5                     // times the target above which quota goes back
	mostOfBurst  = 0.5                     // of the contract's burst held in advance at most
	burstPart    = 64                      // of a contract's burst, one part is left standing in an idle entry
	slotPart     = 16                      // and of its concurrency
	mostStanding = 16                      // requests left standing at most
	rateSmooth   = 0.3                     // weight of the newest interval in the demand rate
	takeDecay    = 0.9                     // of the largest request, for each later one
	slotHeadroom = 4                       // one spare slot per this many used
)

// account is the part of one contract that the entry holds.
type account struct {
	contract         *wire.Contract
	takeTokens       float64 // tokens of the largest of the latest requests
	requests, tokens float64 // unspent
	slots, used      uint32
	validUntil       time.Time
	deniedUntil      time.Time
	lastTake         time.Time

	waiting                    []*waiter // in the order in which they came
	askedRequests, askedTokens float64   // since the last lease, refused ones included
	rateRequests, rateTokens   float64   // per second
	leasedAt                   time.Time
}

// waiter is a request that waits for quota.
type waiter struct {
	tokens  float64
	answers int        // of control since it waits
	done    chan error // takes its outcome
}

func newAccount(contract *wire.Contract, now time.Time) *account {
	return &account{contract: contract, leasedAt: now, lastTake: now}
}

// ask notes a request, whether or not it can be served from what is held.
func (a *account) ask(tokens float64, now time.Time) {
	a.lastTake = now
	a.takeTokens = math.Max(tokens, takeDecay*a.takeTokens)
}

func (a *account) take(tokens float64, now time.Time) bool {
	if now.After(a.validUntil) || a.requests < 1 || a.tokens < tokens || a.used >= a.slots {
		return false
	}
	a.requests--
	a.tokens -= tokens
	a.used++
	a.asked(tokens)
	return true
}

// serve gives what is held to those that wait, in their order: none is overtaken.
func (a *account) serve(now time.Time) {
	for len(a.waiting) > 0 && a.take(a.waiting[0].tokens, now) {
		a.waiting[0].done <- nil
		a.waiting = a.waiting[1:]
	}
}

// refuse ends the wait of all.
func (a *account) refuse(wait time.Duration) {
	for _, w := range a.waiting {
		a.asked(w.tokens)
		w.done <- limitExceeded(wait)
	}
	a.waiting = nil
}

// withdraw removes a request that waits, and reports whether it did.
func (a *account) withdraw(w *waiter) bool {
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return true
}

// asked counts towards the demand that the next lease states. Demand that is
// refused counts too: else an entry that got little would go on asking for little.
func (a *account) asked(tokens float64) {
	a.askedRequests++
	a.askedTokens += tokens
}

// demand is what the next lease asks for. Quota that it hands back is taken off
// at once: it must not be spent whether or not the message arrives.
func (a *account) demand(organisation string, now time.Time) *wire.QuotaDemand {
	a.expire(now)
	a.measure(now)
	d := &wire.QuotaDemand{Organisation: organisation}
	targetRequests, targetTokens := a.targets(now)
	d.Requests, d.ReturnedRequests = adjust(&a.requests, targetRequests)
	d.Tokens, d.ReturnedTokens = adjust(&a.tokens, targetTokens)
	d.HeldRequests, d.HeldTokens = a.requests, a.tokens
	spare := a.spareSlots(now)
	d.ConcurrencyWanted = a.used + uint32(len(a.waiting)) + spare
	a.slots = min(a.slots, d.ConcurrencyWanted) // slots not wanted are handed back
	d.ConcurrencyHeld = a.used
	if a.contract.Concurrency >= slotPart {
		d.ConcurrencyHeld = max(a.used, min(a.slots, a.used+spare))
	}
	return d
}

// adjust returns what is wanted to reach the target, or hands back what lies
// far above it.
func adjust(held *float64, target float64) (wanted, returned float64) {
	if *held > surplus*target {
		returned = *held - target
		*held = target
	}
	return math.Max(0, target-*held), returned
}

// targets is what to hold: enough for the demand until a new control leader
// grants again, within a part of the contract's burst.
func (a *account) targets(now time.Time) (requests, tokens float64) {
	ahead, least := prefetchFor.Seconds(), a.standing()
	requests, tokens = least, least*a.takeTokens
	if now.Sub(a.lastTake) < idleAfter {
		requests = math.Max(math.Max(standing, requests), math.Min(a.rateRequests*ahead, mostOfBurst*a.contract.RequestBurst))
		tokens = math.Max(tokens, math.Min(a.rateTokens*ahead, mostOfBurst*a.contract.TokenBurst))
	}
	for _, w := range a.waiting {
		requests++
		tokens += w.tokens
	}
	return requests, tokens
}

// standing is the number of requests kept for an idle organisation, so that its
// next one is served while control elects a leader. Small contracts keep none:
// entries would hoard them.
func (a *account) standing() float64 {
	requests := a.contract.RequestBurst / burstPart
	if a.takeTokens > 0 {
		requests = math.Min(requests, a.contract.TokenBurst/burstPart/a.takeTokens)
	}
	return math.Floor(math.Min(requests, mostStanding))
}

func (a *account) spareSlots(now time.Time) uint32 {
	spare := min(a.contract.Concurrency/slotPart, 1+a.used/slotHeadroom)
	if now.Sub(a.lastTake) < idleAfter {
		spare = max(spare, 1)
	}
	return spare
}

func (a *account) measure(now time.Time) {
	elapsed := now.Sub(a.leasedAt).Seconds()
	if elapsed < 0.05 {
		return
	}
	a.rateRequests += rateSmooth * (a.askedRequests/elapsed - a.rateRequests)
	a.rateTokens += rateSmooth * (a.askedTokens/elapsed - a.rateTokens)
	a.askedRequests, a.askedTokens = 0, 0
	a.leasedAt = now
}

func (a *account) expire(now time.Time) {
	if now.After(a.validUntil) {
		a.requests, a.tokens, a.slots = 0, 0, 0
	}
}

// grant takes an answer of control, and reports whether to ask again at once for
// those that still wait.
func (a *account) grant(g *wire.QuotaGrant, sentAt, now time.Time) (again bool) {
	a.requests += g.Requests
	a.tokens += g.Tokens
	a.slots = g.Concurrency
	a.validUntil = sentAt.Add(time.Duration(g.ValidMs) * time.Millisecond)
	a.deniedUntil = time.Time{}
	if g.RetryAfterMs > 0 {
		a.deniedUntil = now.Add(time.Duration(g.RetryAfterMs) * time.Millisecond)
	}
	a.serve(now)
	if wait := a.deniedUntil.Sub(now); wait > 0 {
		a.refuse(wait)
	}
	for _, w := range a.waiting {
		w.answers++
		again = again || w.answers < leaseRounds
	}
	return again
}
