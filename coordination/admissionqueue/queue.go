// Package admissionqueue orders the requests of one service that wait for capacity in an
// entry. It decides which of them is tried next, which wait for one that doesn't fit, and
// which are refused when the forecast says that not all can be served. It does no I/O and
// reads no clock: times and forecasts are arguments. docs/design/waiting.md describes the
// rules.
package admissionqueue

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// TryInterval is the time between tries of a request that didn't fit while no work ends.
	// Within it, capacity that becomes free without an end of work may go to an arrival
	// behind the request.
	TryInterval = 10 * time.Millisecond
	// PollInterval is the time between tries of an overdue request, also when work ends, as
	// it loses nothing more by waiting.
	PollInterval = 20 * time.Millisecond
	// maxOvertakes is how many requests overtake one that doesn't fit before it holds back
	// those behind it. With fewer, each long prompt stops short ones for a time; with more,
	// endpoints that it needs together fill up with short ones again.
	maxOvertakes = 8
	// maxHold bounds how long a request holds back others, or is held back. With less, a long
	// prompt would hardly get the endpoints that it needs together; with more, the capacity
	// kept for it stays idle for longer if it never fits.
	maxHold = 500 * time.Millisecond
	// waitDivisor: a request holds back others, or is held back, for at most
	// 1/waitDivisor of its allowed wait. With 1, held requests would use up their wait; with
	// a larger one, short objectives leave a long prompt no time to get enough endpoints.
	waitDivisor = 2
)

// Waiter is a waiting request. Its fields may change only while it isn't in a queue, or before
// Reorder.
type Waiter struct {
	Priority     catalogue.Priority
	Organisation string
	Begun        bool      // its answer has begun, so it goes first and is never shed
	Joined       time.Time // since when it waits
	Due          time.Time // when it misses its objective
	Until        time.Time // until when it may wait
	Cost         float64   // predicted work, in units that are the same for all requests of the service
	// Failover is set for an attempt that runs and looks for another endpoint. It counts
	// neither as arrived nor as placed, is never shed, and has no delay.
	Failover bool

	number                  uint64 // by the order of joining, the last rule of the order
	overtaken               int    // placements of requests behind it
	heldSince, holdingSince time.Time
	triedAt                 time.Time
	triedAtEnds             uint64 // number of ends of work at triedAt
	forecast                Forecast
	hasForecast             bool
	rank                    rank
	delay                   time.Duration // after which it is offered the capacity of work that has ended
}

// Queue is the queue of one service. It is not safe for concurrent use.
type Queue struct {
	waiting    []*Waiter
	sortedAt   time.Time
	sorted     bool // waiting is in the order of sortedAt
	lastNumber uint64
	usage      usage
	pace       pace
	stagger    stagger
	idle       idle
}

// New returns an empty queue.
func New() *Queue { return &Queue{usage: newUsage()} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Join adds a request that has arrived.
func (q *Queue) Join(w *Waiter, now time.Time) {
	q.lastNumber++
	w.number = q.lastNumber
	q.usage.arrived(w, now)
	q.add(w)
}

// Return adds a placed request again, as its plan was dropped before it was sent.
func (q *Queue) Return(w *Waiter, now time.Time) {
	q.Withdraw(w, now)
	w.triedAt = time.Time{}
	q.add(w)
}

// Withdraw takes the placement of a request out of the sums, as its plan was dropped before
// it was sent and it won't return.
func (q *Queue) Withdraw(w *Waiter, now time.Time) {
	q.usage.placed(w, -1, now)
	q.changed()
}

func (q *Queue) add(w *Waiter) {
	q.waiting = append(q.waiting, w)
	q.changed()
}

// Leave removes a request, if it waits.
func (q *Queue) Leave(w *Waiter) {
	q.remove(w)
	q.pace.measuring = q.pace.measuring && len(q.waiting) > 0
}

func (q *Queue) remove(w *Waiter) {
	q.idle = idle{}
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Waiter) bool { return other == w })
}

// Reorder sorts the requests again after their priorities have changed.
func (q *Queue) Reorder() { q.changed() }

// changed drops what was derived from the requests and their order.
func (q *Queue) changed() { q.sorted, q.idle = false, idle{} }

// Next returns the first request to try now, nil if there is none. workEnds is the number of
// ends of work so far. The caller must call Placed, DidNotFit, Skip or Leave for it
// before the next call.
func (q *Queue) Next(now time.Time, workEnds uint64) *Waiter {
	if q.idle.holds(now, workEnds) {
		return nil
	}
	q.stagger.update(now, workEnds)
	holding, held := false, false
	for _, w := range q.order(now) {
		if holding && w.isHeld(now) {
			held = true
			continue
		}
		if q.isDue(w, now, workEnds) {
			return w
		}
		holding = holding || w.holdsBack(now)
	}
	if !held {
		q.idle = idle{until: q.nextDue(now), workEnds: workEnds}
	}
	return nil
}

// Placed removes a request that has got a plan, and counts it as one that has overtaken
// those ahead of it.
func (q *Queue) Placed(w *Waiter, now time.Time) {
	for _, ahead := range q.order(now) {
		if ahead == w {
			break
		}
		ahead.overtaken++
	}
	q.remove(w)
	q.usage.placed(w, 1, now)
	q.pace.placed(now, len(q.waiting) > 0)
	q.sorted = false // the shares have changed
}

// DidNotFit records that a request was tried and no endpoint has capacity for it.
func (q *Queue) DidNotFit(w *Waiter, now time.Time, workEnds uint64) {
	q.Skip(w, now, workEnds)
	q.stagger.scarceUntil = now.Add(scarceFor)
}

// Skip records that a request was not tried, as it is about to leave. That says nothing about
// the capacity.
func (q *Queue) Skip(w *Waiter, now time.Time, workEnds uint64) {
	w.triedAt, w.triedAtEnds = now, workEnds
}

// isDue reports whether the request is to be tried now. An arrival is due at once, but while
// capacity is scarce only after its delay or once all ends of work are offered to it.
func (q *Queue) isDue(w *Waiter, now time.Time, workEnds uint64) bool {
	if w.isDeferred(now) {
		return now.Sub(w.triedAt) >= PollInterval
	}
	offered, all := q.stagger.offered(now, w.delay)
	switch {
	case w.triedAt.IsZero():
		return all || !now.Before(q.stagger.scarceUntil) || now.Sub(w.Joined) >= w.delay
	case w.triedAtEnds < offered:
		return true
	}
	return all && now.Sub(w.triedAt) >= TryInterval
}

// isDeferred reports whether the request is overdue, so that others are tried before it.
func (w *Waiter) isDeferred(now time.Time) bool { return !w.Begun && now.After(w.Due) }

// holdsBack reports whether the request, which didn't fit, holds back those behind it. The
// first time that it does is recorded, as it may do so for longestHold only.
func (w *Waiter) holdsBack(now time.Time) bool {
	if w.overtaken < maxOvertakes || w.isDeferred(now) {
		return false
	}
	if w.holdingSince.IsZero() {
		w.holdingSince = now
	}
	return now.Sub(w.holdingSince) < w.longestHold()
}

// isHeld reports whether the request may still be held back by one ahead that doesn't fit.
// The first time is recorded; once longestHold has passed since, it is never held again.
func (w *Waiter) isHeld(now time.Time) bool {
	if w.Begun {
		return false
	}
	if w.heldSince.IsZero() {
		w.heldSince = now
	}
	return now.Sub(w.heldSince) < w.longestHold()
}

// longestHold returns how long the request holds back others, or is held back, at most.
func (w *Waiter) longestHold() time.Duration { return min(maxHold, w.allowedWait()/waitDivisor) }

func (w *Waiter) allowedWait() time.Duration { return w.Until.Sub(w.Joined) }
