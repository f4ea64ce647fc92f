package admissionqueue

import (
	"maps"
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// usageTimeConstant is the time constant with which past requests stop counting. With a
	// shorter one, an organisation with a request every 20 s would never be owed one.
	usageTimeConstant = 60 * time.Second
	// floorShare is the least ratio of placed to arrived requests of a priority or
	// organisation, relative to that of all. Required is a quarter; the margin allows for the
	// decay of the sums.
	floorShare = 0.3
	// owedFrom is how many placed requests a group must lack to be owed one. With less, the
	// first request of an organisation would go before urgent ones; with more, one that
	// sends few would get none.
	owedFrom = 0.5
	// maxMoreUrgentShare leaves a tenth of the capacity in the forecast of a priority when
	// the more urgent ones alone exceed the capacity, as the floor grants it a part.
	maxMoreUrgentShare = 0.9
	// maxOrganisations is the number of organisations from which on those with less than
	// negligible requests are removed. With a smaller one, 960 organisations would be scanned
	// often; with a larger one, more memory goes to those that no longer send anything.
	maxOrganisations = 2048
	// negligible is the number of requests below which the sums of an organisation can be
	// removed. With a
	// larger one, an organisation would lose sums that can still make it owed a request; with
	// a smaller one, more are kept that can't.
	negligible = 0.1
)

// sums counts recent requests, with exponential decay.
type sums struct {
	at                    time.Time
	arrived, placed, cost float64
	arrivedAt             time.Time // the last arrival
	owedPass              uint64    // the last pass that marked one of the requests as owed
}

func (s *sums) decay(now time.Time) {
	if passed := now.Sub(s.at); passed > 0 {
		left := math.Exp(-float64(passed) / float64(usageTimeConstant))
		s.arrived, s.placed, s.cost, s.at = s.arrived*left, s.placed*left, s.cost*left, now
	}
}

// usage counts the recent requests of all, of each priority and of each organisation. The
// two are kept apart, as there are far fewer priorities than organisations to scan.
type usage struct {
	total         sums
	priorities    map[catalogue.Priority]*sums
	organisations map[string]*sums
	pass          uint64 // number of passes that marked the owed requests
}

func newUsage() usage {
	return usage{priorities: make(map[catalogue.Priority]*sums), organisations: make(map[string]*sums)}
}

// sumsOf returns the sums of the request's priority and organisation, decayed to now.
func (u *usage) sumsOf(w *Waiter, now time.Time) [2]*sums {
	p, o := u.priorities[w.Priority], u.organisations[w.Organisation]
	if p == nil {
		p = &sums{at: now}
		u.priorities[w.Priority] = p
	}
	if o == nil {
		u.removeNegligible(now)
		o = &sums{at: now}
		u.organisations[w.Organisation] = o
	}
	p.decay(now)
	o.decay(now)
	return [2]*sums{p, o}
}

func (u *usage) removeNegligible(now time.Time) {
	if len(u.organisations) < maxOrganisations {
		return
	}
	maps.DeleteFunc(u.organisations, func(_ string, s *sums) bool {
		s.decay(now)
		return s.arrived < negligible
	})
}

func (u *usage) arrived(w *Waiter, now time.Time) {
	if w.Failover {
		return
	}
	u.total.decay(now)
	u.total.arrived++
	for _, s := range u.sumsOf(w, now) {
		s.arrived++
		s.arrivedAt = now
	}
}

// placed counts a placed request with a sign of 1, and takes back one whose plan was dropped
// with a sign of -1.
func (u *usage) placed(w *Waiter, sign float64, now time.Time) {
	if w.Failover {
		return
	}
	u.total.decay(now)
	u.total.placed = max(0, u.total.placed+sign)
	for _, s := range u.sumsOf(w, now) {
		s.placed, s.cost = max(0, s.placed+sign), max(0, s.cost+sign*w.Cost)
	}
}

// cost returns the cost of an organisation's recently placed requests.
func (u *usage) cost(organisation string, now time.Time) float64 {
	s := u.organisations[organisation]
	if s == nil {
		return 0
	}
	s.decay(now)
	return s.cost
}

// moreUrgentPriorities returns the number of more urgent priorities with recent arrivals.
func (u *usage) moreUrgentPriorities(p catalogue.Priority, now time.Time) (n int) {
	for other, s := range u.priorities {
		if other.Compare(p) < 0 && now.Sub(s.arrivedAt) < urgentFor {
			n++
		}
	}
	return n
}

// moreUrgentShare returns the recent arrivals of more urgent priorities, relative to the
// requests placed: the share of the capacity that is theirs, at most maxMoreUrgentShare.
func (u *usage) moreUrgentShare(p catalogue.Priority, now time.Time) float64 {
	u.total.decay(now)
	if u.total.placed < 1 {
		return 0
	}
	sum := 0.0
	for other, s := range u.priorities {
		if other.Compare(p) < 0 {
			s.decay(now)
			sum += s.arrived
		}
	}
	return min(sum/u.total.placed, maxMoreUrgentShare)
}

// startPass begins a pass over the waiting requests. It returns the least ratio of placed to
// arrived requests that a priority or organisation should have.
func (u *usage) startPass(now time.Time) (floorRatio float64) {
	u.pass++
	u.total.decay(now)
	if u.total.arrived <= 0 {
		return 0
	}
	return floorShare * u.total.placed / u.total.arrived
}

// takeOwed reports whether the request's priority or organisation is below the floor. In one
// pass, each is owed the first of its requests only.
func (u *usage) takeOwed(w *Waiter, floorRatio float64, now time.Time) (owed bool) {
	for _, s := range [...]*sums{u.priorities[w.Priority], u.organisations[w.Organisation]} {
		if s == nil || s.owedPass == u.pass {
			continue
		}
		s.decay(now)
		if floorRatio*s.arrived-s.placed >= owedFrom {
			s.owedPass, owed = u.pass, true
		}
	}
	return owed
}
