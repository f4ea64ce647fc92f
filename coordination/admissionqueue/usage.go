package admissionqueue

import (
	"maps"
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// usageMemory is the time constant with which past requests stop counting. With a
	// shorter one, an organisation with a request every 20 s would never be owed one.
	usageMemory = 60 * time.Second
	// floorShare is the share of the service of all that each priority and organisation
	// gets at least. Required is a quarter; the rest is a margin for what decays.
	floorShare = 0.3
	// owedFrom is how many placed requests a group must lack to be owed one. With less, the
	// first request of an organisation would go before urgent ones; with more, one that
	// sends few would get none.
	owedFrom = 0.5
	// maxMoreUrgentShare leaves a tenth of the capacity in the forecast of a priority when
	// the more urgent ones alone exceed the capacity, which the floor surely grants.
	maxMoreUrgentShare = 0.9
	// Above maxGroups, those that count less than negligible requests are forgotten.
	maxGroups  = 2048
	negligible = 0.1
)

// group is a priority, or an organisation.
type group struct {
	isOrganisation bool
	organisation   string
	priority       catalogue.Priority
}

func groupsOf(e *Entry) [2]group {
	return [2]group{{priority: e.Priority}, {isOrganisation: true, organisation: e.Organisation}}
}

// sums count recent requests; each counts less with time.
type sums struct {
	at                    time.Time
	arrived, placed, cost float64
	arrivedAt             time.Time // the last arrival
}

func (s *sums) decay(now time.Time) {
	if passed := now.Sub(s.at); passed > 0 {
		left := math.Exp(-float64(passed) / float64(usageMemory))
		s.arrived, s.placed, s.cost, s.at = s.arrived*left, s.placed*left, s.cost*left, now
	}
}

// usage counts the recent requests of all, of each priority and of each organisation.
type usage struct {
	total  sums
	groups map[group]*sums
}

func newUsage() usage { return usage{groups: make(map[group]*sums)} }

// of returns the sums of a group, decayed.
func (u *usage) of(g group, now time.Time) *sums {
	s := u.groups[g]
	if s == nil {
		u.forgetNegligible(now)
		s = &sums{at: now}
		u.groups[g] = s
	}
	s.decay(now)
	return s
}

func (u *usage) forgetNegligible(now time.Time) {
	if len(u.groups) < maxGroups {
		return
	}
	maps.DeleteFunc(u.groups, func(_ group, s *sums) bool {
		s.decay(now)
		return s.arrived < negligible
	})
}

func (u *usage) arrived(e *Entry, now time.Time) {
	if e.Failover {
		return
	}
	u.total.decay(now)
	u.total.arrived++
	for _, g := range groupsOf(e) {
		s := u.of(g, now)
		s.arrived++
		s.arrivedAt = now
	}
}

// placed counts a placed request, with a sign of -1 one that has lost its plan again.
func (u *usage) placed(e *Entry, sign float64, now time.Time) {
	if e.Failover {
		return
	}
	u.total.decay(now)
	u.total.placed = max(0, u.total.placed+sign)
	for _, g := range groupsOf(e) {
		s := u.of(g, now)
		s.placed, s.cost = max(0, s.placed+sign), max(0, s.cost+sign*e.Cost)
	}
}

// cost returns the cost of an organisation's recently placed requests.
func (u *usage) cost(organisation string, now time.Time) float64 {
	s := u.groups[group{isOrganisation: true, organisation: organisation}]
	if s == nil {
		return 0
	}
	s.decay(now)
	return s.cost
}

// moreUrgentPriorities returns the number of more urgent priorities with recent arrivals.
func (u *usage) moreUrgentPriorities(p catalogue.Priority, now time.Time) (n int) {
	for g, s := range u.groups {
		if !g.isOrganisation && g.priority.Compare(p) < 0 && now.Sub(s.arrivedAt) < urgentFor {
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
	for g, s := range u.groups {
		if !g.isOrganisation && g.priority.Compare(p) < 0 {
			s.decay(now)
			sum += s.arrived
		}
	}
	return min(sum/u.total.placed, maxMoreUrgentShare)
}

// owed returns the groups that lack requests to their floor.
func (u *usage) owed(now time.Time) map[group]bool {
	owed := make(map[group]bool)
	u.total.decay(now)
	if u.total.arrived <= 0 {
		return owed
	}
	floor := floorShare * u.total.placed / u.total.arrived
	for g, s := range u.groups {
		s.decay(now)
		if floor*s.arrived-s.placed >= owedFrom {
			owed[g] = true
		}
	}
	return owed
}
