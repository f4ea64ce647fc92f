package admissionqueue

import (
	"time"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// Forecast says when capacity for a request becomes free.
type Forecast struct {
	Wait     time.Duration // from At until the first such request can be served, with its wait for a slot at an endpoint
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

// Shed removes and returns the waiting requests that can't be placed within the time that they
// may wait, or can't be served before they are due, if all that are kept ahead of them are
// placed first. Those that have not been tried are kept until that time has passed. The first
// request that has not begun is kept too, as capacity that becomes free would otherwise be
// idle until the next arrival. forecast returns the forecast for a request, false if there is
// none; it is asked again after PollInterval.
func (q *Queue) Shed(now time.Time, forecast func(*Waiter) (Forecast, bool)) []Refusal {
	var shed []Refusal
	var ahead []time.Duration // intervals of the kept requests
	var share urgentShare
	first := true
	for place, w := range q.order(now) {
		if w.Failover {
			continue // it leaves after this round
		}
		f, ok := w.forecastAt(now, len(q.waiting) > 1, forecast)
		interval := q.interval(f, now)
		untilPlaced := share.extend(waitBehind(ahead, interval), q, w, now)
		r := Refusal{Waiter: w, Place: place, UntilPlaced: untilPlaced, Forecast: f}
		if ok && !first && w.mayBeShed(now) && r.isTooLate(now) {
			shed = append(shed, r)
			continue
		}
		first = first && w.Begun
		ahead = append(ahead, interval)
	}
	for _, r := range shed {
		q.Leave(r.Waiter)
	}
	return shed
}

// urgentShare caches the share of the capacity that goes to more urgent requests yet to
// arrive, for one priority. The requests are sorted by priority, so it is rarely computed.
type urgentShare struct {
	known    bool
	priority catalogue.Priority
	share    float64
}

// extend returns a time to wait, extended by what more urgent arrivals add to it by the
// formula for the waiting time in a queue with priorities. They don't overtake a request that
// is owed.
func (a *urgentShare) extend(wait time.Duration, q *Queue, w *Waiter, now time.Time) time.Duration {
	if wait == 0 || w.rank.owed {
		return wait
	}
	if !a.known || a.priority != w.Priority {
		*a = urgentShare{known: true, priority: w.Priority, share: q.usage.moreUrgentShare(w.Priority, now)}
	}
	return time.Duration(float64(wait) / (1 - a.share))
}

// isTooLate reports whether the request would be placed after the time that it may wait, or
// served after its objective. The wait for a slot at an endpoint counts against the objective
// only. An overdue request has missed its objective already.
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

// waitBehind returns how long a request with the given interval waits for those ahead of it.
// A long prompt ahead counts with the request's own interval at most, as others pass it while
// it doesn't fit.
func waitBehind(ahead []time.Duration, interval time.Duration) time.Duration {
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

// interval returns the time by which a request delays those behind it: the smaller one of
// the forecast, which gives all entries equal parts of the capacity, and the recent interval
// between placements of this entry.
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
