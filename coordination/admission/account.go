package admission

import (
	"math"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	// prefetchPeriod is the time for which the expected demand is held in
	// advance. A new control leader grants nothing for about as long, but
	// renews the leases of what the entries hold.
	prefetchPeriod = 2500 * time.Millisecond
	// idleAfter is the time without requests after which an organisation is
	// idle and keeps only its idle reserve.
	idleAfter = 2 * time.Second
	// dropAccountAfter is the time without requests after which the account is
	// dropped. The idle reserve is then not returned: its lease expires.
	dropAccountAfter = 30 * time.Second
	// minActiveRequests is the least number of requests to hold for an
	// organisation that is not idle.
	minActiveRequests = 2.0
	// returnFactor is the multiple of its target above which quota is returned.
	returnFactor = 1.5
	// maxBurstShare limits the expected demand that is held to a share of the
	// contract's burst.
	maxBurstShare = 0.5
	// idleBurstDivisor limits the idle reserve to the contract's burst divided
	// by it.
	idleBurstDivisor = 64
	// spareSlotDivisor limits the spare slots to the contract's concurrency
	// divided by it.
	spareSlotDivisor = 16
	// maxIdleRequests limits the idle reserve.
	maxIdleRequests = 16
	// rateSmoothing is the weight of the latest measurement in the smoothed
	// demand.
	rateSmoothing = 0.3
	// requestTokensDecay multiplies the remembered largest request size with
	// each later request.
	requestTokensDecay = 0.9
	// usedPerSpareSlot is the number of slots in use for which one spare slot
	// is added to the first one.
	usedPerSpareSlot = 4
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

// nextDemand returns the demand for the next lease request. Quota that the
// request gives back is subtracted from the account at once: if the request is
// lost, the control group may still have granted that quota to others.
//
// The control group never takes away slots that are stated as held, and grants
// no others during a leader change. With a large contract, spare slots are
// stated too; with a small one, that would keep them from other entries.
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

// targets returns how much quota to hold: the idle reserve, and for an
// organisation that is not idle at least the expected demand of prefetchPeriod,
// limited to maxBurstShare, and minActiveRequests. What the waiting requests
// need is added without a limit.
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

// idleRequests returns the idle reserve in requests. It is kept for an idle
// organisation, so that its next request is served during a leader election of
// the control group. For small contracts it is 0, because otherwise idle
// entries would hold a large part of the quota.
func (a *account) idleRequests() float64 {
	requests := a.contract.RequestBurst / idleBurstDivisor
	if a.requestTokens > 0 {
		requests = math.Min(requests, a.contract.TokenBurst/idleBurstDivisor/a.requestTokens)
	}
	return math.Floor(math.Min(requests, maxIdleRequests))
}

// spareSlots returns the number of unused slots to hold: one, and one more for
// every usedPerSpareSlot in use, limited by spareSlotDivisor. An organisation
// that is not idle always has one.
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
		again = again || w.leaseResponses < immediateLeaseRequests
	}
	return again
}
