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
	// staggerDivisor: the delay is at most 1/staggerDivisor of the allowed wait. With a smaller
	// one, requests with short objectives spend most of their wait in the delay; with a larger
	// one, the delay is too short for the events of other entries.
	staggerDivisor = 4
	// scarceFor is how long capacity counts as scarce after a request didn't fit. Otherwise an
	// arrival is tried at once.
	scarceFor = time.Second
	// urgentFor is how long after the last arrival of a priority less urgent ones are delayed
	// for it. With 28 entries, a priority with 20 requests a second arrives at each every
	// 1.4 s, and a shorter time would end the delay in some of these pauses. With a longer
	// one, a single urgent request delays others when there is hardly another elsewhere.
	urgentFor = 5 * time.Second
	// endSpacing is the least time between two recorded ends of work, which bounds their
	// number. Ends within it count as one.
	endSpacing = 2 * time.Millisecond
)

// workEnd is one or more ends of work at about the same time.
type workEnd struct {
	at    time.Time
	count uint64 // of all ends of work up to this one
}

// stagger holds the ends of work whose capacity some waiting requests aren't offered yet.
type stagger struct {
	alone       bool      // this entry is the only one
	recent      []workEnd // of the last maxStagger steps
	offeredAll  uint64    // number of ends of work before these, which all requests are offered
	scarceUntil time.Time
}

// update records the ends of work since the last call, and removes those that all requests
// are offered.
func (s *stagger) update(now time.Time, workEnds uint64) {
	last := len(s.recent) - 1
	switch {
	case s.isNewEnd(now, workEnds):
		s.recent = append(s.recent, workEnd{at: now, count: workEnds})
	case last >= 0:
		s.recent[last].count = workEnds
	}
	for len(s.recent) > 0 && now.Sub(s.recent[0].at) >= maxStagger*StaggerStep {
		s.offeredAll = s.recent[0].count
		s.recent = s.recent[1:]
	}
}

// isNewEnd reports whether work has ended and doesn't count with the last end.
func (s *stagger) isNewEnd(now time.Time, workEnds uint64) bool {
	if len(s.recent) == 0 {
		return workEnds != s.offeredAll
	}
	last := s.recent[len(s.recent)-1]
	return workEnds != last.count && now.Sub(last.at) >= endSpacing
}

// offered returns the number of ends of work whose capacity a request with the given delay
// is offered, and whether these are all.
func (s *stagger) offered(now time.Time, delay time.Duration) (workEnds uint64, all bool) {
	workEnds = s.offeredAll
	for _, end := range s.recent {
		if now.Sub(end.at) < delay {
			return workEnds, false
		}
		workEnds = end.count
	}
	return workEnds, true
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

// SetAlone tells whether this entry is the only one. If it is, no request is
// delayed, as no more urgent one waits elsewhere.
func (q *Queue) SetAlone(alone bool) {
	if alone != q.stagger.alone {
		q.stagger.alone = alone
		q.changed()
	}
}

// setDelays sets the delays of the waiting requests. Begun and owed ones have none, as they
// go first whatever their priority. Failover attempts have none, as they leave after the round
// in which they joined, so a delayed one would never be tried.
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
