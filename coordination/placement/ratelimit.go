package placement

import (
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Unlimited is the rate limit of an endpoint that states none.
var Unlimited = math.Inf(1)

// After the end of a limit the rate of requests grows from the last limit, or from
// minRecoveryPerSecond if that is higher, and doubles each recoveryDoubling until
// recoveryTime has passed. All entries learn of the end at the same moment and prefer the
// endpoint, as it has the least work; without this growth they would overload it before
// its next response could state a limit again.
const (
	recoveryTime         = 5 * time.Second
	recoveryDoubling     = time.Second
	minRecoveryPerSecond = 0.5
)

// rateLimit is what is known of the rate limit that an endpoint states in its responses,
// for the requests of all entries together.
type rateLimit struct {
	// revision counts the changes; 0 means that the endpoint has never stated a limit.
	revision  uint64
	perSecond float64 // Unlimited once the endpoint has stopped stating a limit; undefined at revision 0
	learntAt  time.Time
	own       bool      // learnt from a response to this entry, not from another process
	beforeEnd float64   // the last limit that has ended
	endedAt   time.Time // when it ended; zero if this process knows of no end
}

// current returns the rate limit, in requests a second.
func (l *rateLimit) current() float64 {
	if l.revision == 0 {
		return Unlimited
	}
	return l.perSecond
}

// allowed returns the rate, in requests a second, at which all entries together may send
// at a time: the limit or, after its end, a rate that grows.
func (l *rateLimit) allowed(now time.Time) float64 {
	if !l.hasJustEnded(now) {
		return l.current()
	}
	doublings := float64(now.Sub(l.endedAt)) / float64(recoveryDoubling)
	return max(l.beforeEnd, minRecoveryPerSecond) * math.Exp2(doublings)
}

// hasJustEnded reports whether the endpoint has stopped stating a limit less than
// recoveryTime ago.
func (l *rateLimit) hasJustEnded(now time.Time) bool {
	return l.current() == Unlimited && now.Sub(l.endedAt) < recoveryTime
}

// isOlderThan reports whether another statement replaces this one. Of two with the same
// revision, made by entries that didn't know of each other's, the lower limit holds.
func (l *rateLimit) isOlderThan(revision uint64, perSecond float64) bool {
	return l.revision < revision || l.revision == revision && revision > 0 && perSecond < l.perSecond
}

// RecordRateLimit records the rate limit that an endpoint stated in its response to a
// request sent at sentAt, Unlimited if it stated none, and publishes a change to the
// entries of all data centres. Requests overtake each other, so a higher limit than the
// known one is believed only from the response to a request that was sent after the known
// one was learnt.
func (s *Scheduler) RecordRateLimit(key uint64, perSecond float64, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.stateOf(key).rateLimit
	known := l.current()
	if perSecond == known || perSecond > known && !sentAt.After(l.learntAt) {
		return
	}
	s.setRateLimit(key, l.revision+1, perSecond, true)
	s.publish(l.event(key), AllDataCentres)
}

// MergeRateLimit applies a rate limit that another process has learnt of.
func (s *Scheduler) MergeRateLimit(key uint64, stated *wire.RateLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeRateLimit(key, stated)
}

// mergeRateLimit is MergeRateLimit for a caller that holds the lock.
func (s *Scheduler) mergeRateLimit(key uint64, stated *wire.RateLimit) {
	perSecond := stated.GetPerSecond()
	if stated.GetUnlimited() {
		perSecond = Unlimited
	}
	if s.stateOf(key).rateLimit.isOlderThan(stated.GetRevision(), perSecond) {
		s.setRateLimit(key, stated.GetRevision(), perSecond, false)
	}
}

// setRateLimit stores and logs a rate limit. With a higher one than before, permits may
// be asked for at once. The caller holds the lock.
func (s *Scheduler) setRateLimit(key, revision uint64, perSecond float64, own bool) {
	state, now := s.stateOf(key), s.now()
	l := &state.rateLimit
	line := s.logger.Info().Str("endpoint", state.name).Uint64("key", key).Uint64("revision", revision).
		Bool("limited", perSecond != Unlimited).Bool("own", own)
	if perSecond != Unlimited {
		line = line.Float64("per_second", perSecond)
	}
	if l.revision > 0 {
		line = line.Dur("old_age", now.Sub(l.learntAt))
	}
	line.Msg("The rate limit of an endpoint has changed.")
	if perSecond > l.current() {
		state.permit.deniedUntil = time.Time{}
	}
	if perSecond == Unlimited && l.current() != Unlimited {
		l.beforeEnd, l.endedAt = l.current(), now
	}
	l.revision, l.perSecond, l.learntAt, l.own = revision, perSecond, now, own
}

// event returns the event that tells other processes the limit.
func (l *rateLimit) event(key uint64) *wire.WorkEvent {
	return &wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_RATE_LIMIT, Endpoints: []uint64{key}, RateLimit: l.message()}
}

func (l *rateLimit) message() *wire.RateLimit {
	if l.current() == Unlimited {
		return &wire.RateLimit{Revision: l.revision, Unlimited: true}
	}
	return &wire.RateLimit{Revision: l.revision, PerSecond: l.perSecond}
}

// rateLimitEvents returns the events of the rate limits that wanted accepts, ended ones
// included, as their revisions count on. The caller holds the lock.
func (s *Scheduler) rateLimitEvents(wanted func(*rateLimit) bool) []*wire.WorkEvent {
	var events []*wire.WorkEvent
	for key, state := range s.states {
		if state.rateLimit.revision > 0 && wanted(&state.rateLimit) && s.isKnown(key) {
			events = append(events, state.rateLimit.event(key))
		}
	}
	return events
}

// RateLimit returns the rate limit that an endpoint states, in requests a second,
// Unlimited if it states none.
func (s *Scheduler) RateLimit(key uint64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateOf(key).rateLimit.current()
}

// AllowedRate returns the rate, in requests a second, at which all entries together may
// send to an endpoint: its rate limit, for a short time after the end of one a rate that
// grows, and otherwise Unlimited.
func (s *Scheduler) AllowedRate(key uint64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateOf(key).rateLimit.allowed(s.now())
}

// RateLimitMessage returns the rate limit of an endpoint for other processes.
func (s *Scheduler) RateLimitMessage(key uint64) *wire.RateLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateOf(key).rateLimit.message()
}
