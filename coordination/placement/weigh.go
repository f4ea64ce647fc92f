package placement

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/passes"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// weigh predicts what one endpoint's part in a demand gives and takes.
func (b *Book) weigh(c *candidate, d *Demand, ahead, reading passes.Reading, helps bool) option {
	engine := d.Service.Engine
	o := option{candidate: c}
	o.first = passes.FirstMs(engine, c.answers, c.context, ahead, reading)
	if c.cold {
		o.first *= coldFactor
	}
	if !helps {
		o.first = (o.first + c.slotWaitMs(engine)) * b.bias
	}
	o.loss = b.lossOf(c, engine, reading, helps)
	if c.endpoint.DataCentre != d.DataCentre {
		o.cost += d.Credit * awayShare
	}
	o.score = d.Credit*lateShare*chance(o.first, d.FirstLeft, firstMargin) - o.loss - o.cost
	return o
}

// lossOf is the credit that the work at an endpoint loses to further reading.
// A helper's part goes ahead of all reading there.
func (b *Book) lossOf(c *candidate, engine *catalogue.Engine, reading passes.Reading, helps bool) float64 {
	before := passes.PassMs(engine, c.answers, c.context, c.backlog)
	after := passes.PassMs(engine, c.answers, c.context, c.backlog.Add(reading))
	now := b.now()
	loss := 0.0
	for _, w := range c.account.works {
		if w.late {
			continue
		}
		kept := 0.0
		if w.endpoints[0] == c.endpoint.Key {
			kept = chance(before, w.pause, pauseMargin) - chance(after, w.pause, pauseMargin)
		}
		if !w.started && helps {
			first := float64(w.firstAt.Sub(now)) / float64(time.Millisecond)
			left := w.firstDue.Sub(now)
			kept = max(kept, chance(first, left, firstMargin)-chance(first+reading.Ms, left, firstMargin))
		}
		loss += w.credit * lateShare * max(0, kept)
	}
	return loss
}

// chance estimates how likely a predicted time in ms meets an objective. It is
// 0 where there is none or its time is over.
func chance(predictedMs float64, objective time.Duration, margin float64) float64 {
	limit := float64(objective) / float64(time.Millisecond)
	if objective <= 0 {
		return 0
	}
	return min(1, max(0, (limit-predictedMs)/(limit*margin)))
}
