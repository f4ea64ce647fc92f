package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
)

// evaluate predicts what a request earns and costs at one endpoint, as the main
// endpoint or as a helper, without the preference and endpointCostShare.
func (s *Scheduler) evaluate(c *candidate, req *Request, prefill enginemodel.Prefill, helper bool) option {
	engine := req.Service.Engine
	part := enginemodel.Part{Work: newWork, Prefill: prefill, Helper: helper}
	c.state.queue.Forecast(engine, c.batch, &part, &s.forecastAfter)
	o := option{candidate: c, firstMs: s.forecastAfter.PartDoneMs(newWork)}
	if c.cold {
		o.firstMs *= coldSlowdownFactor
	}
	if !helper {
		o.firstMs = (o.firstMs + c.slotWaitMs(engine)) * s.bias
	}
	o.loss = s.lossOf(c)
	o.cost += req.Credit * s.dataCentreCostShare(c, req, helper)
	o.score = req.Credit*lateLossShare*onTimeChance(o.firstMs, req.ObjectiveLeft, firstEventMargin) - o.loss - o.cost
	return o
}

// dataCentreCostShare returns the cost of the candidate's data centre, as a share of
// the credit.
func (s *Scheduler) dataCentreCostShare(c *candidate, req *Request, helper bool) float64 {
	switch {
	case c.endpoint.DataCentre == req.DataCentre:
		return 0
	case helper || !c.isReported():
		return otherDataCentreCostShare
	case isLong(req):
		return reportedDataCentreLongCostShare
	}
	return reportedDataCentreCostShare
}

// newWork identifies the work item that is being evaluated.
var newWork = enginemodel.WorkID{}

// lossOf returns the credit that the work at an endpoint loses when forecastAfter
// comes true instead of the candidate's forecast: by longer passes, and by later first
// events.
func (s *Scheduler) lossOf(c *candidate) float64 {
	before, after := &c.forecast, &s.forecastAfter
	now := s.now()
	loss := c.state.reported.loss(before, after)
	for _, w := range c.state.inFlight {
		if w.late {
			continue
		}
		lost := 0.0
		if w.endpoints[0] == c.endpoint.Key {
			lost = onTimeChance(before.LongestPassMs, w.pauseObjective, pauseMargin) - onTimeChance(after.LongestPassMs, w.pauseObjective, pauseMargin)
		}
		if !w.started {
			left := w.firstDueAt.Sub(now)
			first := max(enginemodel.Milliseconds(w.predictedFirstAt.Sub(now)), before.PartDoneMs(w.id))
			lost = max(lost, onTimeChance(first, left, firstEventMargin)-onTimeChance(max(first, after.PartDoneMs(w.id)), left, firstEventMargin))
		}
		loss += w.credit * lateLossShare * max(0, lost)
	}
	return loss
}

// onTimeChance estimates the probability that a predicted time in ms meets an
// objective. It is 0 when there is no objective or it has passed.
func onTimeChance(predictedMs float64, objective time.Duration, margin float64) float64 {
	limit := enginemodel.Milliseconds(objective)
	if objective <= 0 {
		return 0
	}
	marginMs := min(limit*margin, enginemodel.Milliseconds(maxFirstEventMargin))
	return min(1, max(0, (limit-predictedMs)/marginMs))
}
