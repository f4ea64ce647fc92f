package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
)

// weigh predicts what one endpoint's part in a demand gives and takes.
func (b *Scheduler) weigh(c *candidate, d *Request, reading enginemodel.Prefill, helps bool) option {
	engine := d.Service.Engine
	part := enginemodel.Part{Work: further, Prefill: reading, Helper: helps}
	c.account.queue.Forecast(engine, c.writers, &part, &b.after)
	o := option{candidate: c, first: b.after.PartDoneMs(further)}
	if c.cold {
		o.first *= coldFactor
	}
	if !helps {
		o.first = (o.first + c.slotWaitMs(engine)) * b.bias
	}
	o.loss = b.lossOf(c)
	o.cost += d.Credit * b.distance(c, d, helps)
	o.score = d.Credit*lateShare*chance(o.first, d.ObjectiveLeft, firstMargin) - o.loss - o.cost
	return o
}

// distance is the cost of a candidate's data centre, as a share of the credit.
func (b *Scheduler) distance(c *candidate, d *Request, helps bool) float64 {
	switch {
	case c.endpoint.DataCentre == d.DataCentre:
		return 0
	case helps || !b.isReported(c):
		return awayShare
	case isLong(d):
		return reportedLongShare
	}
	return reportedShare
}

// further names the work that is being weighed.
var further = enginemodel.WorkID{}

// lossOf is the credit that the work at an endpoint loses when b.after comes
// true instead of the candidate's forecast: by longer passes, and by first
// events that come later.
func (b *Scheduler) lossOf(c *candidate) float64 {
	before, after := &c.forecast, &b.after
	now := b.now()
	loss := c.account.untold.loss(before, after)
	for _, w := range c.account.works {
		if w.late {
			continue
		}
		kept := 0.0
		if w.endpoints[0] == c.endpoint.Key {
			kept = chance(before.LongestPassMs, w.pause, pauseMargin) - chance(after.LongestPassMs, w.pause, pauseMargin)
		}
		if !w.started {
			left := w.firstDue.Sub(now)
			first := max(enginemodel.Milliseconds(w.firstAt.Sub(now)), before.PartDoneMs(w.id))
			kept = max(kept, chance(first, left, firstMargin)-chance(max(first, after.PartDoneMs(w.id)), left, firstMargin))
		}
		loss += w.credit * lateShare * max(0, kept)
	}
	return loss
}

// chance estimates how likely a predicted time in ms meets an objective. It is
// 0 where there is none or its time is over.
func chance(predictedMs float64, objective time.Duration, margin float64) float64 {
	limit := enginemodel.Milliseconds(objective)
	if objective <= 0 {
		return 0
	}
	return min(1, max(0, (limit-predictedMs)/(limit*margin)))
}
