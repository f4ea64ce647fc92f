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

// health is what this entry knows of an endpoint's failures and refusals: from its own
// requests and, where said, from other entries.
type health struct {
	failures      int // consecutive, of this entry's requests
	backoffUntil  time.Time
	lastSuccessAt time.Time
	busyUntil     time.Time // as the endpoint itself asked: nothing is sent before
	draining      bool      // as the endpoint itself said: nothing is sent any more
	// suspect is set when the endpoint failed a request of this entry or another entry
	// could not reach it, until an answer begins or succeeds there.
	suspect bool
}

// setSuspect marks an endpoint as suspect or clears the mark. It logs a change, with the
// new mark in the field "doubted".
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

// RecordUnreachable records a failure because an endpoint accepted no connection, and
// publishes it to the entries of all data centres.
func (s *Scheduler) RecordUnreachable(key uint64) {
	s.RecordFailure(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(&wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_UNREACHABLE, Endpoints: []uint64{key}}, AllDataCentres)
}

// applyUnreachable applies another entry's report that it could not reach endpoints.
// They become suspect and are in back-off for at least minBackoff. Their failures
// aren't counted, as the back-off doubles only with failures of this entry's own
// requests.
func (s *Scheduler) applyUnreachable(keys []uint64) {
	for _, key := range keys {
		h := &s.stateOf(key).health
		h.backoffUntil = enginemodel.Later(h.backoffUntil, s.now().Add(minBackoff))
		s.setSuspect(key, true, "another entry could not reach it")
	}
}

// RecordRefusal records that an endpoint refused a request because it is full. This
// doesn't count as a failure. It raises the endpoint's estimated load for a short time.
func (s *Scheduler) RecordRefusal(key uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateOf(key)
	now := s.now()
	state.health.backoffUntil = enginemodel.Later(state.health.backoffUntil, now.Add(refusalBackoff))
	s.recordRejection(state, key, now)
}

// RecordBusy records that an endpoint asked for no requests for a time, and publishes it
// to the entries of all data centres.
func (s *Scheduler) RecordBusy(key uint64, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyBusy(key, wait)
	s.publish(busyEvent(key, wait), AllDataCentres)
}

// applyBusy applies that an endpoint asked an entry for no requests for a time. The
// caller holds the lock.
func (s *Scheduler) applyBusy(key uint64, wait time.Duration) {
	state := s.stateOf(key)
	state.health.busyUntil = enginemodel.Later(state.health.busyUntil, s.now().Add(wait))
	s.logger.Info().Str("endpoint", state.name).Uint64("key", key).Dur("wait", wait).Msg("An endpoint asked for no requests for a time.")
}

func busyEvent(key uint64, wait time.Duration) *wire.WorkEvent {
	return &wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_BUSY, Endpoints: []uint64{key}, LimitMs: wireMs(wait)}
}

// busyEvents returns the events of the endpoints that want no requests yet. The caller
// holds the lock.
func (s *Scheduler) busyEvents() []*wire.WorkEvent {
	now := s.now()
	var events []*wire.WorkEvent
	for key, state := range s.states {
		if left := state.health.busyUntil.Sub(now); left > 0 {
			events = append(events, busyEvent(key, left))
		}
	}
	return events
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

// RecordSuccess records a successful answer. The endpoint is no longer suspect, and its
// count of failures is reset.
func (s *Scheduler) RecordSuccess(key uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.stateOf(key).health
	h.failures = 0
	s.setSuspect(key, false, "it answered a request of this entry")
	h.lastSuccessAt = s.now()
}
