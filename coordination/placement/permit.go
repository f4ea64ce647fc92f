package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// Coldness is what this entry knows of whether an endpoint is cold. All but Warm bound the
// requests that it gets from all entries together.
type Coldness string

const (
	Warm Coldness = "warm"
	Cold Coldness = "cold" // in the cold start that it has announced
	// Unheard means that the endpoint may have become cold while its data centre was out of
	// service, as nothing was heard from it since.
	Unheard Coldness = "unheard"
	// Silent means that the endpoint may have become cold since it was last heard from, as
	// that is longer ago than silentAfter.
	Silent Coldness = "silent"
)

// Coldness returns what this entry knows of whether an endpoint is cold.
func (s *Scheduler) Coldness(e *directory.Endpoint) Coldness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldness(s.stateOf(e.Key), e, s.now(), monotonic.Now())
}

// coldness is Coldness for a caller that holds the lock and has read the clocks.
func (s *Scheduler) coldness(state *endpointState, e *directory.Endpoint, now time.Time, steadyNow monotonic.Time) Coldness {
	switch {
	case e.Cold(steadyNow):
		return Cold
	case !s.heardSinceReturn(e):
		return Unheard
	case state.isSilent(e, now, steadyNow):
		return Silent
	}
	return Warm
}

// isSilent reports whether for silentAfter neither this entry nor, as far as it knows,
// another process has heard from an endpoint.
func (state *endpointState) isSilent(e *directory.Endpoint, now time.Time, steadyNow monotonic.Time) bool {
	return steadyNow.Sub(e.HeardAt) > silentAfter && now.Sub(state.health.lastSuccessAt) > silentAfter
}

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
// issued: its allowed rate or, unless it is known to be warm, the rate that its service
// accepts from a cold one, if that is lower. It is Unlimited if no permit is needed.
func (s *Scheduler) PermitRate(e *directory.Endpoint, service *catalogue.Service) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permitRate(s.stateOf(e.Key), e, service, s.now(), monotonic.Now())
}

// permitRate is PermitRate for a caller that holds the lock and has read the clocks.
func (s *Scheduler) permitRate(state *endpointState, e *directory.Endpoint, service *catalogue.Service, now time.Time, steadyNow monotonic.Time) float64 {
	return min(state.rateLimit.allowed(now), coldRate(service, s.coldness(state, e, now, steadyNow)))
}

// ColdRate returns the rate that an endpoint accepts because it is or may be cold, in
// requests a second, Unlimited if it is known to be warm.
func (s *Scheduler) ColdRate(e *directory.Endpoint, service *catalogue.Service) float64 {
	return coldRate(service, s.Coldness(e))
}

func coldRate(service *catalogue.Service, coldness Coldness) float64 {
	if service.ColdRequestsPerSecond > 0 && coldness != Warm {
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
		if state.unusableReason(e, req, now) != NoReason {
			continue
		}
		rate, left := s.permitRate(state, e, req.Service, now, steadyNow), state.permit.deniedUntil.Sub(now)
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
