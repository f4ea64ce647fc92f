package admissionqueue

import "testing"

// One urgent request must delay less urgent ones for some seconds only, not as long as it
// counts for the floor, which was 138 s.
func TestDelayEndsAfterTheLastUrgentArrival(t *testing.T) {
	q := New()
	urgent := request(0)
	q.Join(urgent, start)
	q.Placed(urgent, start)
	w := with(request(1), func(w *Waiter) { w.Joined, w.Until, w.Due = at(10_000), at(10_100), at(10_800) })
	q.Join(w, at(4_900))
	if q.order(at(4_900)); w.delay != StaggerStep {
		t.Errorf("4.9 s after an urgent arrival the delay is %v", w.delay)
	}
	if q.order(at(10_000)); w.delay != 0 {
		t.Errorf("10 s after the last urgent arrival the delay is %v", w.delay)
	}
}

// In the only entry no urgent request can wait elsewhere, so a delay would only leave
// capacity idle.
func TestOnlyEntryDelaysNone(t *testing.T) {
	q := New()
	q.Join(request(0), start)
	tryAll(q, start, 0)
	w := request(1)
	q.Join(w, at(1))
	q.SetAlone(true)
	if tried := tryAll(q, at(1), 1); len(tried) != 2 || tried[1] != w {
		t.Errorf("tried %d requests, want both", len(tried))
	}
	q.SetAlone(false)
	if tried := tryAll(q, at(2), 2); len(tried) != 1 {
		t.Errorf("tried %d requests with other entries, want the urgent one", len(tried))
	}
}

// A request that has ended or can't be served before the stop of the entry must not make
// capacity count as scarce, which delays arrivals for a second.
func TestSkippedRequestDoesNotDelayOthers(t *testing.T) {
	q, ended, arrival := New(), request(0), request(1)
	q.Join(ended, start)
	q.Skip(q.Next(start, 0), start, 0)
	q.Join(arrival, at(1))
	q.Skip(q.Next(at(1), 1), at(1), 1)
	if next := q.Next(at(1), 1); next != arrival {
		t.Errorf("the next one is %+v, want the arrival", next)
	}
}
