package serve

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/explanation"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// question describes a request of route "again".
func question() Question { return Question{Host: "h:80", Path: "/again/x", Organisation: "boots"} }

func (b *testbed) explain(t *testing.T, q Question) *explanation.Answer {
	t.Helper()
	a, err := b.server.Explain(q)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against an explanation of another endpoint than the one that is sent the request,
// and against one that takes of what the request needs.
func TestTheRequestGoesWhereItIsExplained(t *testing.T) {
	b := newTestbed(t, good("x"))
	a := b.explain(t, question())
	if a.CatalogueVersion != 1 || !a.StateCurrent || a.StateAgeMs == nil || a.Route != "again" || a.Service != "s" || a.Refusal != nil || a.Queue != nil {
		t.Errorf("explained as %+v", a)
	}
	if a.Plan == nil || len(a.Plan.AboutEqual) != 3 || len(a.Endpoints) != 3 || a.Endpoints[0].Endpoint != a.Plan.Main {
		t.Fatalf("the plan is %+v, the endpoints %+v", a.Plan, a.Endpoints)
	}
	if stats := b.scheduler.Stats(); stats.Own != 0 || len(b.server.budget.remaining()) > 0 || len(b.sentAttempts()) > 0 || b.permitCalls > 0 {
		t.Errorf("an explanation had effects: %+v", stats)
	}
	b.serve(context.Background(), "again")
	if sent := b.sentAttempts()[0].Endpoint.ID; sent != a.Plan.Main {
		t.Errorf("sent to %s, explained as %s", sent, a.Plan.Main)
	}
}

func TestQuestionsThatCannotBeAnswered(t *testing.T) {
	b := newTestbed(t)
	for name, c := range map[string]struct {
		change func(*Question)
		want   fault.Kind
		names  string
	}{
		"no route":             {func(q *Question) { q.Path = "/nowhere" }, fault.NotFound, "no route matches"},
		"unknown organisation": {func(q *Question) { q.Organisation = "shoes" }, fault.NotFound, `"shoes"`},
		"no organisation":      {func(q *Question) { q.Organisation = "" }, fault.InvalidRequest, "name the organisation"},
		"negative prompt":      {func(q *Question) { q.PromptTokens = -1 }, fault.InvalidRequest, "from 0 to"},
		"no prompt":            {func(q *Question) { q.Path = "/long/x" }, fault.InvalidRequest, "from 1 to"},
		"prompt too long":      {func(q *Question) { q.PromptTokens = maxExplainedTokens + 1 }, fault.InvalidRequest, "from 0 to"},
		"negative output":      {func(q *Question) { q.OutputTokens = -1 }, fault.InvalidRequest, "output tokens"},
	} {
		q := question()
		c.change(&q)
		_, err := b.server.Explain(q)
		if fault.KindOf(err) != c.want || !strings.Contains(err.Error(), c.names) || !strings.Contains(err.Error(), c.want.Remedy()) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a reason that doesn't tell a data centre out of service from an endpoint
// that drains.
func TestExcludedEndpointsAreExplained(t *testing.T) {
	b := newTestbed(t)
	e := b.directory.Endpoints("s")
	b.directory.MarkDraining(e[0])
	b.directory.Announce(&wire.EndpointRecord{Id: "far", BornMs: 1, Sequence: 1, Service: "s", DataCentre: "dc9", Slots: 4, Address: "10.0.0.9:80"})
	state := b.stateCache.State()
	b.stateCache.Update(&catalogue.State{Index: 2, Catalogue: state.Catalogue, DataCentresOut: []string{"dc9"}}, "test")
	reasons := make(map[string]string)
	for _, row := range b.explain(t, question()).Endpoints {
		reasons[row.Endpoint] = row.Reason
	}
	if reasons["e0"] != "draining" || reasons["far"] != "out of service" || reasons["e1"] != "" {
		t.Errorf("the reasons are %v", reasons)
	}
}

// Guards against a refusal that isn't the one that the caller gets.
func TestRefusalsAreExplained(t *testing.T) {
	b := newTestbed(t)
	for _, e := range b.directory.Endpoints("s") {
		b.scheduler.RecordBusy(e.Key, time.Minute)
	}
	explained, answer := b.explain(t, question()).Refusal, b.serve(context.Background(), "again")
	if explained == nil || answer.fault == nil || explained.Kind != answer.fault.Kind || explained.Message != answer.fault.Message {
		t.Fatalf("explained as %+v, refused with %v", explained, answer.fault)
	}
	if explained.RetryAfterMs < minRetryAfter.Milliseconds()-50 || explained.AfterMs > 100/capacityWaitDivisor {
		t.Errorf("explained as %+v", explained)
	}
	b.setMaxStateAge(time.Nanosecond)
	if a := b.explain(t, question()); a.StateCurrent || a.Refusal.Kind != fault.NotCurrent || a.Refusal.RetryAfterMs != staleRetryAfter.Milliseconds() {
		t.Errorf("without a current state: %+v, %+v", a, a.Refusal)
	}
	b.setMaxStateAge(0)
	b.server.StopAt(time.Now())
	if x := b.explain(t, question()).Refusal; x == nil || x.AfterMs != 0 || !strings.Contains(x.Message, "stops") {
		t.Errorf("while the entry stops: %+v", x)
	}
}

// Guards against an explanation of a request as placed that would wait behind others.
func TestThePlaceInTheQueueIsExplained(t *testing.T) {
	b := newQueueBed(t, queueEngine)
	q := Question{Host: "h", Path: "/r1/x", PromptTokens: 100, Organisation: "o1"}
	if a := b.explain(t, q); a.Queue == nil || a.Queue.Waits || a.Queue.Place != 1 || a.Plan == nil || a.RoutePriority != 1 {
		t.Errorf("explained as %+v, %+v", a, a.Queue)
	}
	if b.server.queues.existing("engine") != nil {
		t.Error("an explanation has made a queue")
	}
	for _, e := range b.directory.Endpoints("engine") {
		b.scheduler.RecordBusy(e.Key, time.Minute)
	}
	waiting, err := b.server.explainedRun(b.stateCache.State().Catalogue, Question{Host: "h", Path: "/r0/x", PromptTokens: 100, Organisation: "o1"})
	if err != nil {
		t.Fatal(err)
	}
	waiting.tried = map[uint64]bool{directory.KeyOf("none", 1): true}
	turn := waiting.joinQueue(context.Background(), time.Now().Add(time.Minute))
	defer turn.leave()
	if a := b.explain(t, q); !a.Queue.Waits || a.Queue.Place != 2 || a.Queue.Waiting != 1 || a.Refusal == nil {
		t.Errorf("explained as %+v, %+v", a.Queue, a.Refusal)
	}
}

// Guards against an answer that grows with the service without a bound.
func TestTheAnswerIsBounded(t *testing.T) {
	b := newTestbed(t)
	for i := range explanation.MaxEndpoints {
		b.directory.Announce(&wire.EndpointRecord{Id: fmt.Sprint("more", i), BornMs: 1, Sequence: 1, Service: "s", DataCentre: "dc1", Slots: 4, Address: fmt.Sprintf("10.2.%d.%d:80", i/200, i%200)})
	}
	a := b.explain(t, question())
	if len(a.Endpoints) != explanation.MaxEndpoints || a.EndpointsOmitted != 3 || len(a.Plan.AboutEqual) != explanation.MaxEndpoints {
		t.Errorf("%d endpoints, %d omitted, %d about equal", len(a.Endpoints), a.EndpointsOmitted, len(a.Plan.AboutEqual))
	}
}
