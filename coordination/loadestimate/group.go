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
	// The decay rate, in 1/s, is bounded, as no rate can be learned from reports of equal or
	// unrelated loads. defaultDecay is that of answers that last a second.
	minDecay     = 0.2
	maxDecay     = 20
	defaultDecay = 1
	// maxReportGap bounds the time between two reports from which rates are learned. After a longer
	// gap, the reporter or this entry has been unavailable.
	maxReportGap = 2 * time.Second
	// growthHorizon bounds how far the growth of the mean is extrapolated, as a burst of
	// arrivals seldom lasts longer than the load that it causes.
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
	// arrivalRate is the number of requests that arrive at all endpoints, 1/s, estimated from
	// the changes of their loads.
	arrivalRate  float64
	learnedPairs int // pairs of reports from which the rates were learned
	// covariance is the smoothed sum of the products of each deviation and the one in the next
	// report, variance that of their squares. covariance/variance is the share of a deviation
	// that is left in the next report.
	covariance, variance float64
	// meanNow and remainingNow are the estimated mean and the share of a deviation that is left
	// at estimatedAt. They are cached, as all endpoints are usually estimated for one moment.
	estimatedAt           time.Time
	meanNow, remainingNow float64
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
		g.growth, g.learnedPairs = 0, 0
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

// learn updates the rates by the report that arrives the given time after the last one. One
// regression over all endpoints gives the decay rate, as single ones change by few requests.
// Half the squared changes are the arrivals, as arrivals and ends are random and about as
// many.
func (g *Group) learn(mean, seconds float64) {
	covariance, variance, squares := 0.0, 0.0, 0.0
	for _, e := range g.endpoints {
		deviation, change := e.load-g.mean, e.incoming-e.load
		covariance += deviation * (e.incoming - mean)
		variance += deviation * deviation
		squares += change * change
	}
	g.learnedPairs++
	weight := max(rateSmoothing, 1/float64(g.learnedPairs))
	g.growth += rateSmoothing * ((mean-g.mean)/seconds - g.growth) // from 0, as one change of the mean is mostly noise
	g.arrivalRate += weight * (squares/2/seconds - g.arrivalRate)
	g.covariance += weight * (covariance - g.covariance)
	g.variance += weight * (variance - g.variance)
	if g.variance <= 0 {
		return // all loads were equal
	}
	share := max(g.covariance/g.variance, math.Exp(-maxDecay*seconds))
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

// Load returns the estimated load of the endpoint: the load in the last report, moved towards
// the mean of the group at the decay rate while the mean grows. Rejections don't count.
func (e *Endpoint) Load(now time.Time) float64 {
	g := e.group
	if g == nil || g.reportedAt.IsZero() {
		return e.load
	}
	if !now.Equal(g.estimatedAt) {
		g.estimate(now)
	}
	return g.meanNow + (e.load-g.mean)*g.remainingNow
}

// estimate sets the estimates of the group. The deviations shrink with the mean, so that
// no load is negative.
func (g *Group) estimate(now time.Time) {
	age := max(0, now.Sub(g.reportedAt))
	g.estimatedAt = now
	g.meanNow = max(0, g.mean+g.growth*min(age, growthHorizon).Seconds())
	g.remainingNow = math.Exp(-g.decay * age.Seconds())
	if g.meanNow < g.mean {
		g.remainingNow *= g.meanNow / g.mean
	}
}

// UnknownArrivals returns how many requests others are expected to have sent to the
// endpoints of the group since the last report. It is infinite until two reports
// have given the rates. Otherwise it is the mean of two estimates: the one by the decay rate
// is too high where choices even out the loads, and the one by the changes of the loads is too
// low where reports are old.
func (g *Group) UnknownArrivals(now time.Time) float64 {
	if g.learnedPairs == 0 {
		return math.Inf(1)
	}
	age, _ := g.Age(now)
	byDecay := max(0, g.mean*g.decay+g.growth) * float64(len(g.endpoints))
	return (byDecay + g.arrivalRate) / 2 * age.Seconds()
}
