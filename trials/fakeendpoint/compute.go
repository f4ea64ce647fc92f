package fakeendpoint

import (
	"context"
	"time"
)

// compute runs the engine: prefill shared by priority and arrival, and one
// token a step for each stream that decodes.
func (e *Endpoint) compute(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if !e.step(now, now.Sub(last)) {
			e.sleep(ctx)
			now = time.Now()
		}
		last = now
	}
}

// sleep waits for work.
func (e *Endpoint) sleep(ctx context.Context) {
	select {
	case <-e.wake:
	case <-ctx.Done():
	}
}

// step advances all attempts and reports whether any work is left.
func (e *Endpoint) step(now time.Time, elapsed time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetEnded(now)
	running := e.byPriority()
	e.prefill(running, now, elapsed)
	e.decode(running, now)
	return len(e.attempts)+len(e.recent) > 0
}

func (e *Endpoint) forgetEnded(now time.Time) {
	for id, a := range e.recent {
		if now.Sub(a.endedAt) > keepEnded {
			delete(e.recent, id)
		}
	}
}

func (e *Endpoint) prefill(running []*attempt, now time.Time, elapsed time.Duration) {
	e.prefillSpare += e.config.PrefillTokensPerSecond * elapsed.Seconds() / e.slowdown
	for _, a := range running {
		if a.external || a.prefilled {
			continue
		}
		part := min(a.prefillLeft, e.prefillSpare)
		a.prefillLeft -= part
		e.prefillSpare -= part
		if a.prefillLeft > 0 {
			return
		}
		a.prefilled = true
		a.nextTokenAt = now
		e.cache.store(a.prefix)
	}
	e.prefillSpare = 0 // nothing waits: idle compute is not saved up
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
			e.produce(a, now, interval)
		}
	}
}

func (e *Endpoint) decodeInterval(streams int) time.Duration {
	growth := 1 + decodeGrowth*float64(max(streams-1, 0))
	return time.Duration(float64(e.config.DecodePerToken) * growth * e.slowdown)
}

func (e *Endpoint) produce(a *attempt, now time.Time, interval time.Duration) {
	before := a.produced
	for a.produced < a.outputTokens && !a.nextTokenAt.After(now) {
		a.produced++
		a.nextTokenAt = a.nextTokenAt.Add(interval)
	}
	if a.produced >= a.outputTokens {
		e.end(a, stateDone)
		return
	}
	if a.produced > before {
		a.progress()
	}
}
