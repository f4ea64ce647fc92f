package admissionqueue

import (
	"time"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// Forecast says when capacity for a request becomes free.
type Forecast struct {
	Wait     time.Duration // from At until the first such request can be served, also if it waits at an endpoint
	Interval time.Duration // between two such requests at this entry; 0 if unknown
	At       time.Time     // when it was made
}

// Shed is a request that is to be refused, with the reasons.
type Shed struct {
	Entry    *Entry
	Place    int           // in the order, 0 for the first
	Turn     time.Duration // until it would be placed
	Forecast Forecast
}

// Wait returns the time until the request would be served.
func (s *Shed) Wait() time.Duration { return s.Forecast.Wait + s.Turn }

// Shed removes and returns the waiting requests that can't be placed within the time that
// they may wait, or not be served before they are due, if all that are kept ahead of them
// are placed first. Those that have not been tried are kept. The first request that has not
// begun is kept too, as capacity that becomes free would else be idle until the next
// arrival. forecast returns the forecast for a request, false if there is none; it is asked
// again after PollInterval.
func (q *Queue) Shed(now time.Time, forecast func(*Entry) (Forecast, bool)) []Shed {
	var shed []Shed
	var ahead []time.Duration // intervals of the kept requests
	var share shareAhead
	first := true
	for place, e := range q.order(now) {
		if e.Failover {
			continue // it leaves after this round
		}
		f, ok := e.forecastAt(now, len(q.waiting) > 1, forecast)
		interval := q.interval(f, now)
		s := Shed{Entry: e, Place: place, Turn: share.lengthen(q, e, waitFor(ahead, interval), now), Forecast: f}
		if ok && !first && e.mayBeShed(now) && s.isTooLate(now) {
			shed = append(shed, s)
			continue
		}
		first = first && e.Begun
		ahead = append(ahead, interval)
	}
	for _, s := range shed {
		q.Leave(s.Entry)
	}
	return shed
}

// shareAhead is the share of the capacity that goes to more urgent requests yet to arrive,
// for the priority last asked for. Requests come sorted by it, so it is rarely computed.
type shareAhead struct {
	known    bool
	priority catalogue.Priority
	share    float64
}

// lengthen returns a time to wait with what more urgent arrivals add to it, by the waiting
// time of a queue with priorities. They don't overtake a request that is owed.
func (a *shareAhead) lengthen(q *Queue, e *Entry, wait time.Duration, now time.Time) time.Duration {
	if wait == 0 || e.rank.owed {
		return wait
	}
	if !a.known || a.priority != e.Priority {
		*a = shareAhead{known: true, priority: e.Priority, share: q.usage.moreUrgentShare(e.Priority, now)}
	}
	return time.Duration(float64(wait) / (1 - a.share))
}

// isTooLate reports whether the forecast is beyond what the request may wait. Wait counts
// against the objective only, as requests may wait for a slot at an endpoint too; an overdue
// request has none any more.
func (s *Shed) isTooLate(now time.Time) bool {
	if now.Add(s.Turn).After(s.Entry.Until) {
		return true
	}
	return !s.Entry.rank.overdue && now.Add(s.Wait()).After(s.Entry.Due)
}

// mayBeShed reports whether a forecast may shed the request. It must have been tried or have
// waited for its time: an arrival in its delay, or one that is held back, might fit.
func (e *Entry) mayBeShed(now time.Time) bool {
	return !e.Begun && (!e.triedAt.IsZero() || now.After(e.Until))
}

// waitFor returns the time that the requests ahead take of one with the given interval. A
// long prompt ahead counts as one like it, as it lets others pass while it doesn't fit.
func waitFor(ahead []time.Duration, interval time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, other := range ahead {
		sum += min(other, interval)
	}
	return sum
}

// forecastAt returns the forecast for the request. None is needed while nobody else waits.
func (e *Entry) forecastAt(now time.Time, needed bool, forecast func(*Entry) (Forecast, bool)) (Forecast, bool) {
	if needed && (e.forecast.At.IsZero() || now.Sub(e.forecast.At) >= PollInterval) {
		e.forecast, e.hasForecast = forecast(e)
		e.forecast.At = now
	}
	return e.forecast, e.hasForecast
}

// interval returns the time that a request takes of those behind it: the smaller one of the
// forecast, in which all entries have equal parts of the capacity, and what this entry has
// recently had.
func (q *Queue) interval(f Forecast, now time.Time) time.Duration {
	observed := q.PlacementInterval(now)
	if f.Interval <= 0 || observed > 0 && observed < f.Interval {
		return observed
	}
	return f.Interval
}

// PlacementInterval returns the mean time between placements of this queue while requests
// wait, 0 if it isn't known.
func (q *Queue) PlacementInterval(now time.Time) time.Duration { return q.pace.interval(now) }
