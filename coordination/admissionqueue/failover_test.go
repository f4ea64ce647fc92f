package admissionqueue

import (
	"testing"
	"time"
)

func failover(priority int) *Waiter {
	return with(request(priority), func(w *Waiter) { w.Failover = true })
}

// tryAll runs a round in which no request fits.
func tryAll(q *Queue, now time.Time, workEnds uint64) (tried []*Waiter) {
	for w := q.Next(now, workEnds); w != nil; w = q.Next(now, workEnds) {
		q.DidNotFit(w, now, workEnds)
		tried = append(tried, w)
	}
	return tried
}

// A failover attempt is in the queue for one round only. With the delay of its priority it
// was never tried while capacity was scarce, and the stalled request stayed where it was.
func TestFailoverIsTriedInItsOnlyRound(t *testing.T) {
	q := New()
	q.Join(request(0), start)
	tryAll(q, start, 0) // capacity is scarce from now on
	w := with(failover(2), func(w *Waiter) { w.Joined = at(1) })
	q.Join(w, at(1))
	if tried := tryAll(q, at(1), 1); len(tried) != 2 || tried[1] != w {
		t.Errorf("tried %v, want the waiting request and the failover attempt", tried)
	}
}

// A failover attempt must not count in the decision to shed: it leaves after the round, so
// it is neither the first request, which is kept, nor ahead of others.
func TestFailoverDoesNotCountInShedding(t *testing.T) {
	q := New()
	q.Join(failover(0), start)
	for range 2 {
		q.Join(request(1), start)
	}
	tryAll(q, start, 0)
	forecast := func(*Waiter) (Forecast, bool) { return Forecast{Interval: 60 * time.Millisecond}, true }
	if shed := q.Shed(start, forecast); len(shed) != 0 {
		t.Errorf("shed %d of 2 requests that may wait for 100 ms at one every 60 ms", len(shed))
	}
	q = New()
	q.Join(failover(0), start)
	q.Join(request(1), start)
	tryAll(q, start, 0)
	late := func(*Waiter) (Forecast, bool) { return Forecast{Wait: time.Hour}, true }
	if shed := q.Shed(start, late); len(shed) != 0 {
		t.Error("the first request that isn't a failover attempt was shed")
	}
}
