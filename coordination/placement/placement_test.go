package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"pgregory.net/rapid"
)

// testbed is a scheduler with endpoints and a virtual clock.
type testbed struct {
	scheduler *Scheduler
	now       time.Time
	service   *catalogue.Service
	endpoints []*directory.Endpoint
}

func newTestbed(endpoints int) *testbed {
	b := &testbed{now: time.Unix(1000, 0), service: &catalogue.Service{Name: "engine", ColdRequestsPerSecond: 4, Engine: &catalogue.Engine{
		Slots: 4, MemoryTokens: 400_000, StepsPerPass: 34, StepMs: 1.3, PrefillTokensPerMs: 150,
		AttentionMsPerMillionPairs: 0.16, ChunkTokens: 2048, MeanOutputTokens: 1000,
	}}}
	b.scheduler = NewScheduler(func() time.Time { return b.now })
	for i := range endpoints {
		id := fmt.Sprintf("e%d", i)
		b.endpoints = append(b.endpoints, &directory.Endpoint{
			ID: id, Service: "engine", DataCentre: "dc1", Slots: 4, HeardAt: monotonic.Now(), Key: directory.KeyOf(id, 1),
		})
	}
	return b
}

func (b *testbed) newReq(prompt int, objective, pause time.Duration) *Request {
	return &Request{
		Service: b.service, DataCentre: "dc1", PromptTokens: prompt, OutputTokens: 1000, ObjectiveLeft: objective,
		PauseObjective: pause, TimeLimit: 10 * time.Second, CallerTimeout: 8 * time.Second, Credit: float64(prompt) / 1000,
		Excluded: func(*directory.Endpoint) bool { return false },
	}
}

func (b *testbed) short() *Request { return b.newReq(3000, 300*time.Millisecond, 250*time.Millisecond) }

func (b *testbed) long() *Request { return b.newReq(180_000, 3*time.Second, time.Second) }

func (b *testbed) choose(t rapid.TB, req *Request) *Plan {
	t.Helper()
	p := b.scheduler.Choose(b.endpoints, req)
	if p == nil {
		t.Fatal("no plan")
	}
	return p
}

func TestAShortPromptAvoidsALongPrefill(t *testing.T) {
	b := newTestbed(2)
	req := b.long()
	req.Excluded = func(e *directory.Endpoint) bool { return e.ID == "e1" }
	b.choose(t, req) // on e0 alone
	for range 3 {
		if p := b.choose(t, b.short()); p.Endpoints[0].ID != "e1" {
			t.Errorf("chose %s, want e1", p.Endpoints[0].ID)
		}
	}
}

func TestShortPromptsArePackedOntoOneEndpoint(t *testing.T) {
	b := newTestbed(3)
	first := b.choose(t, b.short())
	second := b.choose(t, b.short())
	if first.Endpoints[0] != second.Endpoints[0] {
		t.Errorf("chose %s and %s, want the same endpoint", first.Endpoints[0].ID, second.Endpoints[0].ID)
	}
}

func TestALongPromptAvoidsEndpointsThatDecodeShortAnswers(t *testing.T) {
	b := newTestbed(6)
	busy := b.choose(t, b.short())
	busy.Handle.MarkStarted()
	for _, e := range b.choose(t, b.long()).Endpoints {
		if e == busy.Endpoints[0] {
			t.Errorf("%s decodes a short answer and was given a part of a long prompt", e.ID)
		}
	}
}

func TestALongPromptIsSplitWhenOneEndpointIsTooSlow(t *testing.T) {
	b := newTestbed(6)
	p := b.choose(t, b.long())
	if len(p.Endpoints) < 2 || p.PredictedFirstMs > 3000 {
		t.Errorf("%d endpoints, first event after %.0f ms", len(p.Endpoints), p.PredictedFirstMs)
	}
}

func TestAHelpersPartDelaysThePrefillThere(t *testing.T) {
	b := newTestbed(2)
	first := b.choose(t, b.long())
	before := first.Handle.work.predictedFirstAt
	b.scheduler.ApplyRemote(7, []*wire.WorkEvent{{
		Step: wire.WorkStep_WORK_STEP_OPEN, Work: 1, Endpoints: []uint64{99, first.Endpoints[0].Key},
		ReadUs: 500_000, PromptTokens: 50_000, LimitMs: 10_000,
	}})
	// The 25,000 tokens of the helper's part take 13 steps besides.
	if got, want := first.Handle.work.predictedFirstAt.Sub(before), 500*time.Millisecond+13*1300*time.Microsecond; got != want {
		t.Errorf("delayed by %v, want %v", got, want)
	}
}

// An answer may queue for a slot only where one is predicted to be free in time.
func TestAnswersBeyondTheSlots(t *testing.T) {
	b := newTestbed(2)
	for range 8 {
		b.choose(t, b.short()).Handle.MarkStarted()
	}
	if p := b.scheduler.Choose(b.endpoints, b.short()); p != nil {
		t.Errorf("a ninth answer was given to %s with its first event predicted after %.0f ms", p.Endpoints[0].ID, p.PredictedFirstMs)
	}
	patient := b.short()
	patient.ObjectiveLeft = 2 * time.Second
	for range 4 {
		p := b.choose(t, patient)
		if p.PredictedFirstMs < 300 {
			t.Errorf("no wait for a slot is predicted: %.0f ms", p.PredictedFirstMs)
		}
	}
	if p := b.scheduler.Choose(b.endpoints, patient); p != nil {
		t.Errorf("more than half of the slots queue at %s", p.Endpoints[0].ID)
	}
}

func TestALateRequestDoesNotGetTheLastSlots(t *testing.T) {
	b := newTestbed(1)
	for range 3 {
		b.choose(t, b.short()).Handle.MarkStarted()
	}
	overdue := b.short()
	overdue.ObjectiveLeft = 0
	if b.scheduler.Choose(b.endpoints, overdue) != nil {
		t.Error("a late request got the last slot")
	}
	b.choose(t, b.short())
}

func TestNothingIsSentThatStartsAfterTheCallerTimeout(t *testing.T) {
	b := newTestbed(1)
	req := b.long()
	req.CallerTimeout = time.Second
	if p := b.scheduler.Choose(b.endpoints, req); p != nil {
		t.Errorf("sent with its first event predicted after %.0f ms", p.PredictedFirstMs)
	}
}

func TestAColdEndpointGetsNoMoreThanItsRate(t *testing.T) {
	b := newTestbed(1)
	b.service.Engine.Slots, b.endpoints[0].Slots = 100, 100
	b.endpoints[0].ColdUntil = monotonic.Now().Add(time.Minute)
	sent := 0
	for range 10 {
		if p := b.scheduler.Choose(b.endpoints, b.short()); p != nil {
			sent++
			p.Handle.Close()
		}
		b.now = b.now.Add(50 * time.Millisecond)
	}
	if sent != 4 {
		t.Errorf("%d sent within a second, want 4", sent)
	}
	b.now = b.now.Add(time.Second)
	b.choose(t, b.short())
}

func TestPlainRequestsGoToTheLeastLoaded(t *testing.T) {
	b := newTestbed(3)
	b.service = &catalogue.Service{Name: "desk"}
	seen := make(map[string]int)
	for range 6 {
		seen[b.choose(t, b.short()).Endpoints[0].ID]++
	}
	for id, n := range seen {
		if n != 2 {
			t.Errorf("%s got %d of 6", id, n)
		}
	}
}

// A long prompt must not be prefilled where short answers lose more credit by it than
// it can earn.
func TestNoPlanCostsMoreCreditThanItEarns(t *testing.T) {
	b := newTestbed(2)
	for range 4 { // no more, as late answers don't get the last slots
		p := b.choose(t, b.short())
		p.Handle.MarkStarted()
		p.Handle.work.credit = 30
	}
	req := b.long()
	req.Credit = 60
	req.ObjectiveLeft = 500 * time.Millisecond // late in any case
	if p := b.scheduler.Choose(b.endpoints, req); p != nil {
		t.Errorf("a plan with a score of %.0f was taken", p.Score)
	}
	req.Credit = 600
	b.choose(t, req)
}

// Short prompts that share an endpoint must not queue there while another one is idle.
func TestTheLastSlotsAreLeftFreeWhileOthersHaveRoom(t *testing.T) {
	b := newTestbed(2)
	answers := make(map[string]int)
	for range 6 {
		p := b.choose(t, b.short())
		p.Handle.MarkStarted()
		answers[p.Endpoints[0].ID]++
	}
	for id, n := range answers {
		if n != 3 {
			t.Errorf("%s has %d answers, want 3 of 4 slots", id, n)
		}
	}
}

// Three of four endpoints are prefilling. A prompt that needs two or more endpoints to
// be on time has to wait until that many are done.
func TestTheWaitEndsWhenEnoughEndpointsAreFree(t *testing.T) {
	b := newTestbed(4)
	for i, ms := range []uint32{0, 1000, 2000, 3000} {
		b.scheduler.ApplyRemote(7, []*wire.WorkEvent{{
			Step: wire.WorkStep_WORK_STEP_OPEN, Work: uint64(i), Endpoints: []uint64{b.endpoints[i].Key},
			ReadUs: ms * 1000, PromptTokens: ms, LimitMs: 10_000, PredictedMs: ms,
		}})
	}
	const step = 1300 * time.Microsecond
	for _, c := range []struct {
		name string
		req  *Request
		want time.Duration
	}{
		{"short, one endpoint", b.short(), 0},
		{"120,000 tokens, 2 s of prefill, two endpoints", b.newReq(120_000, 3*time.Second, time.Second), time.Second + step},
		{"more than there are", b.newReq(900_000, 3*time.Second, time.Second), 3*time.Second + 2*step},
	} {
		c.req.Objective = c.req.ObjectiveLeft
		if got := b.scheduler.Capacity(b.endpoints, c.req).Wait; got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestAShortPromptIsSentAtOnce(t *testing.T) {
	b := newTestbed(2)
	if b.choose(t, b.short()).AwaitConflicts {
		t.Error("a short prompt waits for concurrent choices")
	}
}

// The endpoint that short prompts share is busy with a long prefill. A short prompt
// that is late in any case must be sent where it begins soonest instead of being
// refused.
func TestALateShortPromptGoesWhereItBeginsSoonest(t *testing.T) {
	b := newTestbed(3)
	b.service.Engine.Slots = 16
	for _, e := range b.endpoints {
		e.Slots = 16
	}
	shared := b.choose(t, b.short())
	shared.Handle.MarkStarted()
	shared.Handle.MarkLate()
	for range 7 {
		b.choose(t, b.short())
	}
	long := b.long()
	long.Excluded = func(e *directory.Endpoint) bool { return e != shared.Endpoints[0] }
	b.choose(t, long)
	late := b.short()
	late.ObjectiveLeft, late.CallerTimeout = -100*time.Millisecond, 1500*time.Millisecond
	if p := b.choose(t, late); p.Endpoints[0] == shared.Endpoints[0] || p.PredictedFirstMs > 300 {
		t.Errorf("sent to %s, first event predicted after %.0f ms", p.Endpoints[0].ID, p.PredictedFirstMs)
	}
}
