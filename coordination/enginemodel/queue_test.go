package enginemodel

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms float64) time.Time { return start.Add(FromMs(ms)) }

func part(number uint64, ms, tokens float64, helper bool) Part {
	return Part{Work: WorkID{Number: number}, Prefill: Prefill{Ms: ms, Tokens: tokens}, Helper: helper}
}

// remaining sums up the prefill that waits.
func remaining(q *Queue) Prefill {
	sum := Prefill{}
	for _, p := range q.waiting {
		sum.Ms += p.Prefill.Ms
		sum.Tokens += p.Prefill.Tokens
	}
	return sum
}

// forecast predicts the course of a queue with an extra part, number 99.
func forecast(q *Queue, batch DecodeBatch, extra Part) *Forecast {
	f := &Forecast{}
	q.Forecast(engine(), batch, &extra, f)
	return f
}

func TestPrefillWithoutDecoding(t *testing.T) {
	q := &Queue{}
	q.Add(part(1, 100, 4096, false), at(0)) // two steps
	q.Add(part(2, 50, 1000, false), at(0))  // one step
	whole := forecast(q, DecodeBatch{}, part(99, 30, 2049, false))
	assertClose(t, "first", whole.PartDoneMs(WorkID{Number: 1}), 100+2*1.3)
	assertClose(t, "second", whole.PartDoneMs(WorkID{Number: 2}), 150+3*1.3)
	assertClose(t, "extra", whole.PartDoneMs(WorkID{Number: 99}), 180+5*1.3)
	assertClose(t, "pass", whole.LongestPassMs, 0)
	ahead := forecast(q, DecodeBatch{}, part(99, 30, 2049, true))
	assertClose(t, "a helper's part", ahead.PartDoneMs(WorkID{Number: 99}), 30+2*1.3)
	assertClose(t, "the first one, behind it", ahead.PartDoneMs(WorkID{Number: 1}), 130+4*1.3)

	q.Advance(engine(), DecodeBatch{}, at(51.3))
	assertClose(t, "half of the first is prefilled", remaining(q).Ms, 50+50)
	q.Advance(engine(), DecodeBatch{}, at(1000))
	assertClose(t, "all is prefilled", remaining(q).Ms, 0)
}

// A part that arrives during a pass with answers being decoded must wait for the end
// of that pass, even a helper's part, which only goes ahead of the other waiting
// parts.
func TestPrefillWhileDecoding(t *testing.T) {
	batch := DecodeBatch{Count: 2, ContextTokens: 10_000}
	decode := DecodeMs(engine(), 2, 10_000)
	q := &Queue{}
	q.Add(part(1, 100, 4000, false), at(0))
	q.Advance(engine(), batch, at(10)) // part 1 is taken by the pass that runs now
	f := forecast(q, batch, part(99, 300, 30_000, true))
	assertClose(t, "the running pass", f.PassLeftMs, decode+100-10)
	assertClose(t, "a helper's part", f.PartDoneMs(WorkID{Number: 99}), decode+100-10+decode+300)
	assertClose(t, "the longest coming pass", f.LongestPassMs, decode+300)
	assertClose(t, "a part that the running pass has taken", f.PartDoneMs(WorkID{Number: 1}), 0)

	q.Add(part(2, 40, 1000, false), at(10))
	q.Add(part(3, 300, 30_000, true), at(10))
	f = forecast(q, batch, part(99, 20, 500, false))
	assertClose(t, "all in the next pass", f.PartDoneMs(WorkID{Number: 99}), decode+100-10+decode+360)
	assertClose(t, "the earlier ones with it", f.PartDoneMs(WorkID{Number: 2}), decode+100-10+decode+360)
}

// One pass prefills up to 34 chunks of 2,048 tokens; a larger part must take several.
func TestPrefillLargerThanAPass(t *testing.T) {
	batch := DecodeBatch{Count: 2, ContextTokens: 10_000}
	decode := DecodeMs(engine(), 2, 10_000)
	q := &Queue{}
	q.Advance(engine(), batch, start)
	f := forecast(q, batch, part(99, 3000, 139_264, false))
	assertClose(t, "two passes", f.PrefillDoneMs, f.PassLeftMs+2*decode+3000)
	assertClose(t, "each with one half", f.LongestPassMs, decode+1500)
	q.Add(part(1, 3000, 139_264, false), start)
	q.Advance(engine(), batch, start.Add(FromMs(decode+1)))
	assertClose(t, "half is left", remaining(q).Ms, 1500)
	assertClose(t, "and half of the tokens", remaining(q).Tokens, 69_632)
}

func TestPassesRepeatWithoutPrefill(t *testing.T) {
	batch := DecodeBatch{Count: 1, ContextTokens: 1000}
	decode := DecodeMs(engine(), 1, 1000)
	q := &Queue{}
	q.Add(Part{}, start)
	q.Remove(WorkID{})
	q.Advance(engine(), batch, start.Add(FromMs(10.25*decode)))
	f := &Forecast{}
	q.Forecast(engine(), batch, nil, f)
	assertClose(t, "left of the eleventh pass", f.PassLeftMs, 0.75*decode)
	assertClose(t, "a pass", f.LongestPassMs, decode)
	assertClose(t, "no prefill", f.PrefillDoneMs, 0)
}

func TestRemovedWorkIsNotPrefilled(t *testing.T) {
	q := &Queue{}
	q.Add(part(1, 100, 1000, false), start)
	q.Add(part(2, 50, 1000, false), start)
	q.Remove(WorkID{Number: 1})
	q.Remove(WorkID{Number: 7})
	assertClose(t, "the other one", remaining(q).Ms, 50)
}
