package serve

import (
	"strconv"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admissionqueue"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

// shedLogInterval is the least time between two log lines for requests that were shed by
// one queue. Each refused request also has a line of its own with the endpoints' load.
const shedLogInterval = 100 * time.Millisecond

// shedLog bounds the log lines for shedding.
type shedLog struct {
	nextAt   time.Time
	unlogged int // since the last line
}

// refuseLate refuses the requests that can't be served in the time that they may wait. The
// caller holds the lock.
func (q *waitingQueue) refuseLate(now time.Time) {
	if !q.server.StateIsCurrent() || now.Before(q.server.endpointsKnownAt()) {
		return
	}
	for _, s := range q.queue.Shed(now, q.forecast) {
		t := q.turns[s.Waiter]
		t.refusal = &s
		q.unregister(t)
		q.logShed(t, now)
		t.notify()
	}
}

// forecast returns when a request can be served, false if no endpoint can be chosen, as
// nothing is known then.
func (q *waitingQueue) forecast(w *admissionqueue.Waiter) (admissionqueue.Forecast, bool) {
	capacity := q.turns[w].run.capacity()
	interval := capacity.ServiceInterval * time.Duration(max(1, q.server.settings.Load().EntryCount()))
	return admissionqueue.Forecast{Wait: capacity.Wait, Interval: interval}, capacity.Candidates > 0
}

func (q *waitingQueue) logShed(t *turn, now time.Time) {
	q.server.metrics.Count("serve_queue_shed", t.run.priorityLabels())
	if now.Before(q.shedLog.nextAt) {
		q.shedLog.unlogged++
		return
	}
	s := t.refusal
	q.server.logger.Warn().Str("request", t.run.request.ID).Str("service", t.run.service.Name).Str("organisation", s.Waiter.Organisation).
		Int("organisation_priority", s.Waiter.Priority.Organisation).Int("route_priority", s.Waiter.Priority.Route).
		Int("place", s.Place).Int("waiting", q.queue.Len()).Dur("turn_in", s.UntilPlaced).Dur("room_in", s.Forecast.Wait).Dur("interval", s.Forecast.Interval).
		Dur("forecast_age", now.Sub(s.Forecast.At)).Dur("may_wait", s.Waiter.Until.Sub(now)).Int("unlogged", q.shedLog.unlogged).
		Msg("A waiting request is shed.")
	q.shedLog = shedLog{nextAt: now.Add(shedLogInterval)}
}

// isShed reports whether the request was shed.
func (t *turn) isShed() bool {
	if t == nil {
		return false
	}
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	return t.refusal != nil
}

// withQueue adds to the capacity of a refused request the time that the requests ahead of
// it take. For a plain service it adds the interval at which this queue's requests were
// placed, so that those refused together return one after the other.
func (t *turn) withQueue(capacity placement.Capacity) placement.Capacity {
	if t == nil {
		return capacity
	}
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.refusal != nil {
		capacity.Wait = max(capacity.Wait, t.refusal.Wait())
	}
	if capacity.ServiceInterval == 0 {
		capacity.ServiceInterval = q.queue.PlacementInterval(time.Now()) / time.Duration(max(1, q.server.settings.Load().EntryCount()))
	}
	return capacity
}

// priorityLabels has the request's priority as engines are told it, from 0 to 9.
func (r *run) priorityLabels() metrics.Labels {
	return metrics.Labels{Class: strconv.Itoa(r.enginePriority)}
}

// measureQueue records how long the request was in the queue, whether it was placed or not.
func (r *run) measureQueue(waited time.Duration) {
	r.server.metrics.ObserveDuration("serve_queue_ms", r.priorityLabels(), waited)
}
