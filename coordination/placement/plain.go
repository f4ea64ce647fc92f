package placement

import (
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/loadestimate"
)

// statedSlots returns the number of slots that the endpoint states, at least 1.
func (c *candidate) statedSlots() int { return max(1, c.endpoint.Slots) }

// plainLimit returns how many requests a plain endpoint is given.
func (c *candidate) plainLimit() int { return plainQueueFactor * c.statedSlots() }

// plainScore returns the load per slot of a plain endpoint, with the cost of its data
// centre.
func (c *candidate) plainScore(req *Request) float64 {
	score := c.load / float64(c.statedSlots())
	if c.endpoint.DataCentre != req.DataCentre {
		score += otherDataCentreCostShare
	}
	return score
}

// choosePlain returns a plan with an endpoint of a plain service, nil when all queues are
// full. It draws one in proportion to the free capacity, as otherwise all entries would
// choose the best one.
func (s *Scheduler) choosePlain(candidates []*candidate, req *Request, now time.Time) *Plan {
	open := s.plainOptions(candidates, req)
	options := s.estimates.loadOptions[:0]
	for _, c := range open {
		slots := float64(c.statedSlots())
		load := c.plainScore(req) * slots
		capacity := max(load, float64(c.plainLimit())) + 1 // so each can be drawn
		options = append(options, loadestimate.Option{Load: load, Slots: slots, Capacity: capacity})
	}
	s.estimates.loadOptions = options
	chosen := s.estimates.pick(options, unknownArrivals(open, now))
	if chosen < 0 {
		return nil
	}
	best := open[chosen]
	p := &Plan{Endpoints: []*directory.Endpoint{best.endpoint}, Score: -best.plainScore(req), ActiveAnswers: best.answers}
	if second := leastLoadedExcept(open, best, req); second != nil {
		p.RunnerUp, p.RunnerUpScore = second.endpoint.ID, -second.plainScore(req)
	}
	return p
}

// leastLoadedExcept returns the candidate with the lowest plain score apart from one, nil if
// there is no other.
func leastLoadedExcept(candidates []*candidate, except *candidate, req *Request) *candidate {
	var least *candidate
	for _, c := range candidates {
		if c != except && (least == nil || c.plainScore(req) < least.plainScore(req)) {
			least = c
		}
	}
	return least
}

// plainOptions returns the endpoints of a plain service with a place in their queue.
// Endpoints of other data centres that are no less loaded than one of this data centre are
// left out, as the load here is known best and no traffic between data centres is needed.
func (s *Scheduler) plainOptions(candidates []*candidate, req *Request) []*candidate {
	bestHere := math.Inf(1)
	for _, c := range candidates {
		if c.endpoint.DataCentre == req.DataCentre && c.answers < c.plainLimit() {
			bestHere = min(bestHere, c.plainScore(req))
		}
	}
	open := s.estimates.openCandidates[:0]
	for _, c := range candidates {
		if c.answers < c.plainLimit() && (c.endpoint.DataCentre == req.DataCentre || c.plainScore(req) < bestHere) {
			open = append(open, c)
		}
	}
	s.estimates.openCandidates = open
	return open
}
