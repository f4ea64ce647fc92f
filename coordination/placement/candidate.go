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
	endpoint         *directory.Endpoint
	state            *endpointState
	cold             bool
	answers          int // that it writes or will write
	contextTokens    int // tokens of these
	usedMemoryTokens int // tokens
	batch            enginemodel.DecodeBatch
	forecast         enginemodel.Forecast
}

// newCandidate adds up the work at an endpoint. There is no engine at a plain service.
func (s *Scheduler) newCandidate(key uint64, engine *catalogue.Engine, now time.Time) *candidate {
	c := &candidate{}
	s.fillCandidate(c, key, engine, now)
	return c
}

// fillCandidate is load into a candidate that was used before, whose lists are used again.
func (s *Scheduler) fillCandidate(c *candidate, key uint64, engine *catalogue.Engine, now time.Time) {
	state := s.stateOf(key)
	reported := &state.reported
	*c = candidate{state: state, answers: reported.answers, contextTokens: reported.batch.ContextTokens, usedMemoryTokens: reported.memoryTokens, batch: reported.batch, forecast: c.forecast}
	for _, w := range state.inFlight {
		c.usedMemoryTokens += w.memoryTokensAt(slices.Index(w.endpoints, key))
		if w.endpoints[0] != key {
			continue
		}
		c.answers++
		c.contextTokens += w.promptTokens
		if w.started {
			c.batch.Count++
			c.batch.ContextTokens += w.promptTokens
		}
	}
	if engine != nil {
		state.engine = engine
		state.queue.Advance(engine, c.batch, now)
		state.queue.Forecast(engine, c.batch, nil, &c.forecast)
	}
}

// canAnswer reports whether the candidate has room and memory for an answer
// that is predicted to begin after firstMs. One that is in time may queue for a
// slot; late ones don't get the last slots.
func (c *candidate) canAnswer(req *Request, firstMs float64) bool {
	engine := req.Service.Engine
	slots := c.slots(engine)
	allowedAnswers := slots + slots/queuedAnswersDivisor
	if firstMs > float64(req.ObjectiveLeft)/float64(time.Millisecond) {
		allowedAnswers = slots - slots/onTimeSlotsDivisor
	}
	needed := req.PromptTokens + req.OutputTokens
	if needed > engine.MemoryTokens {
		needed = engine.MemoryTokens / minOwnMemoryDivisor // the rest is reserved elsewhere
	}
	return c.answers < allowedAnswers && c.usedMemoryTokens+needed <= engine.MemoryTokens
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
	answerMs := events * enginemodel.DecodeMs(engine, slots, c.contextTokens)
	return float64(ahead) * answerMs / float64(slots)
}

// preference is what speaks for an endpoint beside the time of a short answer, as
// a share of the credit: for one that may be in time that others share it, for one
// that is late in any case that it begins soon.
func (c *candidate) preference(req *Request, firstMs float64, p packing) float64 {
	if req.isOverdue() {
		return -overdueDelayCostShare * firstMs / req.maxFirstMs()
	}
	return c.packingBonus(req.Service.Engine, p)
}

// packingBonus is the reward, as a share of the credit, of an endpoint that writes
// already: it grows with the slots that are taken. It is none where a further answer, or one that another entry sends at
// the same moment, might find no slot.
func (c *candidate) packingBonus(engine *catalogue.Engine, p packing) float64 {
	slots := c.slots(engine)
	if c.answers+max(minSpareSlots, slots/p.spareDivisor) >= slots {
		return 0
	}
	return p.bonusShare * float64(c.answers) / float64(slots)
}
