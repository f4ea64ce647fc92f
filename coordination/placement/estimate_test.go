package placement

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// newReportedTestbed returns a testbed whose endpoints are in another data centre that
// sends load reports, and have 12 slots.
func newReportedTestbed(endpoints int) *testbed {
	b := newTestbed(endpoints)
	b.inDataCentre("dc2", 0)
	b.service.Engine.Slots = 12
	for _, e := range b.endpoints {
		e.Slots = 12
	}
	b.scheduler.SetReportingDataCentres([]string{"dc2"})
	b.answers() // makes them candidates
	return b
}

// report applies a report with the given number of answers at each endpoint.
func (b *testbed) report(answers ...uint32) {
	r := &wire.LoadReport{DataCentre: "dc2"}
	for i, n := range answers {
		if n > 0 {
			r.Endpoints = append(r.Endpoints, &wire.EndpointWork{Endpoint: b.endpoints[i].Key, Answers: n, Writers: n, ContextTokens: 3000 * n, MemoryTokens: 4000 * n})
		}
	}
	b.scheduler.ApplyReport(r)
}

// answers returns the answers at each endpoint by which a choice would be made.
func (b *testbed) answers() []int {
	b.scheduler.mu.Lock()
	defer b.scheduler.mu.Unlock()
	answers := make([]int, len(b.endpoints))
	for _, c := range b.scheduler.candidates(b.endpoints, b.short()) {
		for i, e := range b.endpoints {
			if e == c.endpoint {
				answers[i] = c.answers
			}
		}
	}
	return answers
}

// Guards against a data centre that keeps its last load for ever when its reporter is
// killed, frozen or partitioned, and against own work that is lost or counted twice then.
func TestReportedLoadTendsToTheMeanWhenReportsStop(t *testing.T) {
	b := newReportedTestbed(2)
	b.report(8, 0)
	req := b.short()
	req.Excluded = func(e *directory.Endpoint) bool { return e == b.endpoints[0] }
	b.choose(t, req)
	if got := b.answers(); got[0] != 8 || got[1] != 1 {
		t.Errorf("answers %v at the report, want 8 and the own one", got)
	}
	b.now = b.now.Add(8 * time.Second)
	if got := b.answers(); got[0] != 4 || got[1] != 5 {
		t.Errorf("answers %v after 8 s, want the mean 4 and the own one", got)
	}
	b.report(0, 2)
	if got := b.answers(); got[0] != 0 || got[1] != 3 {
		t.Errorf("answers %v after the next report, want 0, and 2 and the own one", got)
	}
}

// Guards against estimates of a time before a data centre was taken out, or from before
// the fleet was too small for load reports.
func TestReturnedDataCentreStartsFromItsNextReport(t *testing.T) {
	b := newReportedTestbed(2)
	b.report(8, 2)
	b.scheduler.SetReportingDataCentres(nil)
	b.now = b.now.Add(time.Minute)
	b.scheduler.SetReportingDataCentres([]string{"dc2"})
	if got := b.answers(); got[0] != 0 || got[1] != 0 {
		t.Errorf("answers %v before any report", got)
	}
	b.report(3, 1)
	if got := b.answers(); got[0] != 3 || got[1] != 1 {
		t.Errorf("answers %v, want 3 and 1 of the report", got)
	}
}

// Guards against an endpoint that is chosen again right after its rejection, as its last
// report shows room, and against one that is avoided for long.
func TestRejectionRaisesTheReportedLoadForAShortTime(t *testing.T) {
	b := newReportedTestbed(2)
	b.report(2, 2)
	b.scheduler.RecordRefusal(b.endpoints[0].Key)
	b.now = b.now.Add(refusalBackoff)
	if got := b.answers(); got[0] < 8 || got[1] != 2 {
		t.Errorf("answers %v after a rejection by the first", got)
	}
	b.now = b.now.Add(time.Second)
	if got := b.answers(); got[0] != 2 {
		t.Errorf("answers %v a second later, want 2", got)
	}
	if n := b.scheduler.EstimateStats().Corrected; n != 1 {
		t.Errorf("%d corrections are counted", n)
	}
}

// Guards against entries that read the same report and all choose the endpoint that is
// slightly better by it.
func TestShortPromptsAreSpreadOverReportedEndpoints(t *testing.T) {
	chosen := make(map[string]int)
	for entry := range 60 {
		b := newReportedTestbed(3)
		b.scheduler.SetTieBreakSeed(uint64(entry))
		b.report(3, 2, 2)
		chosen[b.choose(t, b.short()).Endpoints[0].ID]++
		if entry == 0 {
			stats := b.scheduler.EstimateStats()
			if stats.Spread != 1 || stats.ReportAges[0] != 1 {
				t.Errorf("counts %+v, want one choice spread with a new report", stats)
			}
		}
	}
	for _, id := range []string{"e0", "e1", "e2"} {
		if n := chosen[id]; n < 10 || n > 30 {
			t.Errorf("%d of 60 entries chose %s: %v", n, id, chosen)
		}
	}
}

// Guards against other choices in fleets without load reports, whose work items are all
// known.
func TestEngineChoicesWithoutReportsAreNotSpread(t *testing.T) {
	plain, refused := newTestbed(4), newTestbed(4)
	refused.scheduler.RecordRefusal(refused.endpoints[0].Key)
	for _, b := range []*testbed{plain, refused} {
		b.now = b.now.Add(refusalBackoff)
	}
	for i := range 12 {
		x, y := plain.choose(t, plain.short()), refused.choose(t, refused.short())
		if x.Endpoints[0].ID != y.Endpoints[0].ID || x.Score != y.Score {
			t.Errorf("choice %d is %s, after a rejection %s", i, x.Endpoints[0].ID, y.Endpoints[0].ID)
		}
	}
	if stats := refused.scheduler.EstimateStats(); stats.Spread != 0 || stats.ReportAges != (EstimateStats{}).ReportAges {
		t.Errorf("counts %+v", stats)
	}
}
