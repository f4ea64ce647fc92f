package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	doubtFirst = 250 * time.Millisecond // an endpoint rests so long after one failure
	doubtMost  = 4 * time.Second
	fullRest   = 60 * time.Millisecond // after a refusal as full
)

// health is what this entry has seen of an endpoint itself.
type health struct {
	failures  int // in a row
	restUntil time.Time
	successAt time.Time
	busyUntil time.Time // by its own word: nothing is sent before
	leaving   bool      // by its own word: nothing is sent any more
	// unproven says that the endpoint failed this entry, or was out of another
	// one's reach, and that no answer has begun there since.
	unproven bool
}

// setUnproven changes what is believed of an endpoint, and logs it.
func (b *Scheduler) setUnproven(key uint64, unproven bool, why string) {
	a := b.account(key)
	if a.health.unproven == unproven {
		return
	}
	a.health.unproven = unproven
	b.logger.Info().Str("endpoint", a.name).Uint64("key", key).Bool("doubted", unproven).Str("why", why).
		Int("failures", a.health.failures).Msg("What is believed of an endpoint has changed.")
}

// RecordFailure notes that an endpoint broke a request off, answered garbage or not at
// all. It rests twice as long after each failure in a row.
func (b *Scheduler) RecordFailure(key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &b.account(key).health
	rest := min(doubtFirst<<min(h.failures, 8), doubtMost)
	h.failures++
	b.setUnproven(key, true, "it failed a request of this entry")
	h.restUntil = b.now().Add(rest)
}

// RecordUnreachable notes that an endpoint took no connection, and tells the others.
func (b *Scheduler) RecordUnreachable(key uint64) {
	b.RecordFailure(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spread(&wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_UNREACHABLE, Endpoints: []uint64{key}}, AllDataCentres)
}

// doubt takes another entry's word for it, for the first rest only.
func (b *Scheduler) doubt(keys []uint64) {
	for _, key := range keys {
		h := &b.account(key).health
		h.restUntil = enginemodel.Later(h.restUntil, b.now().Add(doubtFirst))
		b.setUnproven(key, true, "another entry could not reach it")
	}
}

// RecordRefusal notes that an endpoint said it was full.
func (b *Scheduler) RecordRefusal(key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &b.account(key).health
	h.restUntil = enginemodel.Later(h.restUntil, b.now().Add(fullRest))
}

// RecordBusy notes that an endpoint wants no request for a time.
func (b *Scheduler) RecordBusy(key uint64, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(key)
	a.health.busyUntil = enginemodel.Later(a.health.busyUntil, b.now().Add(wait))
	b.logger.Info().Str("endpoint", a.name).Uint64("key", key).Dur("wait", wait).Msg("An endpoint wants no request for a time.")
}

// RecordDraining notes that an endpoint takes no further work in this incarnation. It
// reports whether that is news.
func (b *Scheduler) RecordDraining(key uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(key)
	if a.health.leaving {
		return false
	}
	a.health.leaving = true
	b.logger.Info().Str("endpoint", a.name).Uint64("key", key).Msg("An endpoint says that it leaves.")
	return true
}

// RecordSuccess notes a good answer.
func (b *Scheduler) RecordSuccess(key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &b.account(key).health
	h.failures = 0
	b.setUnproven(key, false, "it answered a request of this entry")
	h.successAt = b.now()
}
