package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// permit says when a request of this entry may ask for a permit for an endpoint.
type permit struct {
	asking      bool // a request is asking
	deniedUntil time.Time
}

func (p *permit) mayAsk(now time.Time) bool { return !p.asking && !now.Before(p.deniedUntil) }

// StartPermit reports whether a request may ask for a permit for an endpoint: of the
// requests of this entry only one asks at a time. Until EndPermit no other request chooses
// the endpoint.
func (s *Scheduler) StartPermit(key uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.stateOf(key).permit
	if !p.mayAsk(s.now()) {
		return false
	}
	p.asking = true
	return true
}

// EndPermit records the answer to a request for a permit: no request chooses the endpoint
// for the given time, which is 0 if the permit was granted. While the allowed rate grows it
// is at most recoveryDoubling, as the time was worked out from the rate of now.
func (s *Scheduler) EndPermit(key uint64, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, now := s.stateOf(key), s.now()
	if state.rateLimit.hasJustEnded(now) {
		wait = min(wait, recoveryDoubling)
	}
	state.permit.asking = false
	state.permit.deniedUntil = now.Add(wait)
}

// PermitRate returns the rate, in requests a second, at which permits for an endpoint are
// issued: its allowed rate or, while it is cold, the rate that its service accepts then, if
// that is lower. It is Unlimited if no permit is needed.
func (s *Scheduler) PermitRate(e *directory.Endpoint, service *catalogue.Service) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateOf(e.Key).permitRate(e, service, s.now(), monotonic.Now())
}

// permitRate is PermitRate for a caller that holds the lock and has read the clocks.
func (state *endpointState) permitRate(e *directory.Endpoint, service *catalogue.Service, now time.Time, steadyNow monotonic.Time) float64 {
	return min(state.rateLimit.allowed(now), coldRate(e, service, steadyNow))
}

// ColdRate returns the rate that an endpoint accepts because it is cold, in requests a
// second, Unlimited if it isn't.
func ColdRate(e *directory.Endpoint, service *catalogue.Service) float64 {
	return coldRate(e, service, monotonic.Now())
}

func coldRate(e *directory.Endpoint, service *catalogue.Service, now monotonic.Time) float64 {
	if service.ColdRequestsPerSecond > 0 && e.Cold(now) {
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
	now, steadyNow := s.now(), monotonic.Now()
	for _, e := range endpoints {
		state := s.stateOf(e.Key)
		if !state.isUsable(e, req, now) {
			continue
		}
		rate, left := state.permitRate(e, req.Service, now, steadyNow), state.permit.deniedUntil.Sub(now)
		if rate == Unlimited || left <= 0 || state.permit.asking {
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
