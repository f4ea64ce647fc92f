package enginemodel

import (
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// WorkID names a piece of work: sender 0 is this process.
type WorkID struct{ Sender, Number uint64 }

// Part is what one endpoint reads of one prompt.
type Part struct {
	Work    WorkID
	Prefill Prefill // not yet done
	// Helper marks a helper's part. It goes ahead of all reading that no pass has
	// taken in, the newest first.
	Helper bool
}

// DecodeBatch are the answers that an endpoint writes, with their context in tokens.
type DecodeBatch struct{ Count, ContextTokens int }

// Queue follows the reading of one endpoint pass by pass. Beside writers a pass
// runs all its token steps, and what comes meanwhile waits for the next one.
// Without writers the engine reads step by step, so that helpers' parts go ahead
// at once.
type Queue struct {
	at      time.Time // up to which the reading is followed
	ends    time.Time // of the pass with writers that runs
	waiting []Part    // in the order in which it is read
	scratch []Part
}

// Advance follows the reading up to a moment.
func (q *Queue) Advance(e *catalogue.Engine, w DecodeBatch, now time.Time) {
	for q.ends.Before(now) {
		switch {
		case w.Count == 0:
			q.read(e, Milliseconds(now.Sub(Later(q.at, q.ends))))
			q.ends = now
		case len(q.waiting) == 0:
			write := FromMs(DecodeMs(e, w.Count, w.ContextTokens))
			q.ends = now.Add(write - now.Sub(q.ends)%write)
		default:
			ms, done := pass(e, w, q.waiting)
			q.waiting = q.waiting[:copy(q.waiting, q.waiting[done:])]
			q.ends = q.ends.Add(FromMs(ms))
		}
	}
	q.at = now
}

// Add enters a part that arrives now.
func (q *Queue) Add(p Part, now time.Time) {
	if q.at.IsZero() {
		q.at, q.ends = now, now
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

// Remove drops the part of a piece of work that was read or has ended.
func (q *Queue) Remove(id WorkID) {
	for i, p := range q.waiting {
		if p.Work == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// Remaining returns what a piece of work still has to be read, nothing when it is
// read or unknown.
func (q *Queue) Remaining(id WorkID) Prefill {
	for _, p := range q.waiting {
		if p.Work == id {
			return p.Prefill
		}
	}
	return Prefill{}
}

// read takes off what an engine without writers reads in so many milliseconds.
func (q *Queue) read(e *catalogue.Engine, ms float64) {
	for len(q.waiting) > 0 {
		p := &q.waiting[0]
		needed := aloneMs(e, p.Prefill)
		if needed > ms {
			left := 1 - ms/needed
			p.Prefill = Prefill{Ms: p.Prefill.Ms * left, Tokens: p.Prefill.Tokens * left}
			return
		}
		ms -= needed
		q.waiting = q.waiting[:copy(q.waiting, q.waiting[1:])]
	}
}

// aloneMs is the time to read without writers: as many steps as there are chunks.
func aloneMs(e *catalogue.Engine, r Prefill) float64 {
	return r.Ms + math.Ceil(r.Tokens/float64(max(1, e.ChunkTokens)))*e.StepMs
}

// pass is the length of the next pass with writers. It takes in so many of the
// waiting parts whole, and takes off the next one what it reads of it.
func pass(e *catalogue.Engine, w DecodeBatch, waiting []Part) (ms float64, done int) {
	ms = DecodeMs(e, w.Count, w.ContextTokens)
	room := float64(max(1, e.StepsPerPass) * e.ChunkTokens)
	for ; done < len(waiting); done++ {
		r := &waiting[done].Prefill
		if r.Tokens > room {
			share := room / r.Tokens
			ms += r.Ms * share
			*r = Prefill{Ms: r.Ms * (1 - share), Tokens: r.Tokens - room}
			break
		}
		room -= r.Tokens
		ms += r.Ms
	}
	return ms, done
}

// Forecast is what is to come at an endpoint.
type Forecast struct {
	PassLeftMs    float64 // of the pass with writers that runs
	LongestPassMs float64 // the longest pass with writers after it, 0 without writers
	PrefillDoneMs float64 // until all reading is done
	done          []PartDone
}

// PartDone tells when a part will be read.
type PartDone struct {
	Work WorkID
	Ms   float64 // from now
}

// PartDoneMs returns when the part of a piece of work will be read, 0 when it is.
func (f *Forecast) PartDoneMs(id WorkID) float64 {
	for _, d := range f.done {
		if d.Work == id {
			return d.Ms
		}
	}
	return 0
}

// Forecast looks ahead from the moment of the last Advance, with a further part
// when one is given. The list of f is used again.
func (q *Queue) Forecast(e *catalogue.Engine, w DecodeBatch, further *Part, f *Forecast) {
	f.done = f.done[:0]
	f.PassLeftMs, f.LongestPassMs, f.PrefillDoneMs = 0, 0, 0
	waiting := append(q.scratch[:0], q.waiting...)
	if further != nil {
		waiting = insert(waiting, *further)
	}
	q.scratch = waiting
	if w.Count == 0 {
		for _, p := range waiting {
			f.PrefillDoneMs += aloneMs(e, p.Prefill)
			f.done = append(f.done, PartDone{p.Work, f.PrefillDoneMs})
		}
		return
	}
	f.PassLeftMs = max(0, Milliseconds(q.ends.Sub(q.at)))
	at := f.PassLeftMs
	for f.LongestPassMs == 0 || len(waiting) > 0 {
		ms, done := pass(e, w, waiting)
		at += ms
		f.LongestPassMs = max(f.LongestPassMs, ms)
		for _, p := range waiting[:done] {
			f.done = append(f.done, PartDone{p.Work, at})
			f.PrefillDoneMs = at
		}
		waiting = waiting[done:]
	}
}

// Milliseconds turns a duration into the unit of this package.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// FromMs is the reverse of Milliseconds.
func FromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Later returns the later of two moments.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
