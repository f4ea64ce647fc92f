package placement

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
)

// Explanation tells what Choose would do now, and why.
type Explanation struct {
	Plan *Plan // without a Handle; nil when no endpoint can take the request now
	// NoPlan is why the best plan isn't taken. It is NoReason if there is a plan, and if
	// EndpointReasons explain why there is none.
	NoPlan Reason
	// Reported is set when the load of the main endpoint is known from load reports.
	Reported bool
	// AboutEqual are the endpoints among which the main one is drawn at random; empty when
	// it isn't drawn.
	AboutEqual      []*directory.Endpoint
	EndpointReasons []EndpointReason // one for each endpoint
	Capacity        Capacity
	// PermitWait is the time until the first permit may be asked for, if OutOfPermits is set.
	PermitWait   time.Duration
	OutOfPermits bool // all usable endpoints wait for a permit
}

// EndpointReason tells why an endpoint is left out as the main one; NoReason if it isn't.
type EndpointReason struct {
	Endpoint *directory.Endpoint
	Reason   Reason        // why it is left out, or a last resort
	For      time.Duration // how long that holds; 0 when it isn't known
}

// Explain makes the decision of Choose on a copy of the scheduler, so that nothing changes:
// no work item is opened, no event published, no random number drawn. It holds
// the lock for several times as long as Choose.
func (s *Scheduler) Explain(endpoints []*directory.Endpoint, req *Request) *Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clone(endpoints)
	c.estimates.recordEligible = true
	candidates := c.candidates(endpoints, req)
	x := &Explanation{Plan: c.decide(candidates, req)}
	if x.Plan != nil {
		x.Reported = c.states[x.Plan.Endpoints[0].Key].estimate != nil
		x.AboutEqual = c.drawnAmong(x.Plan, req)
	}
	c.estimates.recordEligible = false
	x.Capacity = c.capacity(endpoints, candidates, req)
	if best := x.Capacity.BestPlan; x.Plan == nil && best != nil {
		x.NoPlan = best.rejectionReason(req)
	}
	n := max(x.Plan.size(), x.Capacity.BestPlan.size(), 1)
	x.EndpointReasons = c.endpointReasons(endpoints, candidates, req, n)
	x.PermitWait, _, x.OutOfPermits = c.permitWait(endpoints, req)
	return x
}

// size returns the number of endpoints, 0 for no plan.
func (p *Plan) size() int {
	if p == nil {
		return 0
	}
	return len(p.Endpoints)
}

// drawnAmong returns the endpoints among which the last decision drew the main one, nil if it
// didn't draw it.
func (s *Scheduler) drawnAmong(p *Plan, req *Request) []*directory.Endpoint {
	var drawn []*directory.Endpoint
	for _, i := range s.estimates.eligible {
		if req.Service.Engine == nil {
			drawn = append(drawn, s.estimates.openCandidates[i].endpoint)
		} else {
			drawn = append(drawn, s.estimates.reportedMains[i].endpoint)
		}
	}
	if len(drawn) < 2 || !slices.Contains(drawn, p.Endpoints[0]) {
		return nil // there was one only, or the main endpoint was not drawn
	}
	return drawn
}

// endpointReasons returns why each endpoint can't be the main one of a plan over n endpoints.
func (s *Scheduler) endpointReasons(endpoints []*directory.Endpoint, candidates []*candidate, req *Request, n int) []EndpointReason {
	unfit := s.unfitReasons(candidates, req, n)
	reasons := make([]EndpointReason, 0, len(endpoints))
	for i, e := range endpoints {
		r := EndpointReason{Endpoint: e, Reason: s.candidateBuffer[i].reason}
		if reason := unfit[e]; reason != NoReason {
			r.Reason = reason
		}
		r.For = s.states[e.Key].holdsFor(r.Reason, s.now())
		reasons = append(reasons, r)
	}
	return reasons
}

// unfitReasons returns why candidates can't be the main endpoint of a plan over n endpoints.
func (s *Scheduler) unfitReasons(candidates []*candidate, req *Request, n int) map[*directory.Endpoint]Reason {
	reasons := make(map[*directory.Endpoint]Reason)
	if req.Service.Engine == nil {
		open := s.plainOptions(candidates, req)
		for _, c := range candidates {
			switch {
			case c.answers >= c.plainLimit():
				reasons[c.endpoint] = NoSlot
			case !slices.Contains(open, c):
				reasons[c.endpoint] = NoLessLoaded
			}
		}
		return reasons
	}
	for _, c := range candidates {
		o := s.evaluate(c, req, prefillOver(req, n), false)
		reasons[c.endpoint] = c.unfitReason(req, o.firstMs)
	}
	if isLong(req) {
		s.addShortlistReasons(candidates, req, reasons)
	}
	return reasons
}

// addShortlistReasons sets the reasons of candidates that bestPlan doesn't consider for a
// long prompt.
func (s *Scheduler) addShortlistReasons(candidates []*candidate, req *Request, reasons map[*directory.Endpoint]Reason) {
	kept := withoutSuspects(candidates)
	listed := s.shortlist(kept, req)
	for _, c := range candidates {
		switch {
		case !slices.Contains(kept, c):
			reasons[c.endpoint] = Suspect
		case !slices.Contains(listed, c):
			reasons[c.endpoint] = NotShortlisted
		}
	}
}

// holdsFor returns how long a reason holds, 0 when that isn't known.
func (state *endpointState) holdsFor(reason Reason, now time.Time) time.Duration {
	until := now
	switch reason {
	case Busy:
		until = state.health.busyUntil
	case WaitsForPermit:
		until = state.permit.deniedUntil
	case InBackoff:
		until = state.health.backoffUntil
	}
	return max(0, until.Sub(now))
}
