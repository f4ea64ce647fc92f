package admissionqueue

import (
	"time"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// StaggerStep is how much later than the next more urgent priority a request is offered
	// the capacity of work that has ended. Other entries, where more urgent requests may
	// wait, have heard of that end by then, and this entry of their choices. Package serve
	// gives events of conflicting plans the same time.
	StaggerStep = 10 * time.Millisecond
	// maxStagger bounds the steps of a delay. With fewer, the least urgent of several
	// priorities compete with each other; with more, capacity stays unused for longer where
	// no request waits at an endpoint.
	maxStagger = 3
	// staggerDivisor divides the allowed wait: that part bounds the delay. With a smaller one,
	// requests with short objectives spend most of their wait in the delay; with a larger one,
	// the delay is too short for the events of other entries.
	staggerDivisor = 4
	// scarceFor is how long after a request that didn't fit capacity counts as scarce. While
	// it doesn't, an arrival is tried at once.
	scarceFor = time.Second
	// urgentFor is how long after the last arrival of a priority less urgent ones are delayed
	// for it. With 28 entries, a priority with 20 requests a second arrives at each every
	// 1.4 s, and a shorter time would end the delay in some of these pauses. With a longer
	// one, a single urgent request delays others when there is hardly another elsewhere.
	urgentFor = 5 * time.Second
	// endSpacing bounds the ends that are remembered. Those within it count as one.
	endSpacing = 2 * time.Millisecond
)

// workEnd is an end of work, by the change that it counted as.
type workEnd struct {
	at     time.Time
	change uint64
}

// stagger remembers the ends of work that some waiting requests aren't offered yet.
type stagger struct {
	alone       bool      // no other entry has requests that wait
	recent      []workEnd // of the last maxStagger steps
	settled     uint64    // the last change before these
	scarceUntil time.Time
}

// note records the present change and forgets what all requests are offered.
func (s *stagger) note(now time.Time, change uint64) {
	last := len(s.recent) - 1
	switch {
	case last < 0 && change != s.settled, last >= 0 && change != s.recent[last].change && now.Sub(s.recent[last].at) >= endSpacing:
		s.recent = append(s.recent, workEnd{at: now, change: change})
	case last >= 0:
		s.recent[last].change = change
	}
	for len(s.recent) > 0 && now.Sub(s.recent[0].at) >= maxStagger*StaggerStep {
		s.settled, s.recent = s.recent[0].change, s.recent[1:]
	}
}

// offered returns the last change that a request with the given delay is offered, and
// whether it is the present one.
func (s *stagger) offered(now time.Time, delay time.Duration) (change uint64, all bool) {
	change, all = s.settled, true
	for _, end := range s.recent {
		if now.Sub(end.at) < delay {
			return change, false
		}
		change = end.change
	}
	return change, true
}

// Pause returns the time until the capacity of work that has ended is offered to further
// requests, at most PollInterval.
func (q *Queue) Pause(now time.Time) time.Duration {
	pause := PollInterval
	for _, w := range q.waiting {
		for _, end := range q.stagger.recent {
			if left := w.delay - now.Sub(end.at); left > 0 {
				pause = min(pause, left)
			}
		}
	}
	return pause
}

// SetAlone tells whether this entry is the only one. Then no more urgent request waits
// elsewhere, and none is delayed.
func (q *Queue) SetAlone(alone bool) {
	if alone != q.stagger.alone {
		q.stagger.alone = alone
		q.changed()
	}
}

// setDelays sets the delays of the waiting requests. Those that go before their priority
// have none, nor have failover attempts: they leave after the round in which they joined, so
// a delayed one would never be tried.
func (q *Queue) setDelays(now time.Time) {
	steps := make(map[catalogue.Priority]int)
	for _, w := range q.waiting {
		if q.stagger.alone || w.rank.begun || w.rank.owed || w.Failover {
			w.delay = 0
			continue
		}
		n, known := steps[w.Priority]
		if !known {
			n = min(q.usage.moreUrgentPriorities(w.Priority, now), maxStagger)
			steps[w.Priority] = n
		}
		w.delay = min(time.Duration(n)*StaggerStep, w.allowedWait()/staggerDivisor)
	}
}
