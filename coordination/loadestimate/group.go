// Package loadestimate estimates the load of endpoints between two load reports and
// spreads choices over them. Many entries read the same report and act on it at the same
// moment, so choosing the best endpoint of a report overloads that endpoint.
//
// The package has no I/O: times and the random source are arguments. A Group and its
// endpoints belong to one goroutine or one lock.
package loadestimate

import (
	"math"
	"slices"
	"time"
)

const (
	// rateSmoothing is the weight of the newest pair of reports in the learned rates.
	rateSmoothing = 0.1
	// The decay rate is bounded, in 1/s, as two reports of equal or of unrelated loads
	// have none. defaultDecay is that of answers that last a second.
	minDecay     = 0.2
	maxDecay     = 20
	defaultDecay = 1
	// maxReportGap bounds the time between two reports that teach rates. After a longer
	// gap, the reporter or this entry was not working.
	maxReportGap = 2 * time.Second
	// growthHorizon bounds how far the growth of the mean is extrapolated. A burst of
	// arrivals seldom lasts longer than the load does that it causes.
	growthHorizon = 300 * time.Millisecond
	// endpointRetention is how long an endpoint without load and without use stays in
	// the mean of its group.
	endpointRetention = 10 * time.Second
)

// Group estimates the load of similar endpoints, those of one service in one data centre,
// whose load arrives in common reports.
type Group struct {
	endpoints  []*Endpoint
	reportedAt time.Time // arrival of the last report, zero before the first
	mean       float64   // load of an endpoint in it
	growth     float64   // of the mean, 1/s
	decay      float64   // of deviations from the mean, 1/s
	churn      float64   // requests that arrive at all endpoints, 1/s, by the changes of loads
	taught     int       // pairs of reports that taught the rates
	// kept and spread are smoothed sums of the products of successive deviations and of
	// their squares; kept/spread is the share of a deviation that a report leaves.
	kept, spread float64
	// meanNow and keptNow are the estimated mean and the share of a deviation that is left
	// at estimatedAt, as all endpoints are usually estimated for one moment.
	estimatedAt      time.Time
	meanNow, keptNow float64
}

// Endpoint is the reported load of one endpoint.
type Endpoint struct {
	group    *Group
	load     float64 // in the last report
	incoming float64 // in the report being applied
	usedAt   time.Time
}

// NewGroup returns a group without endpoints.
func NewGroup() *Group { return &Group{decay: defaultDecay} }

// Add adds an endpoint with its load in the last report. It counts in the mean from the
// next report on.
func (g *Group) Add(load float64, now time.Time) *Endpoint {
	e := &Endpoint{group: g, load: load, usedAt: now}
	g.endpoints = append(g.endpoints, e)
	return e
}

// Len returns the number of endpoints.
func (g *Group) Len() int { return len(g.endpoints) }

// Use keeps an endpoint without load in the group. It reports false when the endpoint
// has left the group and must be added anew.
func (e *Endpoint) Use(now time.Time) bool {
	e.usedAt = now
	return e.group != nil
}

// Group returns the group, nil when the endpoint has left it.
func (e *Endpoint) Group() *Group { return e.group }

// SetLoad sets the load of the endpoint in the report that Apply completes. Endpoints
// whose load isn't set are empty.
func (e *Endpoint) SetLoad(load float64) { e.incoming = load }

// Apply makes the loads that were set the last report, and learns the rates from its
// difference to the one before.
func (g *Group) Apply(now time.Time) {
	g.removeUnused(now)
	mean := 0.0
	for _, e := range g.endpoints {
		mean += e.incoming / float64(len(g.endpoints))
	}
	if passed := now.Sub(g.reportedAt); !g.reportedAt.IsZero() && passed > 0 && passed <= maxReportGap {
		g.learn(mean, passed.Seconds())
	} else {
		g.growth, g.taught = 0, 0
	}
	g.reportedAt, g.mean, g.estimatedAt = now, mean, time.Time{}
	for _, e := range g.endpoints {
		e.load, e.incoming = e.incoming, 0
	}
}

// removeUnused removes the endpoints that are empty and that nobody uses, such as former
// incarnations.
func (g *Group) removeUnused(now time.Time) {
	g.endpoints = slices.DeleteFunc(g.endpoints, func(e *Endpoint) bool {
		if e.incoming > 0 {
			e.usedAt = now
		}
		unused := now.Sub(e.usedAt) > endpointRetention
		if unused {
			e.group, e.load = nil, 0
		}
		return unused
	})
}

// learn updates the rates by the report that arrives the given time after the last one.
// All endpoints weigh in one regression, as single ones change by few requests. Half the
// squared changes are the arrivals, as arrivals and ends are random and about as many.
func (g *Group) learn(mean, seconds float64) {
	kept, spread, squares := 0.0, 0.0, 0.0
	for _, e := range g.endpoints {
		deviation, change := e.load-g.mean, e.incoming-e.load
		kept += deviation * (e.incoming - mean)
		spread += deviation * deviation
		squares += change * change
	}
	g.taught++
	weight := max(rateSmoothing, 1/float64(g.taught))
	g.growth += rateSmoothing * ((mean-g.mean)/seconds - g.growth) // from 0, as one change of the mean is mostly noise
	g.churn += weight * (squares/2/seconds - g.churn)
	g.kept += weight * (kept - g.kept)
	g.spread += weight * (spread - g.spread)
	if g.spread <= 0 {
		return // all loads were equal
	}
	share := max(g.kept/g.spread, math.Exp(-maxDecay*seconds))
	g.decay = min(max(-math.Log(share)/seconds, minDecay), maxDecay)
}

// Age returns the time since the last report, false before the first one and for an
// endpoint without a group.
func (g *Group) Age(now time.Time) (time.Duration, bool) {
	if g == nil || g.reportedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(g.reportedAt)), true
}

// Load returns the estimated load of the endpoint: its last report, which goes to the mean
// of the group at the decay rate while the mean grows. It leaves rejections aside.
func (e *Endpoint) Load(now time.Time) float64 {
	g := e.group
	if g == nil || g.reportedAt.IsZero() {
		return e.load
	}
	if !now.Equal(g.estimatedAt) {
		g.estimate(now)
	}
	return g.meanNow + (e.load-g.mean)*g.keptNow
}

// estimate sets the estimates of the group. The deviations shrink with the mean, so that
// no load is negative.
func (g *Group) estimate(now time.Time) {
	age := max(0, now.Sub(g.reportedAt))
	g.estimatedAt = now
	g.meanNow = max(0, g.mean+g.growth*min(age, growthHorizon).Seconds())
	g.keptNow = math.Exp(-g.decay * age.Seconds())
	if g.meanNow < g.mean {
		g.keptNow *= g.meanNow / g.mean
	}
}

// UnknownArrivals returns how many requests others are expected to have sent to the
// endpoints of the group since the last report. It is infinite before two reports have
// taught rates. Of its two estimates, the one by the decay rate is too high where choices
// even out the loads, and the one by the changes too low where reports are old.
func (g *Group) UnknownArrivals(now time.Time) float64 {
	if g.taught == 0 {
		return math.Inf(1)
	}
	age, _ := g.Age(now)
	byDecay := max(0, g.mean*g.decay+g.growth) * float64(len(g.endpoints))
	return (byDecay + g.churn) / 2 * age.Seconds()
}
