package placement

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// reportedLoad is the load of an endpoint in another data centre that is known from
// load reports, without its work items.
type reportedLoad struct {
	answers        int                     // that it decodes or will decode
	batch          enginemodel.DecodeBatch // the answers that have begun
	memoryTokens   int
	credit         float64       // of the answers that are not late
	pauseObjective time.Duration // the shortest one of these answers, 0 without any
}

// reportedWork identifies the reported prefill in an endpoint's queue.
var reportedWork = enginemodel.WorkID{Sender: ^uint64(0)}

// SetReportingDataCentres sets the data centres whose load is known from load reports.
// The others publish all their work.
func (s *Scheduler) SetReportingDataCentres(dataCentres []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for dataCentre := range s.reportedKeys {
		if !slices.Contains(dataCentres, dataCentre) {
			s.replaceReport(dataCentre, nil)
			delete(s.reportedKeys, dataCentre)
			s.dropGroups(dataCentre)
		}
	}
	for _, dataCentre := range dataCentres {
		if _, known := s.reportedKeys[dataCentre]; !known {
			s.reportedKeys[dataCentre] = nil
		}
	}
}

// packing returns the packing rule for the size of the fleet and, where the routes of the
// service have different priorities, for the demand at the candidates.
func (s *Scheduler) packing(candidates []*candidate, req *Request) packing {
	switch {
	case len(s.reportedKeys) == 0:
		return smallFleetPacking
	case req.HasPriorities:
		return demandPacking(longLoad(candidates, s.now()))
	}
	return largeFleetPacking
}

// isReported reports whether the load of the candidate is known from load reports.
func (c *candidate) isReported() bool { return c.state.estimate != nil }

// ApplyReport applies the load report of one data centre, which replaces its previous
// one.
func (s *Scheduler) ApplyReport(report *wire.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, reporting := s.reportedKeys[report.DataCentre]; reporting {
		s.replaceReport(report.DataCentre, report.Endpoints)
	}
}

// replaceReport replaces the reported load of a data centre. Reports have no sequence number,
// so one that arrives out of order counts until the next. The caller holds the lock.
func (s *Scheduler) replaceReport(dataCentre string, endpoints []*wire.EndpointWork) {
	now := s.now()
	for _, key := range s.reportedKeys[dataCentre] {
		state := s.stateOf(key)
		s.advanceQueue(state, key, now)
		state.reported = reportedLoad{}
		state.queue.Remove(reportedWork)
	}
	keys := make([]uint64, 0, len(endpoints))
	for _, e := range endpoints {
		keys = append(keys, e.Endpoint)
		state := s.stateOf(e.Endpoint)
		s.advanceQueue(state, e.Endpoint, now)
		state.reported = reportedLoad{
			answers:        int(e.Answers),
			batch:          enginemodel.DecodeBatch{Count: int(e.Writers), ContextTokens: int(e.ContextTokens)},
			memoryTokens:   int(e.MemoryTokens),
			credit:         float64(e.CreditMilli) / millisPerCredit,
			pauseObjective: time.Duration(e.PauseMs) * time.Millisecond,
		}
		if state.estimate != nil {
			state.estimate.SetLoad(float64(e.Answers))
		}
		if e.ReadUs > 0 {
			prefill := enginemodel.Prefill{Ms: float64(e.ReadUs) / 1e3, Tokens: float64(e.ReadTokens)}
			state.queue.Add(enginemodel.Part{Work: reportedWork, Prefill: prefill}, now)
		}
	}
	s.reportedKeys[dataCentre] = keys
	s.applyToGroups(dataCentre, now)
}

// BuildReport sums up the work at the given endpoints of this entry's data centre that
// is not published to other data centres: short prompts placed by entries of this data
// centre. isLocal reports whether a sender is such an entry; it is not called for this
// entry itself, sender 0.
func (s *Scheduler) BuildReport(dataCentre string, keys []uint64, isLocal func(sender uint64) bool) *wire.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	report := &wire.LoadReport{DataCentre: dataCentre}
	for _, key := range keys {
		state := s.states[key]
		if state == nil {
			continue
		}
		s.advanceQueue(state, key, now)
		if sum := state.summarise(key, isLocal); sum != nil {
			report.Endpoints = append(report.Endpoints, sum)
		}
	}
	return report
}

// summarise returns the sums of the work that BuildReport reports, for one endpoint; nil
// without such work. isLocal is that of BuildReport. In the message, reading stands for
// prefill, and the writers are the answers being decoded. Late answers add no credit
// and no pause objective, as they have nothing left to lose.
func (state *endpointState) summarise(key uint64, isLocal func(sender uint64) bool) *wire.EndpointWork {
	sum := &wire.EndpointWork{Endpoint: key}
	found := false
	for _, w := range state.inFlight {
		if isCrossDataCentre(w.prefill.Ms, len(w.endpoints)) || w.id.Sender != 0 && !isLocal(w.id.Sender) {
			continue
		}
		found = true
		sum.MemoryTokens += uint32(w.memoryTokensAt(slices.Index(w.endpoints, key)))
		left := state.queue.Remaining(w.id)
		sum.ReadUs += uint32(left.Ms * 1e3)
		sum.ReadTokens += uint32(left.Tokens)
		if w.endpoints[0] != key {
			continue
		}
		sum.Answers++
		if w.started {
			sum.Writers++
			sum.ContextTokens += uint32(w.promptTokens)
		}
		if !w.late {
			sum.CreditMilli += creditMilli(w.credit)
			sum.PauseMs = shorterObjectiveMs(sum.PauseMs, wireMs(w.pauseObjective))
		}
	}
	if !found {
		return nil
	}
	return sum
}

// shorterObjectiveMs returns the smaller of two objectives; 0 stands for none.
func shorterObjectiveMs(a, b uint32) uint32 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// ReportedAnswers counts the answers that are known from load reports only.
func (s *Scheduler) ReportedAnswers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, keys := range s.reportedKeys {
		for _, key := range keys {
			n += s.stateOf(key).reported.answers
		}
	}
	return n
}

// loss returns the credit that the reported answers lose by longer passes. All are
// judged by the shortest pause objective among them.
func (load *reportedLoad) loss(before, after *enginemodel.Forecast) float64 {
	if load.credit == 0 || load.pauseObjective == 0 {
		return 0
	}
	lost := onTimeChance(before.LongestPassMs, load.pauseObjective, pauseMargin) - onTimeChance(after.LongestPassMs, load.pauseObjective, pauseMargin)
	return load.credit * lateLossShare * max(0, lost)
}
