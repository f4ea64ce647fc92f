package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	minBackoff     = 250 * time.Millisecond // after the first failure
	maxBackoff     = 4 * time.Second
	refusalBackoff = 60 * time.Millisecond // after a refusal because the endpoint is full
)

// health is what this entry has observed of an endpoint itself.
type health struct {
	failures      int // consecutive
	backoffUntil  time.Time
	lastSuccessAt time.Time
	busyUntil     time.Time // as the endpoint itself asked: nothing is sent before
	draining      bool      // as the endpoint itself said: nothing is sent any more
	// suspect is set when the endpoint failed a request of this entry or another entry
	// could not reach it, until an answer begins or succeeds there.
	suspect bool
}

// setSuspect sets or clears the suspicion of an endpoint, and logs a change.
func (s *Scheduler) setSuspect(key uint64, suspect bool, why string) {
	state := s.stateOf(key)
	if state.health.suspect == suspect {
		return
	}
	state.health.suspect = suspect
	s.logger.Info().Str("endpoint", state.name).Uint64("key", key).Bool("doubted", suspect).Str("why", why).
		Int("failures", state.health.failures).Msg("An endpoint was marked as suspect or cleared.")
}

// RecordFailure records that an endpoint aborted a request, sent an invalid answer or
// none. The back-off doubles with each consecutive failure.
func (s *Scheduler) RecordFailure(key uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.stateOf(key).health
	backoff := min(minBackoff<<min(h.failures, 8), maxBackoff)
	h.failures++
	s.setSuspect(key, true, "it failed a request of this entry")
	h.backoffUntil = s.now().Add(backoff)
}

// RecordUnreachable records that an endpoint accepted no connection, and publishes it
// to the other entries.
func (s *Scheduler) RecordUnreachable(key uint64) {
	s.RecordFailure(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(&wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_UNREACHABLE, Endpoints: []uint64{key}}, AllDataCentres)
}

// suspectUnreachable applies another entry's report, with the shortest back-off only.
func (s *Scheduler) suspectUnreachable(keys []uint64) {
	for _, key := range keys {
		h := &s.stateOf(key).health
		h.backoffUntil = enginemodel.Later(h.backoffUntil, s.now().Add(minBackoff))
		s.setSuspect(key, true, "another entry could not reach it")
	}
}

// RecordRefusal records that an endpoint refused a request because it is full.
func (s *Scheduler) RecordRefusal(key uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.stateOf(key).health
	h.backoffUntil = enginemodel.Later(h.backoffUntil, s.now().Add(refusalBackoff))
}

// RecordBusy records that an endpoint asked for no requests for a time.
func (s *Scheduler) RecordBusy(key uint64, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateOf(key)
	state.health.busyUntil = enginemodel.Later(state.health.busyUntil, s.now().Add(wait))
	s.logger.Info().Str("endpoint", state.name).Uint64("key", key).Dur("wait", wait).Msg("An endpoint asked for no requests for a time.")
}

// RecordDraining records that an endpoint takes no further work in this incarnation.
// It reports whether this was not yet recorded.
func (s *Scheduler) RecordDraining(key uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateOf(key)
	if state.health.draining {
		return false
	}
	state.health.draining = true
	s.logger.Info().Str("endpoint", state.name).Uint64("key", key).Msg("An endpoint is draining.")
	return true
}

// RecordSuccess records a successful answer. It clears the suspicion and resets the
// count of failures.
func (s *Scheduler) RecordSuccess(key uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.stateOf(key).health
	h.failures = 0
	s.setSuspect(key, false, "it answered a request of this entry")
	h.lastSuccessAt = s.now()
}
