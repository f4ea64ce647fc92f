package placement

import (
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/loadestimate"
)

// plainLimit returns how many requests a plain endpoint is given.
func (c *candidate) plainLimit() int { return plainQueueFactor * max(1, c.endpoint.Slots) }

// plainScore returns the load per slot of a plain endpoint, with the cost of its data
// centre.
func (c *candidate) plainScore(req *Request) float64 {
	score := c.load / float64(max(1, c.endpoint.Slots))
	if c.endpoint.DataCentre != req.DataCentre {
		score += otherDataCentreCostShare
	}
	return score
}

// choosePlain returns a plan with an endpoint of a plain service, nil when all queues are
// full. It draws one in proportion to the free capacity, as all entries would choose the
// best one.
func (s *Scheduler) choosePlain(candidates []*candidate, req *Request, now time.Time) *Plan {
	open := s.plainOptions(candidates, req)
	options := s.estimates.loadOptions[:0]
	for _, c := range open {
		slots := float64(max(1, c.endpoint.Slots))
		load := c.plainScore(req) * slots
		options = append(options, loadestimate.Option{Load: load, Slots: slots, Capacity: max(load, float64(c.plainLimit())) + 1})
	}
	s.estimates.loadOptions = options
	chosen := s.estimates.pick(options, unknownArrivals(open, now))
	if chosen < 0 {
		return nil
	}
	best := open[chosen]
	p := &Plan{Endpoints: []*directory.Endpoint{best.endpoint}, Score: -best.plainScore(req), ActiveAnswers: best.answers}
	var second *candidate
	for _, c := range open {
		if c != best && (second == nil || c.plainScore(req) < second.plainScore(req)) {
			second = c
		}
	}
	if second != nil {
		p.RunnerUp, p.RunnerUpScore = second.endpoint.ID, -second.plainScore(req)
	}
	return p
}

// plainOptions returns the endpoints of a plain service with a place in their queue.
// Endpoints of other data centres that are no less loaded than one of this data centre are
// left out, as its load is known best and costs no traffic between data centres.
func (s *Scheduler) plainOptions(candidates []*candidate, req *Request) []*candidate {
	bestHere := math.Inf(1)
	for _, c := range candidates {
		if c.endpoint.DataCentre == req.DataCentre && c.answers < c.plainLimit() {
			bestHere = min(bestHere, c.plainScore(req))
		}
	}
	open := s.estimates.plainOptions[:0]
	for _, c := range candidates {
		if c.answers < c.plainLimit() && (c.endpoint.DataCentre == req.DataCentre || c.plainScore(req) < bestHere) {
			open = append(open, c)
		}
	}
	s.estimates.plainOptions = open
	return open
}
