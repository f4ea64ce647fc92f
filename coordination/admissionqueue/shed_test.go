package admissionqueue

import (
	"testing"
	"time"
)

// A request that has not been tried might fit, so no forecast may shed it: neither an arrival
// in its delay, nor one that a long prompt holds back.
func TestUntriedRequestIsNotShed(t *testing.T) {
	late := func(*Waiter) (Forecast, bool) { return Forecast{Wait: time.Hour}, true }
	q, delayed := New(), with(request(1), func(w *Waiter) { w.Joined, w.Until = at(1), at(101) })
	q.Join(request(0), start)
	tryAll(q, start, 0)
	q.Join(delayed, at(1))
	tryAll(q, at(1), 1) // work has ended, which the arrival is offered a step later
	if shed := q.Shed(at(1), late); len(shed) != 0 {
		t.Error("an arrival was shed in its delay")
	}
	tryAll(q, at(11), 1)
	if shed := q.Shed(at(11), late); len(shed) != 1 || shed[0].Waiter != delayed {
		t.Errorf("shed %+v, want the request that didn't fit", shed)
	}

	q = New()
	long := with(request(0), func(w *Waiter) { w.overtaken = maxOvertakes })
	q.Join(long, start)
	tryAll(q, start, 0)
	held := request(1)
	q.Join(held, start)
	tryAll(q, start, 0)
	if shed := q.Shed(start, late); len(shed) != 0 {
		t.Error("a request that is held back was shed")
	}
	if shed := q.Shed(held.Until.Add(1), late); len(shed) != 1 {
		t.Error("a request that has waited for its time was not shed")
	}
}
