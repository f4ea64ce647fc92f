package enginemodel

import (
	"math"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// WorkID identifies a work item: one request that is placed on endpoints. Sender is
// the incarnation of the entry, the request-accepting process, that placed it; 0 for
// this process.
type WorkID struct{ Sender, Number uint64 }

// Part is the part of one prompt that one endpoint prefills.
type Part struct {
	Work    WorkID
	Prefill Prefill // that is left
	// Helper marks a part that is prefilled for another endpoint, which decodes the
	// answer. It is put at the head of the queue, as in the engine that is simulated:
	// ahead of earlier helpers' parts, and of what is left of a part that is already
	// prefilled partially. Only prefill that the running pass has taken comes before.
	Helper bool
}

// DecodeBatch describes the answers that an endpoint decodes at once, with the sum of
// their prompt tokens.
type DecodeBatch struct{ Count, ContextTokens int }

// Queue simulates the prefill of one endpoint pass by pass. While answers are being
// decoded, a pass runs all its steps, and parts that arrive meanwhile wait for the
// next one. Otherwise the engine prefills step by step, so that a helper's part goes
// ahead at once.
type Queue struct {
	simulatedUntil time.Time // the time up to which prefill is simulated
	passEnds       time.Time // end of the running pass, while answers are decoded
	waiting        []Part    // in the order of prefill
	// scratch is reused by Forecast for its copy of waiting.
	scratch []Part
}

// Clone returns a copy that can be advanced without changing the queue.
func (q *Queue) Clone() Queue {
	return Queue{simulatedUntil: q.simulatedUntil, passEnds: q.passEnds, waiting: slices.Clone(q.waiting)}
}

// Advance simulates the prefill up to now.
func (q *Queue) Advance(e *catalogue.Engine, batch DecodeBatch, now time.Time) {
	for q.passEnds.Before(now) {
		switch {
		case batch.Count == 0:
			q.prefillFor(e, Milliseconds(now.Sub(Later(q.simulatedUntil, q.passEnds))))
			q.passEnds = now
		case len(q.waiting) == 0:
			decode := FromMs(DecodeMs(e, batch.Count, batch.ContextTokens))
			q.passEnds = now.Add(decode - now.Sub(q.passEnds)%decode)
		default:
			ms, done := nextPass(e, batch, q.waiting)
			q.waiting = q.waiting[:copy(q.waiting, q.waiting[done:])]
			q.passEnds = q.passEnds.Add(FromMs(ms))
		}
	}
	q.simulatedUntil = now
}

// Add adds a part that arrives at now.
func (q *Queue) Add(p Part, now time.Time) {
	if q.simulatedUntil.IsZero() {
		q.simulatedUntil, q.passEnds = now, now
	}
	q.waiting = insert(q.waiting, p)
}

func insert(waiting []Part, p Part) []Part {
	if !p.Helper {
		return append(waiting, p)
	}
	waiting = append(waiting, Part{})
	copy(waiting[1:], waiting)
	waiting[0] = p
	return waiting
}

// Remove removes the part of a work item whose prefill is done or that has ended.
func (q *Queue) Remove(id WorkID) {
	for i, p := range q.waiting {
		if p.Work == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// Remaining returns the prefill left of a work item, zero when it is done or the item
// is unknown.
func (q *Queue) Remaining(id WorkID) Prefill {
	for _, p := range q.waiting {
		if p.Work == id {
			return p.Prefill
		}
	}
	return Prefill{}
}

// prefillFor subtracts the prefill that an engine does in ms milliseconds without
// answers to decode.
func (q *Queue) prefillFor(e *catalogue.Engine, ms float64) {
	for len(q.waiting) > 0 {
		p := &q.waiting[0]
		needed := prefillOnlyMs(e, p.Prefill)
		if needed > ms {
			left := 1 - ms/needed
			p.Prefill = Prefill{Ms: p.Prefill.Ms * left, Tokens: p.Prefill.Tokens * left}
			return
		}
		ms -= needed
		q.waiting = q.waiting[:copy(q.waiting, q.waiting[1:])]
	}
}

// prefillOnlyMs returns the time in ms that a prefill takes without answers to decode:
// Prefill.Ms, and StepMs for each chunk on top of it.
func prefillOnlyMs(e *catalogue.Engine, p Prefill) float64 {
	return p.Ms + math.Ceil(p.Tokens/float64(max(1, e.ChunkTokens)))*e.StepMs
}

// nextPass returns the duration of the next pass while answers are decoded, and the
// number of waiting parts that it completes. A part that it completes only partially
// is reduced in place.
func nextPass(e *catalogue.Engine, batch DecodeBatch, waiting []Part) (ms float64, done int) {
	ms = DecodeMs(e, batch.Count, batch.ContextTokens)
	roomTokens := float64(max(1, e.StepsPerPass) * e.ChunkTokens)
	for ; done < len(waiting); done++ {
		prefill := &waiting[done].Prefill
		if prefill.Tokens > roomTokens {
			share := roomTokens / prefill.Tokens
			ms += prefill.Ms * share
			*prefill = Prefill{Ms: prefill.Ms * (1 - share), Tokens: prefill.Tokens - roomTokens}
			break
		}
		roomTokens -= prefill.Tokens
		ms += prefill.Ms
	}
	return ms, done
}

// Forecast is the predicted course of an endpoint, in ms from the last Advance.
type Forecast struct {
	PassLeftMs    float64 // of the running pass, 0 when no answer is being decoded
	LongestPassMs float64 // of the passes after it, 0 when no answer is being decoded
	PrefillDoneMs float64 // when all prefill is done
	partsDone     []PartDone
}

// PartDone is the predicted time at which the prefill of a part is done.
type PartDone struct {
	Work WorkID
	Ms   float64 // from the last Advance
}

// PartDoneMs returns when the prefill of a work item's part is done, 0 when it is
// already done.
func (f *Forecast) PartDoneMs(id WorkID) float64 {
	for _, d := range f.partsDone {
		if d.Work == id {
			return d.Ms
		}
	}
	return 0
}

// Forecast predicts the course from the last Advance on, with one extra part unless it
// is nil. It reuses the list in f.
func (q *Queue) Forecast(e *catalogue.Engine, batch DecodeBatch, extra *Part, f *Forecast) {
	f.partsDone = f.partsDone[:0]
	f.PassLeftMs, f.LongestPassMs, f.PrefillDoneMs = 0, 0, 0
	waiting := append(q.scratch[:0], q.waiting...)
	if extra != nil {
		waiting = insert(waiting, *extra)
	}
	q.scratch = waiting
	if batch.Count == 0 {
		for _, p := range waiting {
			f.PrefillDoneMs += prefillOnlyMs(e, p.Prefill)
			f.partsDone = append(f.partsDone, PartDone{p.Work, f.PrefillDoneMs})
		}
		return
	}
	f.PassLeftMs = max(0, Milliseconds(q.passEnds.Sub(q.simulatedUntil)))
	at := f.PassLeftMs
	for f.LongestPassMs == 0 || len(waiting) > 0 {
		ms, done := nextPass(e, batch, waiting)
		at += ms
		f.LongestPassMs = max(f.LongestPassMs, ms)
		for _, p := range waiting[:done] {
			f.partsDone = append(f.partsDone, PartDone{p.Work, at})
			f.PrefillDoneMs = at
		}
		waiting = waiting[done:]
	}
}

// Milliseconds converts a duration to ms.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// FromMs converts ms to a duration.
func FromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
