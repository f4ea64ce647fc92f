package placement

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// candidate is an endpoint with its load and forecast.
type candidate struct {
	endpoint         *directory.Endpoint
	state            *endpointState
	reason           Reason // why it is left out or a last resort
	cold             bool
	rateLimited      bool
	answers          int     // that it decodes or will decode
	load             float64 // answers before rounding, where they are estimated
	contextTokens    int     // prompt tokens of these answers
	usedMemoryTokens int
	spareTokens      int // memory to keep free
	batch            enginemodel.DecodeBatch
	forecast         enginemodel.Forecast
}

// newCandidate sums up the load of an endpoint. engine is nil for a plain service.
func (s *Scheduler) newCandidate(key uint64, engine *catalogue.Engine, now time.Time) *candidate {
	c := &candidate{}
	s.fillCandidate(c, key, engine, now)
	return c
}

// fillCandidate is newCandidate for a used candidate, whose lists it reuses.
func (s *Scheduler) fillCandidate(c *candidate, key uint64, engine *catalogue.Engine, now time.Time) {
	state := s.stateOf(key)
	reported := &state.reported
	estimated, reportedAnswers := state.estimatedAnswers(now)
	*c = candidate{
		state:            state,
		rateLimited:      state.rateLimit.allowed(now) != Unlimited,
		answers:          reportedAnswers,
		contextTokens:    reported.batch.ContextTokens,
		usedMemoryTokens: reported.memoryTokens,
		batch:            reported.batch,
		forecast:         c.forecast,
	}
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
	c.load = estimated + float64(c.answers-reportedAnswers)
	if engine != nil {
		state.engine = engine
		state.queue.Advance(engine, c.batch, now)
		state.queue.Forecast(engine, c.batch, nil, &c.forecast)
	}
}

// unfitReason returns why the candidate can't be the main endpoint of an answer that is predicted
// to begin after firstMs. An answer that is on time may queue for a slot; a late one
// doesn't get the last slots. A long prompt is judged by its whole plan instead of firstMs.
func (c *candidate) unfitReason(req *Request, firstMs float64) Reason {
	engine := req.Service.Engine
	slots := c.slots(engine)
	allowedAnswers := slots + slots/queuedAnswersDivisor
	if firstMs > float64(req.ObjectiveLeft)/float64(time.Millisecond) {
		allowedAnswers = slots - slots/onTimeSlotsDivisor
	}
	needed := req.PromptTokens + req.OutputTokens
	if needed > engine.MemoryTokens {
		needed = engine.MemoryTokens / minOwnMemoryDivisor // helpers reserve the rest
	}
	switch {
	case c.answers >= allowedAnswers:
		return NoSlot
	case c.usedMemoryTokens+c.spareTokens+needed > engine.MemoryTokens:
		return NoMemory
	case !isLong(req) && firstMs > req.maxFirstMs():
		return TooLate
	case !c.beginsInTime(req):
		return BeginsTooLate
	}
	return NoReason
}

// beginsInTime reports whether the candidate, as the main endpoint, is predicted to begin
// the prompt before the reservations for it would end.
func (c *candidate) beginsInTime(req *Request) bool {
	engine := req.Service.Engine
	if req.ReservedStart == 0 || req.PromptTokens+req.OutputTokens <= engine.MemoryTokens {
		return true
	}
	return c.forecast.PrefillDoneMs+c.slotWaitMs(engine) <= enginemodel.Milliseconds(req.ReservedStart)
}

// mayHelp reports whether the endpoint may prefill a part of another endpoint's prompt. An
// endpoint with a rate limit may not: a part counts as a request to it, and is worth
// nothing to the caller when another part finds no permit.
func (c *candidate) mayHelp() bool { return !c.rateLimited }

// slots returns the number of answers that the endpoint decodes at once, at least 1.
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
	events := engine.MeanOutputTokens / float64(max(1, engine.StepsPerPass))
	answerMs := events * enginemodel.DecodeMs(engine, slots, c.contextTokens)
	return float64(ahead) * answerMs / float64(slots)
}

// preference returns how much a main endpoint is preferred for a short answer, as a
// share of the credit that is added to its score. An answer that may be on time is
// packed onto an endpoint that already decodes. For one that is already overdue, the
// preference is negative and the earliest first event wins.
func (c *candidate) preference(req *Request, firstMs float64, p packing) float64 {
	if req.isOverdue() {
		return -overdueDelayCostShare * firstMs / req.maxFirstMs()
	}
	return c.packingBonus(req.Service.Engine, p)
}

// packingBonus returns the bonus, as a share of the credit, of an endpoint that
// already decodes answers. It grows with the slots taken. It is 0 where a further
// answer, or one that another entry sends at the same moment, might find no slot.
func (c *candidate) packingBonus(engine *catalogue.Engine, p packing) float64 {
	slots := c.slots(engine)
	if c.answers+max(minSpareSlots, slots/p.spareDivisor) >= slots {
		return 0
	}
	return p.bonusShare * float64(c.answers) / float64(slots)
}
