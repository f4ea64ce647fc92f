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
	// TryInterval is how long a request that didn't fit isn't tried again while no work
	// ends. It is the longest time for which capacity that becomes free without the end of
	// work may go to an arrival behind it.
	TryInterval = 10 * time.Millisecond
	// PollInterval is that of an overdue request, which loses nothing more by waiting. The
	// end of work doesn't shorten it.
	PollInterval = 20 * time.Millisecond
	// maxOvertakes is how many requests overtake one that doesn't fit before it holds back
	// those behind it. With fewer, each long prompt stops short ones for a time; with more,
	// endpoints that it needs together fill up with short ones again.
	maxOvertakes = 8
	// A request holds back others for at most maxBlock, and for at most its allowed wait
	// divided by waitDivisor. A request is held back for at most the same part of its own.
	maxBlock    = 500 * time.Millisecond
	waitDivisor = 2
)

// Entry is a request. Its fields may change only while it isn't in a queue, or before
// Reorder.
type Entry struct {
	Priority     catalogue.Priority
	Organisation string
	Begun        bool      // its answer has begun, so it goes first and is never shed
	Joined       time.Time // since when it waits
	Due          time.Time // when it misses its objective
	Until        time.Time // until when it may wait
	Cost         float64   // predicted work, in units that are the same for all requests of the service
	Failover     bool      // an attempt is running, so it counts neither as arrival nor as placed, is never shed, and has no delay

	number                  uint64 // by the order of joining, the last rule of the order
	overtaken               int    // placements of requests behind it
	heldSince, blockedSince time.Time
	triedAt                 time.Time
	triedAtChange           uint64
	forecast                Forecast
	hasForecast             bool
	rank                    rank
	delay                   time.Duration // after which it is offered the capacity of work that has ended
}

// Queue is the queue of one service. It is not safe for concurrent use.
type Queue struct {
	waiting   []*Entry
	sortedAt  time.Time
	sorted    bool // waiting is in the order of sortedAt
	lastEntry uint64
	usage     usage
	pace      pace
	stagger   stagger
	idle      idle
}

// New returns an empty queue.
func New() *Queue { return &Queue{usage: newUsage()} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Join adds a request that has arrived.
func (q *Queue) Join(e *Entry, now time.Time) {
	q.lastEntry++
	e.number = q.lastEntry
	q.usage.arrived(e, now)
	q.add(e)
}

// Return adds a placed request again, as its plan was dropped before it was sent.
func (q *Queue) Return(e *Entry, now time.Time) {
	q.Withdraw(e, now)
	e.triedAt = time.Time{}
	q.add(e)
}

// Withdraw takes the placement of a request out of the sums, as its plan was dropped before
// it was sent and it won't return.
func (q *Queue) Withdraw(e *Entry, now time.Time) {
	q.usage.placed(e, -1, now)
	q.changed()
}

func (q *Queue) add(e *Entry) {
	q.waiting = append(q.waiting, e)
	q.changed()
}

// Leave removes a request, if it waits.
func (q *Queue) Leave(e *Entry) {
	q.remove(e)
	q.pace.measuring = q.pace.measuring && len(q.waiting) > 0
}

func (q *Queue) remove(e *Entry) {
	q.idle = idle{}
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Entry) bool { return other == e })
}

// Reorder makes changed priorities count.
func (q *Queue) Reorder() { q.changed() }

// changed notes a change of the requests or of their order.
func (q *Queue) changed() { q.sorted, q.idle = false, idle{} }

// Next returns the first request to try now, nil if there is none. change counts the ends
// of work. The caller must call Placed, DidNotFit, Skip or Leave for it before the next call.
func (q *Queue) Next(now time.Time, change uint64) *Entry {
	if q.idle.holds(now, change) {
		return nil
	}
	q.stagger.note(now, change)
	holding, held := false, false
	for _, e := range q.order(now) {
		if holding && e.isHeld(now) {
			held = true
			continue
		}
		if q.isDue(e, now, change) {
			return e
		}
		holding = holding || e.holdsBack(now)
	}
	if !held {
		q.idle = idle{until: q.nextDue(now), change: change}
	}
	return nil
}

// Placed removes a request that has got a plan, and counts it as one that has overtaken
// those ahead of it.
func (q *Queue) Placed(e *Entry, now time.Time) {
	for _, ahead := range q.order(now) {
		if ahead == e {
			break
		}
		ahead.overtaken++
	}
	q.remove(e)
	q.usage.placed(e, 1, now)
	q.pace.placed(now, len(q.waiting) > 0)
	q.sorted = false // the shares have changed
}

// DidNotFit records that a request was tried and no endpoint has capacity for it.
func (q *Queue) DidNotFit(e *Entry, now time.Time, change uint64) {
	q.Skip(e, now, change)
	q.stagger.scarceUntil = now.Add(scarceFor)
}

// Skip records that a request was not tried, as it is about to leave. That says nothing about
// the capacity.
func (q *Queue) Skip(e *Entry, now time.Time, change uint64) {
	e.triedAt, e.triedAtChange = now, change
}

// isDue reports whether the request is to be tried now.
func (q *Queue) isDue(e *Entry, now time.Time, change uint64) bool {
	if e.isDeferred(now) {
		return now.Sub(e.triedAt) >= PollInterval
	}
	offered, all := q.stagger.offered(now, e.delay)
	switch {
	case e.triedAt.IsZero():
		return all || !now.Before(q.stagger.scarceUntil) || now.Sub(e.Joined) >= e.delay
	case e.triedAtChange < offered:
		return true
	}
	return all && now.Sub(e.triedAt) >= TryInterval
}

// isDeferred reports whether the request is overdue, so that others are tried before it.
func (e *Entry) isDeferred(now time.Time) bool { return !e.Begun && now.After(e.Due) }

// holdsBack reports whether the request, which didn't fit, holds back those behind it.
func (e *Entry) holdsBack(now time.Time) bool {
	if e.overtaken < maxOvertakes || e.isDeferred(now) {
		return false
	}
	if e.blockedSince.IsZero() {
		e.blockedSince = now
	}
	return now.Sub(e.blockedSince) < min(maxBlock, e.allowedWait()/waitDivisor)
}

// isHeld reports whether a request ahead that doesn't fit holds this one back. After the
// first time, that ends for good when its part of the allowed wait has passed.
func (e *Entry) isHeld(now time.Time) bool {
	if e.Begun {
		return false
	}
	if e.heldSince.IsZero() {
		e.heldSince = now
	}
	return now.Sub(e.heldSince) < min(maxBlock, e.allowedWait()/waitDivisor)
}

func (e *Entry) allowedWait() time.Duration { return e.Until.Sub(e.Joined) }
