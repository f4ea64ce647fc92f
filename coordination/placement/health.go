package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	minBackoff     = 250 * time.Millisecond // an endpoint rests so long after one failure
	maxBackoff     = 4 * time.Second
	refusalBackoff = 60 * time.Millisecond // after a refusal as full
)

// health is what this entry has seen of an endpoint itself.
type health struct {
	failures      int // in a row
	backoffUntil  time.Time
	lastSuccessAt time.Time
	busyUntil     time.Time // by its own word: nothing is sent before
	draining      bool      // by its own word: nothing is sent any more
	// suspect says that the endpoint failed this entry, or was out of another
	// one's reach, and that no answer has begun there since.
	suspect bool
}

// setSuspect changes what is believed of an endpoint, and logs it.
func (s *Scheduler) setSuspect(key uint64, suspect bool, why string) {
	state := s.stateOf(key)
	if state.health.suspect == suspect {
		return
	}
	state.health.suspect = suspect
	s.logger.Info().Str("endpoint", state.name).Uint64("key", key).Bool("doubted", suspect).Str("why", why).
		Int("failures", state.health.failures).Msg("What is believed of an endpoint has changed.")
}

// RecordFailure notes that an endpoint broke a request off, answered garbage or not at
// all. It rests twice as long after each failure in a row.
func (s *Scheduler) RecordFailure(key uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.stateOf(key).health
	backoff := min(minBackoff<<min(h.failures, 8), maxBackoff)
	h.failures++
	s.setSuspect(key, true, "it failed a request of this entry")
	h.backoffUntil = s.now().Add(backoff)
}

// RecordUnreachable notes that an endpoint took no connection, and tells the others.
func (s *Scheduler) RecordUnreachable(key uint64) {
	s.RecordFailure(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(&wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_UNREACHABLE, Endpoints: []uint64{key}}, AllDataCentres)
}

// suspectUnreachable takes another entry's word for it, for the first rest only.
func (s *Scheduler) suspectUnreachable(keys []uint64) {
	for _, key := range keys {
		h := &s.stateOf(key).health
		h.backoffUntil = enginemodel.Later(h.backoffUntil, s.now().Add(minBackoff))
		s.setSuspect(key, true, "another entry could not reach it")
	}
}

// RecordRefusal notes that an endpoint said it was full.
func (s *Scheduler) RecordRefusal(key uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.stateOf(key).health
	h.backoffUntil = enginemodel.Later(h.backoffUntil, s.now().Add(refusalBackoff))
}

// RecordBusy notes that an endpoint wants no request for a time.
func (s *Scheduler) RecordBusy(key uint64, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateOf(key)
	state.health.busyUntil = enginemodel.Later(state.health.busyUntil, s.now().Add(wait))
	s.logger.Info().Str("endpoint", state.name).Uint64("key", key).Dur("wait", wait).Msg("An endpoint wants no request for a time.")
}

// RecordDraining notes that an endpoint takes no further work in this incarnation. It
// reports whether that is news.
func (s *Scheduler) RecordDraining(key uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateOf(key)
	if state.health.draining {
		return false
	}
	state.health.draining = true
	s.logger.Info().Str("endpoint", state.name).Uint64("key", key).Msg("An endpoint says that it leaves.")
	return true
}

// RecordSuccess notes a good answer.
func (s *Scheduler) RecordSuccess(key uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.stateOf(key).health
	h.failures = 0
	s.setSuspect(key, false, "it answered a request of this entry")
	h.lastSuccessAt = s.now()
}
