package admissionqueue

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A round that is skipped must not delay a request that is due: neither an arrival, nor one
// whose delay or interval ends, nor one that has become overdue. Only a delay that has become
// shorter meanwhile may be noticed late.
func TestNoRequestIsDueWhileIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, workEnds := New(), start, uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "passed")) * time.Microsecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				w := request(rapid.IntRange(0, 3).Draw(t, "priority"))
				w.Joined, w.Until = now, now.Add(100*time.Millisecond)
				w.Due = now.Add(time.Duration(rapid.IntRange(-10, 60).Draw(t, "due")) * time.Millisecond)
				q.Join(w, now)
			case 1:
				workEnds++
			}
			checkIdle(t, q, now, workEnds)
			tryAll(q, now, workEnds)
		}
	})
}

func checkIdle(t *rapid.T, q *Queue, now time.Time, workEnds uint64) {
	if !q.idle.holds(now, workEnds) {
		return
	}
	delays := make(map[*Waiter]time.Duration)
	for _, w := range q.waiting {
		delays[w] = w.delay
	}
	for _, w := range q.order(now) {
		if w.delay == delays[w] && q.isDue(w, now, workEnds) {
			t.Fatalf("%+v is due, but the queue is idle until %v at %v", w, q.idle.until, now)
		}
	}
}
