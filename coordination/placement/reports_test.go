package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// inDataCentre moves the endpoints from the n-th on to another data centre.
func (b *testbed) inDataCentre(name string, n int) {
	for _, e := range b.endpoints[n:] {
		e.DataCentre = name
	}
}

func keysOf(endpoints []*directory.Endpoint) []uint64 {
	var keys []uint64
	for _, e := range endpoints {
		keys = append(keys, e.Key)
	}
	return keys
}

func anySender(uint64) bool { return true }

// The entries of another data centre have filled their endpoints with short prompts,
// which this entry knows from load reports only.
func TestLoadReportsKeepWorkOffFullEndpoints(t *testing.T) {
	there := newTestbed(1)
	there.inDataCentre("dc2", 0)
	for range 4 {
		req := there.short()
		req.DataCentre = "dc2"
		there.choose(t, req).Handle.MarkStarted()
	}
	here := newTestbed(1)
	here.inDataCentre("dc2", 0)
	here.scheduler.SetReportingDataCentres([]string{"dc2"})
	if p := here.choose(t, here.short()); p.ActiveAnswers != 0 {
		t.Fatalf("%d answers are known before any report", p.ActiveAnswers)
	} else {
		p.Handle.Close()
	}
	report := there.scheduler.BuildReport("dc2", keysOf(there.endpoints), anySender)
	if len(report.Endpoints) != 1 || report.Endpoints[0].Answers != 4 || report.Endpoints[0].Writers != 4 || report.Endpoints[0].CreditMilli == 0 {
		t.Fatalf("report %v", report)
	}
	here.scheduler.ApplyReport(report)
	late := here.short()
	late.ObjectiveLeft = time.Millisecond
	if p := here.scheduler.Choose(here.endpoints, late); p != nil {
		t.Error("an endpoint that its report shows as full was chosen for a late prompt")
	}
	here.scheduler.ApplyReport(&wire.LoadReport{DataCentre: "dc2"})
	if p := here.choose(t, here.short()); p.ActiveAnswers != 0 {
		t.Errorf("%d answers are known after a report without any", p.ActiveAnswers)
	}
}

func TestALongPromptAvoidsReportedShortAnswers(t *testing.T) {
	b := newTestbed(6)
	b.inDataCentre("dc2", 3)
	b.scheduler.SetReportingDataCentres([]string{"dc2"})
	var loads []*wire.EndpointWork
	for _, key := range keysOf(b.endpoints[3:]) {
		loads = append(loads, &wire.EndpointWork{
			Endpoint: key, Answers: 3, Writers: 3, ContextTokens: 9000, MemoryTokens: 12000, CreditMilli: 900_000, PauseMs: 250,
		})
	}
	b.scheduler.ApplyReport(&wire.LoadReport{DataCentre: "dc2", Endpoints: loads})
	for _, e := range b.choose(t, b.long()).Endpoints {
		if e.DataCentre == "dc2" {
			t.Errorf("%s decodes short answers and was given a part of a long prompt", e.ID)
		}
	}
}

func TestWorkPublishedToAllIsNotReported(t *testing.T) {
	b := newTestbed(2)
	b.choose(t, b.long()).Handle.MarkStarted()
	b.scheduler.ApplyRemote(7, []*wire.WorkEvent{{Step: wire.WorkStep_WORK_STEP_OPEN, Work: 1, Endpoints: []uint64{b.endpoints[0].Key}, ReadUs: 20_000, LimitMs: 1000}})
	isLocal := func(sender uint64) bool { return sender != 7 }
	if report := b.scheduler.BuildReport("dc1", keysOf(b.endpoints), isLocal); len(report.Endpoints) != 0 {
		t.Errorf("report %v", report)
	}
	if report := b.scheduler.BuildReport("dc1", keysOf(b.endpoints), anySender); len(report.Endpoints) != 1 || report.Endpoints[0].ReadUs == 0 {
		t.Errorf("report %v, want the short work of the other entry", report)
	}
}

func TestTheScopeOfWork(t *testing.T) {
	b := newTestbed(2)
	b.inDataCentre("dc2", 1)
	var scopes []Scope
	b.scheduler.OnWorkEvent(func(_ *wire.WorkEvent, scope Scope) { scopes = append(scopes, scope) })
	b.choose(t, b.short()) // local data centre
	b.choose(t, b.long())
	away := b.short()
	away.Excluded = func(e *directory.Endpoint) bool { return e.DataCentre == "dc1" }
	b.choose(t, away)
	if want := []Scope{LocalDataCentre, AllDataCentres, AllDataCentres}; !slices.Equal(scopes, want) {
		t.Errorf("published to %v, want %v", scopes, want)
	}
	if events := len(b.scheduler.OwnCrossDataCentreEvents()); events != 2 {
		t.Errorf("%d work items for other data centres, want 2", events)
	}
}

// The rate limit of a cold endpoint applies to all entries together. Only the entries
// of its own data centre see every arrival.
func TestColdEndpointsOfReportedDataCentresAreLeftToTheirEntries(t *testing.T) {
	b := newTestbed(1)
	b.inDataCentre("dc2", 0)
	b.endpoints[0].ColdUntil = monotonic.Now().Add(time.Minute)
	if p := b.scheduler.Choose(b.endpoints, b.short()); p == nil {
		t.Fatal("a cold endpoint whose arrivals are all known was not chosen")
	}
	b.scheduler.SetReportingDataCentres([]string{"dc2"})
	if p := b.scheduler.Choose(b.endpoints, b.short()); p != nil {
		t.Error("a cold endpoint was chosen though other entries' arrivals there are unknown")
	}
	b.scheduler.SetReportingDataCentres(nil)
	if p := b.scheduler.Choose(b.endpoints, b.short()); p == nil {
		t.Error("a cold endpoint was not chosen though all arrivals are known again")
	}
}

func TestReplaceRemoteDropsWorkThatHasEnded(t *testing.T) {
	b := newTestbed(1)
	open := func(work uint64) *wire.WorkEvent {
		return &wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_OPEN, Work: work, Endpoints: []uint64{b.endpoints[0].Key}, LimitMs: 10_000}
	}
	b.scheduler.ApplyRemote(1, []*wire.WorkEvent{open(1), open(2)})
	b.scheduler.ApplyRemote(2, []*wire.WorkEvent{open(1)})
	b.scheduler.ReplaceRemote(1, []*wire.WorkEvent{open(2), open(3)})
	if n := b.scheduler.Stats().Remote; n != 3 {
		t.Errorf("%d remote work items, want 2 and 3 of one entry and 1 of the other", n)
	}
}
