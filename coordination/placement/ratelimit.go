package placement

import (
	"math"
	"time"
)

// Unlimited is the rate limit of an endpoint that states none.
var Unlimited = math.Inf(1)

// rateLimit is what is known of the rate limit that an endpoint states in its responses,
// for the requests of all entries together.
type rateLimit struct {
	// revision counts the changes; 0 means that the endpoint has never stated a limit.
	revision  uint64
	perSecond float64 // Unlimited once the endpoint has stopped stating a limit; undefined at revision 0
	learntAt  time.Time
}

// current returns the rate limit, in requests a second.
func (l *rateLimit) current() float64 {
	if l.revision == 0 {
		return Unlimited
	}
	return l.perSecond
}

// RecordRateLimit records the rate limit that an endpoint stated in its response to a
// request sent at sentAt, Unlimited if it stated none. Requests overtake each other, so a
// higher limit than the known one is believed only from the response to a request that
// was sent after the known one was learnt.
func (s *Scheduler) RecordRateLimit(key uint64, perSecond float64, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateOf(key)
	known := state.rateLimit.current()
	if perSecond == known || perSecond > known && !sentAt.After(state.rateLimit.learntAt) {
		return
	}
	s.setRateLimit(key, state.rateLimit.revision+1, perSecond, "a response to this entry")
}

// setRateLimit stores and logs a rate limit. The caller holds the lock.
func (s *Scheduler) setRateLimit(key, revision uint64, perSecond float64, source string) {
	state, now := s.stateOf(key), s.now()
	old := state.rateLimit
	state.rateLimit = rateLimit{revision: revision, perSecond: perSecond, learntAt: now}
	line := s.logger.Info().Str("endpoint", state.name).Uint64("key", key).Uint64("revision", revision).
		Bool("limited", perSecond != Unlimited).Str("source", source)
	if perSecond != Unlimited {
		line = line.Float64("per_second", perSecond)
	}
	if old.revision > 0 {
		line = line.Dur("old_age", now.Sub(old.learntAt))
	}
	line.Msg("The rate limit of an endpoint has changed.")
}

// RateLimit returns the rate limit of an endpoint in requests a second, Unlimited if it
// has none.
func (s *Scheduler) RateLimit(key uint64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateOf(key).rateLimit.current()
}
