package admission

import (
	"math"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	prefetchPeriod     = 2500 * time.Millisecond // demand of this time is held in advance; a new control leader grants nothing for about as long
	idleAfter          = 2 * time.Second         // without requests, all quota but the idle reserve is returned
	dropAccountAfter   = 30 * time.Second        // without requests, the idle reserve is returned too
	minActiveRequests  = 2.0                     // requests held in advance at least while there is demand
	returnFactor       = 1.5                     // multiple of the target above which quota is returned
	maxBurstShare      = 0.5                     // share of the contract's burst that is held in advance at most
	idleBurstDivisor   = 64                      // an idle entry keeps at most the contract's burst divided by this
	spareSlotDivisor   = 16                      // an entry keeps at most the contract's concurrency divided by this as spare slots
	maxIdleRequests    = 16                      // requests kept by an idle entry at most
	rateSmoothing      = 0.3                     // weight of the latest interval in the demand rate
	requestTokensDecay = 0.9                     // factor on the largest request size with each later request
	usedPerSpareSlot   = 4                       // slots in use for which one more spare slot is held
)

// account is the part of one contract that is leased to this entry.
type account struct {
	contract          *wire.Contract
	requestTokens     float64 // decaying maximum of the tokens of recent requests
	requests, tokens  float64 // unspent
	slots, slotsInUse uint32
	validUntil        time.Time
	deniedUntil       time.Time
	lastRequestAt     time.Time

	waiting                            []*waiter // in order of arrival
	demandedRequests, demandedTokens   float64   // since the last measurement, including refused ones
	requestsPerSecond, tokensPerSecond float64   // smoothed demand
	measuredAt                         time.Time
}

// waiter is a request that waits for quota.
type waiter struct {
	tokens         float64
	leaseResponses int        // lease responses since the request began to wait
	done           chan error // receives nil when the request is served, or the error
}

func newAccount(contract *wire.Contract, now time.Time) *account {
	return &account{contract: contract, measuredAt: now, lastRequestAt: now}
}

// noteRequest records the arrival and size of a request, whether or not it is
// served.
func (a *account) noteRequest(tokens float64, now time.Time) {
	a.lastRequestAt = now
	a.requestTokens = math.Max(tokens, requestTokensDecay*a.requestTokens)
}

// tryTake takes one request, its tokens and a slot if all are held.
func (a *account) tryTake(tokens float64, now time.Time) bool {
	if now.After(a.validUntil) || a.requests < 1 || a.tokens < tokens || a.slotsInUse >= a.slots {
		return false
	}
	a.requests--
	a.tokens -= tokens
	a.slotsInUse++
	a.addDemand(tokens)
	return true
}

// serveWaiting serves the waiting requests from the held quota in order of
// arrival; none overtakes another.
func (a *account) serveWaiting(now time.Time) {
	for len(a.waiting) > 0 && a.tryTake(a.waiting[0].tokens, now) {
		a.waiting[0].done <- nil
		a.waiting = a.waiting[1:]
	}
}

// refuseWaiting refuses all waiting requests with the given retry delay.
func (a *account) refuseWaiting(wait time.Duration) {
	for _, w := range a.waiting {
		a.addDemand(w.tokens)
		w.done <- limitExceeded(wait)
	}
	a.waiting = nil
}

// removeWaiter removes a waiting request and reports whether it was still
// waiting.
func (a *account) removeWaiter(w *waiter) bool {
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return true
}

// addDemand counts a request towards the demand that the next lease request
// states. Refused demand counts too; otherwise an entry that was granted little
// would continue to ask for little.
func (a *account) addDemand(tokens float64) {
	a.demandedRequests++
	a.demandedTokens += tokens
}

// nextDemand returns the demand for the next lease request. Quota that it
// returns is subtracted at once, because it must not be spent whether or not
// the request arrives.
func (a *account) nextDemand(organisation string, now time.Time) *wire.QuotaDemand {
	a.dropExpired(now)
	a.updateRates(now)
	d := &wire.QuotaDemand{Organisation: organisation}
	targetRequests, targetTokens := a.targets(now)
	d.Requests, d.ReturnedRequests = adjustToTarget(&a.requests, targetRequests)
	d.Tokens, d.ReturnedTokens = adjustToTarget(&a.tokens, targetTokens)
	d.HeldRequests, d.HeldTokens = a.requests, a.tokens
	spare := a.spareSlots(now)
	d.ConcurrencyWanted = a.slotsInUse + uint32(len(a.waiting)) + spare
	a.slots = min(a.slots, d.ConcurrencyWanted) // slots that are not wanted are returned
	d.ConcurrencyHeld = a.slotsInUse
	if a.contract.Concurrency >= spareSlotDivisor {
		d.ConcurrencyHeld = max(a.slotsInUse, min(a.slots, a.slotsInUse+spare))
	}
	return d
}

// adjustToTarget returns the quota that is missing to reach the target, or
// returns quota when held exceeds the target by returnFactor.
func adjustToTarget(held *float64, target float64) (wanted, returned float64) {
	if *held > returnFactor*target {
		returned = *held - target
		*held = target
	}
	return math.Max(0, target-*held), returned
}

// targets returns how much quota to hold: enough for the demand until a new
// control leader grants again, limited to a share of the contract's burst.
func (a *account) targets(now time.Time) (requests, tokens float64) {
	period, idle := prefetchPeriod.Seconds(), a.idleRequests()
	requests, tokens = idle, idle*a.requestTokens
	if now.Sub(a.lastRequestAt) < idleAfter {
		requests = math.Max(math.Max(minActiveRequests, requests), math.Min(a.requestsPerSecond*period, maxBurstShare*a.contract.RequestBurst))
		tokens = math.Max(tokens, math.Min(a.tokensPerSecond*period, maxBurstShare*a.contract.TokenBurst))
	}
	for _, w := range a.waiting {
		requests++
		tokens += w.tokens
	}
	return requests, tokens
}

// idleRequests returns the number of requests that are kept for an idle
// organisation, so that its next one is served during a leader election of the
// control group. For small contracts it is 0, because the entries would hoard a
// large part of the quota.
func (a *account) idleRequests() float64 {
	requests := a.contract.RequestBurst / idleBurstDivisor
	if a.requestTokens > 0 {
		requests = math.Min(requests, a.contract.TokenBurst/idleBurstDivisor/a.requestTokens)
	}
	return math.Floor(math.Min(requests, maxIdleRequests))
}

// spareSlots returns the number of unused slots to hold.
func (a *account) spareSlots(now time.Time) uint32 {
	spare := min(a.contract.Concurrency/spareSlotDivisor, 1+a.slotsInUse/usedPerSpareSlot)
	if now.Sub(a.lastRequestAt) < idleAfter {
		spare = max(spare, 1)
	}
	return spare
}

// updateRates updates the smoothed demand rates from the requests since the
// last measurement. Intervals under 50 ms are too short to measure.
func (a *account) updateRates(now time.Time) {
	elapsed := now.Sub(a.measuredAt).Seconds()
	if elapsed < 0.05 {
		return
	}
	a.requestsPerSecond += rateSmoothing * (a.demandedRequests/elapsed - a.requestsPerSecond)
	a.tokensPerSecond += rateSmoothing * (a.demandedTokens/elapsed - a.tokensPerSecond)
	a.demandedRequests, a.demandedTokens = 0, 0
	a.measuredAt = now
}

// dropExpired drops the held quota when its lease has expired.
func (a *account) dropExpired(now time.Time) {
	if now.After(a.validUntil) {
		a.requests, a.tokens, a.slots = 0, 0, 0
	}
}

// applyGrant applies a grant of the control group. It reports whether to
// request a lease again at once for requests that still wait.
func (a *account) applyGrant(g *wire.QuotaGrant, sentAt, now time.Time) (again bool) {
	a.requests += g.Requests
	a.tokens += g.Tokens
	a.slots = g.Concurrency
	a.validUntil = sentAt.Add(time.Duration(g.ValidMs) * time.Millisecond)
	a.deniedUntil = time.Time{}
	if g.RetryAfterMs > 0 {
		a.deniedUntil = now.Add(time.Duration(g.RetryAfterMs) * time.Millisecond)
	}
	a.serveWaiting(now)
	if wait := a.deniedUntil.Sub(now); wait > 0 {
		a.refuseWaiting(wait)
	}
	for _, w := range a.waiting {
		w.leaseResponses++
		again = again || w.leaseResponses < eagerLeaseRounds
	}
	return again
}
