package placement

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// candidate is an endpoint with what is predicted for it.
type candidate struct {
	endpoint *directory.Endpoint
	account  *account
	cold     bool
	answers  int // that it writes or will write
	context  int // tokens of these
	memory   int // tokens
	writers  enginemodel.DecodeBatch
	forecast enginemodel.Forecast
}

// load adds up the work at an endpoint. There is no engine at a plain service.
func (b *Scheduler) load(key uint64, engine *catalogue.Engine, now time.Time) *candidate {
	c := &candidate{}
	b.fill(c, key, engine, now)
	return c
}

// fill is load into a candidate that was used before, whose lists are used again.
func (b *Scheduler) fill(c *candidate, key uint64, engine *catalogue.Engine, now time.Time) {
	a := b.account(key)
	u := &a.untold
	*c = candidate{account: a, answers: u.answers, context: u.writers.ContextTokens, memory: u.memory, writers: u.writers, forecast: c.forecast}
	for _, w := range a.works {
		c.memory += w.memoryAt(slices.Index(w.endpoints, key))
		if w.endpoints[0] != key {
			continue
		}
		c.answers++
		c.context += w.prompt
		if w.started {
			c.writers.Count++
			c.writers.ContextTokens += w.prompt
		}
	}
	if engine != nil {
		a.engine = engine
		a.queue.Advance(engine, c.writers, now)
		a.queue.Forecast(engine, c.writers, nil, &c.forecast)
	}
}

// canAnswer reports whether the candidate has room and memory for an answer
// that is predicted to begin after firstMs. One that is in time may queue for a
// slot; late ones don't get the last slots.
func (c *candidate) canAnswer(d *Request, firstMs float64) bool {
	engine := d.Service.Engine
	slots := c.slots(engine)
	room := slots + slots/queueShare
	if firstMs > float64(d.ObjectiveLeft)/float64(time.Millisecond) {
		room = slots - slots/timelyShare
	}
	needed := d.PromptTokens + d.OutputTokens
	if needed > engine.MemoryTokens {
		needed = engine.MemoryTokens / leastOwnShare // the rest is reserved elsewhere
	}
	return c.answers < room && c.memory+needed <= engine.MemoryTokens
}

func (c *candidate) slots(engine *catalogue.Engine) int {
	return max(1, min(engine.Slots, c.endpoint.Slots))
}

// slotWaitMs predicts how long a further answer waits for a slot.
func (c *candidate) slotWaitMs(engine *catalogue.Engine) float64 {
	slots := c.slots(engine)
	ahead := c.answers - slots + 1
	if ahead <= 0 {
		return 0
	}
	events := engine.UsualAnswer / float64(max(1, engine.StepsPerPass))
	answerMs := events * enginemodel.DecodeMs(engine, slots, c.context)
	return float64(ahead) * answerMs / float64(slots)
}

// preference is what speaks for an endpoint beside the time of a short answer, as
// a share of the credit: for one that may be in time that others share it, for one
// that is late in any case that it begins soon.
func (c *candidate) preference(d *Request, firstMs float64, p packing) float64 {
	if d.isOverdue() {
		return -delayShare * firstMs / d.latestMs()
	}
	return c.packed(d.Service.Engine, p)
}

// packed is the reward, as a share of the credit, of an endpoint that writes
// already: it grows with the slots that are taken. It is none where a further answer, or one that another entry sends at
// the same moment, might find no slot.
func (c *candidate) packed(engine *catalogue.Engine, p packing) float64 {
	slots := c.slots(engine)
	if c.answers+max(leastSpare, slots/p.spare) >= slots {
		return 0
	}
	return p.share * float64(c.answers) / float64(slots)
}
