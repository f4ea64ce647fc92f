package placement

import (
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
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
	own       bool // learnt from a response to this entry, not from another process
	asking    bool // a request of this entry is asking for a permit
	// deniedUntil is when the next permit for the endpoint may be asked for.
	deniedUntil time.Time
}

// mayAsk reports whether a permit for the endpoint may be asked for now, if it needs one.
func (l *rateLimit) mayAsk(now time.Time) bool { return !l.asking && !now.Before(l.deniedUntil) }

// current returns the rate limit, in requests a second.
func (l *rateLimit) current() float64 {
	if l.revision == 0 {
		return Unlimited
	}
	return l.perSecond
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
		l.deniedUntil = time.Time{}
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

// RateLimit returns the rate limit of an endpoint in requests a second, Unlimited if it
// has none.
func (s *Scheduler) RateLimit(key uint64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateOf(key).rateLimit.current()
}

// RateLimitMessage returns the rate limit of an endpoint for other processes.
func (s *Scheduler) RateLimitMessage(key uint64) *wire.RateLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateOf(key).rateLimit.message()
}

// StartPermit reports whether a request may ask for a permit for an endpoint: of the
// requests of this entry only one asks at a time. Until EndPermit no other request chooses
// the endpoint.
func (s *Scheduler) StartPermit(key uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.stateOf(key).rateLimit
	if !l.mayAsk(s.now()) {
		return false
	}
	l.asking = true
	return true
}

// EndPermit records the answer to a request for a permit: no request chooses the endpoint
// for the given time, which is 0 if the permit was granted.
func (s *Scheduler) EndPermit(key uint64, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.stateOf(key).rateLimit
	l.asking = false
	l.deniedUntil = s.now().Add(wait)
}

// PermitRate returns the rate, in requests a second, at which permits for an endpoint are
// issued: its rate limit or, while it is cold, the rate that its service accepts then, if
// that is lower. It is Unlimited if no permit is needed.
func (s *Scheduler) PermitRate(e *directory.Endpoint, service *catalogue.Service) float64 {
	return min(s.RateLimit(e.Key), ColdRate(e, service))
}

// ColdRate returns the rate that an endpoint accepts because it is cold, in requests a
// second, Unlimited if it isn't.
func ColdRate(e *directory.Endpoint, service *catalogue.Service) float64 {
	if service.ColdRequestsPerSecond > 0 && e.Cold(monotonic.Now()) {
		return service.ColdRequestsPerSecond
	}
	return Unlimited
}

// PermitWait returns the time until the first permit may be asked for, if all usable
// endpoints of a request wait for one. Otherwise all is false.
func (s *Scheduler) PermitWait(endpoints []*directory.Endpoint, req *Request) (wait time.Duration, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait, _, all = s.permitWait(endpoints, req)
	return wait, all
}

// permitWait is PermitWait for a caller that holds the lock. It also returns the rate of
// the permits of all these endpoints together, in requests a second.
func (s *Scheduler) permitWait(endpoints []*directory.Endpoint, req *Request) (wait time.Duration, perSecond float64, all bool) {
	now := s.now()
	for _, e := range endpoints {
		state := s.stateOf(e.Key)
		if req.Excluded(e) || state.health.draining || now.Before(state.health.busyUntil) {
			continue
		}
		rate := min(state.rateLimit.current(), ColdRate(e, req.Service))
		left := state.rateLimit.deniedUntil.Sub(now)
		if rate == Unlimited || left <= 0 || state.rateLimit.asking {
			return 0, 0, false
		}
		if !all || left < wait {
			wait = left
		}
		all = true
		perSecond += rate
	}
	return wait, perSecond, all
}
