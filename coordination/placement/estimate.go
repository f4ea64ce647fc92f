package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/loadestimate"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// workEventDelay is how late this entry learns of the work of others that is known
	// item by item: about the round trip between data centres.
	workEventDelay = 10 * time.Millisecond
	// equalScoreShare: main endpoints known from load reports are about equal when their
	// scores differ by no more than this share of the credit. With fewer than 15 slots, that is
	// less than the bonus of largeFleetPacking for two answers.
	equalScoreShare = 0.02
	// freshReportAge: up to this age, more than two intervals between load reports, a slot
	// that a report shows as taken isn't estimated to be free.
	freshReportAge = 400 * time.Millisecond
)

// ReportAgeBounds are the upper bounds of the classes of EstimateStats.ReportAges; the last
// class has none.
var ReportAgeBounds = [...]time.Duration{
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	400 * time.Millisecond,
	800 * time.Millisecond,
	3200 * time.Millisecond,
}

// EstimateStats are counts of choices by estimated load.
type EstimateStats struct {
	Spread    uint64 // choices drawn among several endpoints
	Corrected uint64 // estimates raised by a rejection
	// ReportAges counts choices of endpoints known from load reports, by the age of the
	// report.
	ReportAges [len(ReportAgeBounds) + 1]uint64
}

// groupKey identifies the endpoints of one service in one data centre.
type groupKey struct{ dataCentre, service string }

// estimates are the load estimates of the endpoints in the data centres that send load
// reports, and the picker that spreads choices by load.
type estimates struct {
	groups         map[groupKey]*loadestimate.Group
	picker         *loadestimate.Picker
	source         *rand.PCG // of the picker
	stats          EstimateStats
	loadOptions    []loadestimate.Option // reused
	openCandidates []*candidate          // of plain services, reused
	reportedMains  []option              // reused
	recordEligible bool                  // set in the copy of Explain only, as it allocates
	eligible       []int                 // options that the last pick could draw, if recordEligible
}

func newEstimates() estimates {
	e := estimates{groups: make(map[groupKey]*loadestimate.Group)}
	e.seed(0)
	return e
}

// seed sets the random source of the choices.
func (e *estimates) seed(seed uint64) {
	e.source = rand.NewPCG(seed, 0)
	e.picker = loadestimate.NewPicker(rand.New(e.source))
}

// trackLoad adds a candidate to its group if its data centre sends load reports, and
// keeps it there.
func (s *Scheduler) trackLoad(state *endpointState, e *directory.Endpoint, now time.Time) {
	if len(s.reportedKeys) == 0 || state.estimate != nil && state.estimate.Use(now) {
		return
	}
	state.estimate = nil // it has left its group
	if _, reporting := s.reportedKeys[e.DataCentre]; !reporting {
		return
	}
	key := groupKey{e.DataCentre, e.Service}
	group := s.estimates.groups[key]
	if group == nil {
		group = loadestimate.NewGroup()
		s.estimates.groups[key] = group
	}
	state.estimate = group.Add(float64(state.reported.answers), now)
}

// applyToGroups completes a report of a data centre in its groups.
func (s *Scheduler) applyToGroups(dataCentre string, now time.Time) {
	for key, group := range s.estimates.groups {
		if key.dataCentre == dataCentre {
			group.Apply(now)
		}
	}
}

// dropGroups forgets the estimates of a data centre that no longer sends load reports.
func (s *Scheduler) dropGroups(dataCentre string) {
	for key, group := range s.estimates.groups {
		if key.dataCentre != dataCentre {
			continue
		}
		for _, state := range s.states {
			if state.estimate != nil && (state.estimate.Group() == group || state.estimate.Group() == nil) {
				state.estimate = nil // one that has left its group is added anew where it is due
			}
		}
		delete(s.estimates.groups, key)
	}
}

// estimatedAnswers returns the estimated number of the answers known from load reports, and
// the number that counts for the slots. The other sums stay as reported: with all of them
// estimated, more answers began after their caller's timeout in a burst of short prompts.
func (state *endpointState) estimatedAnswers(now time.Time) (load float64, answers int) {
	reported := state.reported.answers
	if state.estimate == nil {
		return float64(reported), reported
	}
	load = state.estimate.Load(now)
	answers = int(math.Round(load))
	if age, known := state.estimate.Group().Age(now); known && age < freshReportAge {
		answers = max(answers, reported)
	}
	return load, answers
}

// correctRejected raises the load of a candidate that has rejected a request. The
// endpoints of engines whose work items are all known aren't corrected.
func (c *candidate) correctRejected(engine *catalogue.Engine, now time.Time) {
	if !c.state.rejection.Active(now) || engine != nil && c.state.estimate == nil {
		return
	}
	full := float64(c.plainLimit() - 1) // it can still be chosen when all others are full
	if engine != nil {
		full = float64(c.slots(engine))
	}
	c.load = c.state.rejection.Correct(c.load, full, now)
	c.answers = max(c.answers, int(math.Round(c.load)))
}

// recordRejection raises the estimated load of an endpoint that rejected a request. The
// caller holds the lock.
func (s *Scheduler) recordRejection(state *endpointState, key uint64, now time.Time) {
	state.rejection.Record(now)
	if state.estimate == nil && s.engineFor(state, key) != nil {
		return
	}
	s.estimates.stats.Corrected++
	answers, _ := state.estimatedAnswers(now)
	line := s.logger.Info().Str("endpoint", state.name).Uint64("key", key)
	line.Int("known_work", len(state.inFlight)).Float64("reported_answers", answers)
	if state.estimate != nil && state.estimate.Group() != nil {
		age, _ := state.estimate.Group().Age(now)
		line.Dur("report_age", age)
	}
	line.Msg("The estimated load of an endpoint was raised by a rejection.")
}

// unknownArrivals returns how many requests others are expected to have sent to the
// endpoints of a plain service without this entry's knowledge.
func unknownArrivals(candidates []*candidate, now time.Time) float64 {
	arrivals := 0.0
	var counted []*loadestimate.Group // one for each data centre
	for _, c := range candidates {
		if c.state.estimate == nil {
			arrivals += float64(c.state.recentArrivals(now)) * workEventDelay.Seconds() / arrivalWindow.Seconds()
			continue
		}
		group := c.state.estimate.Group()
		if slices.Contains(counted, group) {
			continue
		}
		counted = append(counted, group)
		arrivals += group.UnknownArrivals(now)
	}
	return arrivals
}

// pickMain replaces the best main endpoint, if it is known from load reports, by one drawn
// among those about as good, in proportion to their free slots: entries that read the same
// reports would all choose the best one. An overdue request needs the earliest one.
func (s *Scheduler) pickMain(best, second *option, req *Request) (*option, *option) {
	if best == nil || best.state.estimate == nil || req.isOverdue() {
		return best, second
	}
	mains, options := s.estimates.reportedMains, s.estimates.loadOptions[:0]
	equal := mains[:0] // filtered in place; drawnAmong reads it there
	for _, o := range mains {
		if o.score >= best.score-req.Credit*equalScoreShare {
			slots := float64(o.slots(req.Service.Engine))
			equal = append(equal, o)
			options = append(options, loadestimate.Option{Load: o.load, Slots: slots, Capacity: slots})
		}
	}
	s.estimates.loadOptions = options
	i := s.estimates.pick(options, math.Inf(1))
	if i < 0 || equal[i].candidate == best.candidate {
		return best, second
	}
	picked := equal[i]
	return &picked, best
}

// pick calls Picker.Pick and counts the choices among several options.
func (e *estimates) pick(options []loadestimate.Option, unknownArrivals float64) int {
	if e.recordEligible {
		e.eligible = e.picker.Eligible(options, unknownArrivals)
	}
	i := e.picker.Pick(options, unknownArrivals)
	if i >= 0 && len(options) > 1 {
		e.stats.Spread++
	}
	return i
}

// recordReportAge sets and counts the age of the load report of a plan's main endpoint.
func (s *Scheduler) recordReportAge(p *Plan, now time.Time) {
	state := s.states[p.Endpoints[0].Key]
	if state.estimate == nil {
		return
	}
	age, known := state.estimate.Group().Age(now) // in a group, as it was a candidate just now
	p.ReportAge = age
	class := 0
	for class < len(ReportAgeBounds) && (!known || age > ReportAgeBounds[class]) {
		class++
	}
	s.estimates.stats.ReportAges[class]++
}

// EstimateStats returns the current counts.
func (s *Scheduler) EstimateStats() EstimateStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimates.stats
}
