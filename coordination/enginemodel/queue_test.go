package enginemodel

import (
	"testing"
	"time"
)

var begin = time.Unix(1000, 0)

func at(ms float64) time.Time { return begin.Add(FromMs(ms)) }

func part(number uint64, ms, tokens float64, ahead bool) Part {
	return Part{Work: WorkID{Number: number}, Prefill: Prefill{Ms: ms, Tokens: tokens}, Helper: ahead}
}

// left is the reading that still waits.
func left(q *Queue) Prefill {
	sum := Prefill{}
	for _, p := range q.waiting {
		sum.Ms += p.Prefill.Ms
		sum.Tokens += p.Prefill.Tokens
	}
	return sum
}

// forecast looks at a queue with a further part, number 99.
func forecast(q *Queue, w DecodeBatch, further Part) *Forecast {
	f := &Forecast{}
	q.Forecast(engine(), w, &further, f)
	return f
}

func TestReadingWithoutWriters(t *testing.T) {
	q := &Queue{}
	q.Add(part(1, 100, 4096, false), at(0)) // two steps
	q.Add(part(2, 50, 1000, false), at(0))  // one step
	whole := forecast(q, DecodeBatch{}, part(99, 30, 2049, false))
	near(t, "first", whole.PartDoneMs(WorkID{Number: 1}), 100+2*1.3)
	near(t, "second", whole.PartDoneMs(WorkID{Number: 2}), 150+3*1.3)
	near(t, "further", whole.PartDoneMs(WorkID{Number: 99}), 180+5*1.3)
	near(t, "pass", whole.LongestPassMs, 0)
	ahead := forecast(q, DecodeBatch{}, part(99, 30, 2049, true))
	near(t, "a helper's part", ahead.PartDoneMs(WorkID{Number: 99}), 30+2*1.3)
	near(t, "the first behind it", ahead.PartDoneMs(WorkID{Number: 1}), 130+4*1.3)

	q.Advance(engine(), DecodeBatch{}, at(51.3))
	near(t, "half of the first is read", left(q).Ms, 50+50)
	q.Advance(engine(), DecodeBatch{}, at(1000))
	near(t, "all is read", left(q).Ms, 0)
}

// A part that arrives during a pass with writers waits for its end, also when a
// helper's part goes ahead of the others.
func TestReadingBesideWriters(t *testing.T) {
	w := DecodeBatch{Count: 2, ContextTokens: 10_000}
	write := DecodeMs(engine(), 2, 10_000)
	q := &Queue{}
	q.Add(part(1, 100, 4000, false), at(0))
	q.Advance(engine(), w, at(10)) // the pass that reads it runs
	f := forecast(q, w, part(99, 300, 30_000, true))
	near(t, "the pass that runs", f.PassLeftMs, write+100-10)
	near(t, "a helper's part", f.PartDoneMs(WorkID{Number: 99}), write+100-10+write+300)
	near(t, "the longest pass to come", f.LongestPassMs, write+300)
	near(t, "what the running pass reads waits no more", f.PartDoneMs(WorkID{Number: 1}), 0)

	q.Add(part(2, 40, 1000, false), at(10))
	q.Add(part(3, 300, 30_000, true), at(10))
	f = forecast(q, w, part(99, 20, 500, false))
	near(t, "all in the next pass", f.PartDoneMs(WorkID{Number: 99}), write+100-10+write+360)
	near(t, "the earlier ones with it", f.PartDoneMs(WorkID{Number: 2}), write+100-10+write+360)
}

// One pass takes in 34 chunks of 2,048 tokens.
func TestReadingLargerThanAPass(t *testing.T) {
	w := DecodeBatch{Count: 2, ContextTokens: 10_000}
	write := DecodeMs(engine(), 2, 10_000)
	q := &Queue{}
	q.Advance(engine(), w, begin)
	f := forecast(q, w, part(99, 3000, 139_264, false))
	near(t, "two passes", f.PrefillDoneMs, f.PassLeftMs+2*write+3000)
	near(t, "of the half each", f.LongestPassMs, write+1500)
	q.Add(part(1, 3000, 139_264, false), begin)
	q.Advance(engine(), w, begin.Add(FromMs(write+1)))
	near(t, "half is left", left(q).Ms, 1500)
	near(t, "and half of the tokens", left(q).Tokens, 69_632)
}

func TestPassesOfWritersGoOn(t *testing.T) {
	w := DecodeBatch{Count: 1, ContextTokens: 1000}
	write := DecodeMs(engine(), 1, 1000)
	q := &Queue{}
	q.Add(Part{}, begin)
	q.Remove(WorkID{})
	q.Advance(engine(), w, begin.Add(FromMs(10.25*write)))
	f := &Forecast{}
	q.Forecast(engine(), w, nil, f)
	near(t, "rest of the eleventh pass", f.PassLeftMs, 0.75*write)
	near(t, "a pass", f.LongestPassMs, write)
	near(t, "no reading", f.PrefillDoneMs, 0)
}

func TestWorkThatEndedIsReadNoMore(t *testing.T) {
	q := &Queue{}
	q.Add(part(1, 100, 1000, false), begin)
	q.Add(part(2, 50, 1000, false), begin)
	q.Remove(WorkID{Number: 1})
	q.Remove(WorkID{Number: 7})
	near(t, "the other one", left(q).Ms, 50)
}
