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

// Refusal is a request that is to be refused, with the reasons.
type Refusal struct {
	Waiter      *Waiter
	Place       int           // in the order, 0 for the first
	UntilPlaced time.Duration // until it would be placed
	Forecast    Forecast
}

// Wait returns the time until the request would be served.
func (r *Refusal) Wait() time.Duration { return r.Forecast.Wait + r.UntilPlaced }

// Shed removes and returns the waiting requests that can't be placed within the time that
// they may wait, or not be served before they are due, if all that are kept ahead of them
// are placed first. Those that have not been tried are kept. The first request that has not
// begun is kept too, as capacity that becomes free would else be idle until the next
// arrival. forecast returns the forecast for a request, false if there is none; it is asked
// again after PollInterval.
func (q *Queue) Shed(now time.Time, forecast func(*Waiter) (Forecast, bool)) []Refusal {
	var shed []Refusal
	var ahead []time.Duration // intervals of the kept requests
	var share shareAhead
	first := true
	for place, w := range q.order(now) {
		if w.Failover {
			continue // it leaves after this round
		}
		f, ok := w.forecastAt(now, len(q.waiting) > 1, forecast)
		interval := q.interval(f, now)
		s := Refusal{Waiter: w, Place: place, UntilPlaced: share.lengthen(q, w, waitFor(ahead, interval), now), Forecast: f}
		if ok && !first && w.mayBeShed(now) && s.isTooLate(now) {
			shed = append(shed, s)
			continue
		}
		first = first && w.Begun
		ahead = append(ahead, interval)
	}
	for _, s := range shed {
		q.Leave(s.Waiter)
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
func (a *shareAhead) lengthen(q *Queue, w *Waiter, wait time.Duration, now time.Time) time.Duration {
	if wait == 0 || w.rank.owed {
		return wait
	}
	if !a.known || a.priority != w.Priority {
		*a = shareAhead{known: true, priority: w.Priority, share: q.usage.moreUrgentShare(w.Priority, now)}
	}
	return time.Duration(float64(wait) / (1 - a.share))
}

// isTooLate reports whether the forecast is beyond what the request may wait. Wait counts
// against the objective only, as requests may wait for a slot at an endpoint too; an overdue
// request has none any more.
func (r *Refusal) isTooLate(now time.Time) bool {
	if now.Add(r.UntilPlaced).After(r.Waiter.Until) {
		return true
	}
	return !r.Waiter.rank.overdue && now.Add(r.Wait()).After(r.Waiter.Due)
}

// mayBeShed reports whether a forecast may shed the request. It must have been tried or have
// waited for its time: an arrival in its delay, or one that is held back, might fit.
func (w *Waiter) mayBeShed(now time.Time) bool {
	return !w.Begun && (!w.triedAt.IsZero() || now.After(w.Until))
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
func (w *Waiter) forecastAt(now time.Time, needed bool, forecast func(*Waiter) (Forecast, bool)) (Forecast, bool) {
	if needed && (w.forecast.At.IsZero() || now.Sub(w.forecast.At) >= PollInterval) {
		w.forecast, w.hasForecast = forecast(w)
		w.forecast.At = now
	}
	return w.forecast, w.hasForecast
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
