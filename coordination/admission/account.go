package admission

import (
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	prefetchFor  = 500 * time.Millisecond // demand held in advance
	idleAfter    = 2 * time.Second        // without requests, all unspent quota goes back
	forgetAfter  = 30 * time.Second
	standing     = 2.0 // requests held in advance at least
	surplus      = 3.0 // times the target above which quota goes back
	rateSmooth   = 0.3 // weight of the newest interval in the demand rate
	slotHeadroom = 4   // one spare slot per this many used
)

// account is the part of one contract that the entry holds.
type account struct {
	requests, tokens float64 // unspent
	slots, used      uint32
	validUntil       time.Time
	deniedUntil      time.Time
	lastTake         time.Time

	waitingRequests, waitingTokens float64 // demand of those that wait
	spentRequests, spentTokens     float64 // since the last lease
	rateRequests, rateTokens       float64 // per second
	leasedAt                       time.Time
	changed                        chan struct{} // closed by the next lease
}

func newAccount(now time.Time) *account {
	return &account{leasedAt: now, lastTake: now, changed: make(chan struct{})}
}

func (a *account) take(tokens float64, now time.Time) bool {
	if now.After(a.validUntil) || a.requests < 1 || a.tokens < tokens || a.used >= a.slots {
		return false
	}
	a.requests--
	a.tokens -= tokens
	a.used++
	a.spentRequests++
	a.spentTokens += tokens
	return true
}

// demand is what the next lease asks for. Quota that it hands back is taken off
// at once: it must not be spent whether or not the message arrives.
func (a *account) demand(organisation string, now time.Time) *wire.QuotaDemand {
	a.expire(now)
	a.measure(now)
	d := &wire.QuotaDemand{Organisation: organisation, ConcurrencyHeld: a.used}
	targetRequests, targetTokens := a.targets(now)
	d.Requests = math.Max(0, targetRequests-a.requests)
	d.Tokens = math.Max(0, targetTokens-a.tokens)
	if a.requests > surplus*targetRequests {
		d.ReturnedRequests = a.requests - targetRequests
		a.requests = targetRequests
	}
	if a.tokens > surplus*targetTokens {
		d.ReturnedTokens = a.tokens - targetTokens
		a.tokens = targetTokens
	}
	d.HeldRequests, d.HeldTokens = a.requests, a.tokens
	d.ConcurrencyWanted = a.used + uint32(a.waitingRequests)
	if now.Sub(a.lastTake) < idleAfter {
		d.ConcurrencyWanted += 1 + a.used/slotHeadroom
	}
	a.slots = min(a.slots, d.ConcurrencyWanted) // slots not wanted are handed back
	return d
}

func (a *account) targets(now time.Time) (requests, tokens float64) {
	if now.Sub(a.lastTake) >= idleAfter {
		return a.waitingRequests, a.waitingTokens
	}
	ahead := prefetchFor.Seconds()
	requests = a.waitingRequests + math.Max(standing, a.rateRequests*ahead)
	tokens = a.waitingTokens + a.rateTokens*ahead
	return requests, tokens
}

func (a *account) measure(now time.Time) {
	elapsed := now.Sub(a.leasedAt).Seconds()
	if elapsed < 0.05 {
		return
	}
	a.rateRequests += rateSmooth * (a.spentRequests/elapsed - a.rateRequests)
	a.rateTokens += rateSmooth * (a.spentTokens/elapsed - a.rateTokens)
	a.spentRequests, a.spentTokens = 0, 0
	a.leasedAt = now
}

func (a *account) expire(now time.Time) {
	if now.After(a.validUntil) {
		a.requests, a.tokens, a.slots = 0, 0, 0
	}
}

func (a *account) grant(g *wire.QuotaGrant, sentAt, now time.Time) {
	a.requests += g.Requests
	a.tokens += g.Tokens
	a.slots = g.Concurrency
	a.validUntil = sentAt.Add(time.Duration(g.ValidMs) * time.Millisecond)
	a.deniedUntil = time.Time{}
	if g.RetryAfterMs > 0 {
		a.deniedUntil = now.Add(time.Duration(g.RetryAfterMs) * time.Millisecond)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}
