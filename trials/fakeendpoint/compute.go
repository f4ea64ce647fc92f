package fakeendpoint

import (
	"context"
	"time"
)

// runEngine runs the engine until ctx ends: prefill goes to the attempts in order of
// priority and arrival, and all prefilled attempts decode at the same time.
func (e *Endpoint) runEngine(ctx context.Context) {
	ticker := time.NewTicker(engineTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if !e.advance(now, now.Sub(last)) {
			e.awaitWork(ctx)
			now = time.Now()
		}
		last = now
	}
}

// awaitWork blocks until an attempt is admitted or ctx ends.
func (e *Endpoint) awaitWork(ctx context.Context) {
	select {
	case <-e.wake:
	case <-ctx.Done():
	}
}

// advance advances all attempts by the time elapsed and reports whether any are left,
// including those ended recently.
func (e *Endpoint) advance(now time.Time, elapsed time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropEnded(now)
	running := e.byPriority()
	e.prefill(running, now, elapsed)
	e.decode(running, now)
	return len(e.attempts)+len(e.ended) > 0
}

func (e *Endpoint) dropEnded(now time.Time) {
	for id, a := range e.ended {
		if now.Sub(a.endedAt) > endedRetention {
			delete(e.ended, id)
		}
	}
}

func (e *Endpoint) prefill(running []*attempt, now time.Time, elapsed time.Duration) {
	e.prefillBudget += e.config.PrefillTokensPerSecond * elapsed.Seconds() / e.slowdown
	for _, a := range running {
		if a.endsByHandler || a.prefilled {
			continue
		}
		part := min(a.prefillTokensLeft, e.prefillBudget)
		a.prefillTokensLeft -= part
		e.prefillBudget -= part
		if a.prefillTokensLeft > 0 {
			return
		}
		a.prefilled = true
		a.nextTokenAt = now
		e.cache.store(a.prefixBlocks)
	}
	e.prefillBudget = 0 // no prefill is left: unused compute can't be spent later
}

func (e *Endpoint) decode(running []*attempt, now time.Time) {
	decoding := 0
	for _, a := range running {
		if a.prefilled {
			decoding++
		}
	}
	interval := e.decodeInterval(decoding)
	for _, a := range running {
		if a.prefilled {
			e.decodeTokens(a, now, interval)
		}
	}
}

// decodeInterval returns the time per token of each of the streams that decode together.
func (e *Endpoint) decodeInterval(streams int) time.Duration {
	growth := 1 + decodeSlowdownPerStream*float64(max(streams-1, 0))
	return time.Duration(float64(e.config.DecodePerToken) * growth * e.slowdown)
}

// decodeTokens produces the tokens of an attempt that are due, and ends it after its last.
func (e *Endpoint) decodeTokens(a *attempt, now time.Time, interval time.Duration) {
	before := a.producedTokens
	for a.producedTokens < a.outputTokens && !a.nextTokenAt.After(now) {
		a.producedTokens++
		a.nextTokenAt = a.nextTokenAt.Add(interval)
	}
	if a.producedTokens >= a.outputTokens {
		e.end(a, stateDone)
		return
	}
	if a.producedTokens > before {
		a.notifyProgress()
	}
}
