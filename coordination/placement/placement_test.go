package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/passes"
	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"pgregory.net/rapid"
)

// bed is a book with endpoints and a clock of its own.
type bed struct {
	book      *Book
	at        time.Time
	service   *catalogue.Service
	endpoints []*directory.Endpoint
}

func newBed(endpoints int) *bed {
	b := &bed{at: time.Unix(1000, 0), service: &catalogue.Service{Name: "engine", ColdPerSecond: 4, Engine: &catalogue.Engine{
		Slots: 4, MemoryTokens: 400_000, StepsPerPass: 34, StepMs: 1.3, ReadTokensPerMs: 150,
		PairsMsPerMillion: 0.16, ChunkTokens: 2048, UsualAnswer: 1000,
	}}}
	b.book = NewBook(func() time.Time { return b.at })
	for i := range endpoints {
		id := fmt.Sprintf("e%d", i)
		b.endpoints = append(b.endpoints, &directory.Endpoint{
			ID: id, Service: "engine", DataCentre: "dc1", Slots: 4, HeardAt: steady.Now(), Key: directory.KeyOf(id, 1),
		})
	}
	return b
}

func (b *bed) demand(prompt int, objective, pause time.Duration) *Demand {
	return &Demand{
		Service: b.service, DataCentre: "dc1", PromptTokens: prompt, OutputTokens: 1000, FirstLeft: objective,
		Pause: pause, Limit: 10 * time.Second, Patience: 8 * time.Second, Credit: float64(prompt) / 1000,
		Excluded: func(*directory.Endpoint) bool { return false },
	}
}

func (b *bed) short() *Demand { return b.demand(3000, 300*time.Millisecond, 250*time.Millisecond) }

func (b *bed) long() *Demand { return b.demand(180_000, 3*time.Second, time.Second) }

func (b *bed) choose(t rapid.TB, d *Demand) *Plan {
	t.Helper()
	p := b.book.Choose(b.endpoints, d)
	if p == nil {
		t.Fatal("no plan")
	}
	return p
}

func TestAShortPromptKeepsOffALongReading(t *testing.T) {
	b := newBed(2)
	d := b.long()
	d.Excluded = func(e *directory.Endpoint) bool { return e.ID == "e1" }
	b.choose(t, d) // on e0 alone
	for range 3 {
		if p := b.choose(t, b.short()); p.Endpoints[0].ID != "e1" {
			t.Errorf("chose %s", p.Endpoints[0].ID)
		}
	}
}

func TestShortPromptsShareAnEndpointSoThatOthersStayFree(t *testing.T) {
	b := newBed(3)
	first := b.choose(t, b.short())
	second := b.choose(t, b.short())
	if first.Endpoints[0] != second.Endpoints[0] {
		t.Errorf("%s and %s", first.Endpoints[0].ID, second.Endpoints[0].ID)
	}
}

func TestALongPromptKeepsOffThoseThatWriteShortAnswers(t *testing.T) {
	b := newBed(6)
	busy := b.choose(t, b.short())
	busy.Handle.Started()
	for _, e := range b.choose(t, b.long()).Endpoints {
		if e == busy.Endpoints[0] {
			t.Errorf("%s writes a short answer and was given a part of a long prompt", e.ID)
		}
	}
}

func TestALongPromptIsSpreadWhenOneEndpointIsTooSlow(t *testing.T) {
	b := newBed(6)
	p := b.choose(t, b.long())
	if len(p.Endpoints) < 2 || p.PredictedFirstMs > 3000 {
		t.Errorf("%d endpoints, first event after %.0f ms", len(p.Endpoints), p.PredictedFirstMs)
	}
}

func TestAHelpersPartDelaysTheReadingThere(t *testing.T) {
	b := newBed(2)
	first := b.choose(t, b.long())
	before := first.Handle.work.firstAt
	b.book.ApplyRemote(7, []*wire.WorkEvent{{
		Step: wire.WorkStep_WORK_STEP_OPEN, Work: 1, Endpoints: []uint64{99, first.Endpoints[0].Key},
		ReadUs: 500_000, PromptTokens: 50_000, LimitMs: 10_000,
	}})
	// Its 25,000 tokens take 13 steps besides.
	if got, want := first.Handle.work.firstAt.Sub(before), 500*time.Millisecond+13*1300*time.Microsecond; got != want {
		t.Errorf("delayed by %v, want %v", got, want)
	}
}

// An answer queues for a slot only where one is predicted to come free in time.
func TestAnswersBeyondTheSlots(t *testing.T) {
	b := newBed(2)
	for range 8 {
		b.choose(t, b.short()).Handle.Started()
	}
	if p := b.book.Choose(b.endpoints, b.short()); p != nil {
		t.Errorf("a ninth answer was given to %s though a slot takes %.0f ms", p.Endpoints[0].ID, p.PredictedFirstMs)
	}
	patient := b.short()
	patient.FirstLeft = 2 * time.Second
	for range 4 {
		p := b.choose(t, patient)
		if p.PredictedFirstMs < 300 {
			t.Errorf("no wait for a slot is predicted: %.0f ms", p.PredictedFirstMs)
		}
	}
	if p := b.book.Choose(b.endpoints, patient); p != nil {
		t.Errorf("more than half of the slots queue at %s", p.Endpoints[0].ID)
	}
}

func TestARequestThatIsLateDoesNotGetTheLastSlots(t *testing.T) {
	b := newBed(1)
	for range 3 {
		b.choose(t, b.short()).Handle.Started()
	}
	overdue := b.short()
	overdue.FirstLeft = 0
	if b.book.Choose(b.endpoints, overdue) != nil {
		t.Error("a late request got the last slot")
	}
	b.choose(t, b.short())
}

func TestNothingIsSentThatStartsAfterTheCallerHasLeft(t *testing.T) {
	b := newBed(1)
	d := b.long()
	d.Patience = time.Second
	if p := b.book.Choose(b.endpoints, d); p != nil {
		t.Errorf("sent with its first event predicted after %.0f ms", p.PredictedFirstMs)
	}
}

func TestAColdEndpointGetsNoMoreThanItsRate(t *testing.T) {
	b := newBed(1)
	b.service.Engine.Slots, b.endpoints[0].Slots = 100, 100
	b.endpoints[0].ColdUntil = steady.Now().Add(time.Minute)
	sent := 0
	for range 10 {
		if p := b.book.Choose(b.endpoints, b.short()); p != nil {
			sent++
			p.Handle.Close()
		}
		b.at = b.at.Add(50 * time.Millisecond)
	}
	if sent != 4 {
		t.Errorf("%d sent within a second, want 4", sent)
	}
	b.at = b.at.Add(time.Second)
	b.choose(t, b.short())
}

func TestAnEndpointThatFailedRestsLongerEachTime(t *testing.T) {
	b := newBed(2)
	key := b.endpoints[0].Key
	b.endpoints[1].DataCentre = "dc2" // only taken when the other one rests
	for _, rest := range []time.Duration{doubtFirst, 2 * doubtFirst, 4 * doubtFirst} {
		b.book.Failed(key)
		b.at = b.at.Add(rest - time.Millisecond)
		p := b.choose(t, b.short())
		p.Handle.Close()
		if p.Endpoints[0].Key == key {
			t.Errorf("asked within its rest of %v", rest)
		}
		b.at = b.at.Add(2 * time.Millisecond)
		p = b.choose(t, b.short())
		p.Handle.Close()
		if p.Endpoints[0].Key != key {
			t.Errorf("not asked after its rest of %v", rest)
		}
	}
	b.book.Succeeded(key)
	b.book.Failed(key)
	b.at = b.at.Add(doubtFirst + time.Millisecond)
	if p := b.choose(t, b.short()); p.Endpoints[0].Key != key {
		t.Error("a success did not end the doubt")
	}
}

func TestPlainRequestsGoToTheLeastLoaded(t *testing.T) {
	b := newBed(3)
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

// Two books that tell each other everything hold the same work.
func TestBooksThatExchangeNewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, other := newBed(3), newBed(3)
		a.book.OnNews(func(e *wire.WorkEvent, _ Audience) { other.book.ApplyRemote(1, []*wire.WorkEvent{e}) })
		var open []*Handle
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			step := rapid.SampledFrom([]string{"open", "start", "late", "close", "time"}).Draw(t, "step")
			switch {
			case step == "open":
				if p := a.book.Choose(a.endpoints, a.demand(rapid.IntRange(500, 200_000).Draw(t, "prompt"), 2*time.Second, time.Second)); p != nil {
					open = append(open, p.Handle)
				}
			case step == "time":
				a.at, other.at = a.at.Add(100*time.Millisecond), other.at.Add(100*time.Millisecond)
			case len(open) > 0:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				switch step {
				case "start":
					open[i].Started()
				case "late":
					open[i].Late()
				case "close":
					open[i].Close()
				}
			}
		}
		if x, y := len(a.book.works), len(other.book.works); x != y {
			t.Fatalf("%d pieces of work here, %d there", x, y)
		}
		for id, w := range a.book.works {
			copied := other.book.works[passes.WorkID{Sender: 1, Number: id.Number}]
			if copied == nil || copied.started != w.started || copied.late != w.late || copied.prompt != w.prompt {
				t.Fatalf("%+v is %+v there", w, copied)
			}
		}
		for _, h := range open {
			h.Close()
		}
		other.book.Forget(1)
		for _, book := range []*Book{a.book, other.book} {
			for key, account := range book.accounts {
				if len(account.works) != 0 || len(book.works) != 0 {
					t.Fatalf("%d pieces of work are left at %d", len(account.works), key)
				}
			}
		}
	})
}

func TestWorkOfAnEntryThatNeverToldItsEndExpires(t *testing.T) {
	b := newBed(1)
	b.book.ApplyRemote(1, []*wire.WorkEvent{{Step: wire.WorkStep_WORK_STEP_OPEN, Work: 1, Endpoints: []uint64{5}, LimitMs: 1000}})
	b.at = b.at.Add(2 * time.Second)
	b.book.Expire()
	if len(b.book.works) != 0 {
		t.Error("the work is still held")
	}
}

// A long prompt is not read where the short answers lose more by it than it can
// earn.
func TestNoPlanTakesMoreThanItGives(t *testing.T) {
	b := newBed(2)
	for range 4 { // no more, as late answers don't get the last slots
		p := b.choose(t, b.short())
		p.Handle.Started()
		p.Handle.work.credit = 30
	}
	d := b.long()
	d.Credit = 60
	d.FirstLeft = 500 * time.Millisecond // it would be late in any case
	if p := b.book.Choose(b.endpoints, d); p != nil {
		t.Errorf("a plan with a score of %.0f was taken", p.Score)
	}
	d.Credit = 600
	b.choose(t, d)
}

// TestTheLastSlotsAreLeftFreeWhileOthersHaveRoom keeps short prompts from
// queueing at an endpoint that they share while another one is idle.
func TestTheLastSlotsAreLeftFreeWhileOthersHaveRoom(t *testing.T) {
	b := newBed(2)
	answers := make(map[string]int)
	for range 6 {
		p := b.choose(t, b.short())
		p.Handle.Started()
		answers[p.Endpoints[0].ID]++
	}
	for id, n := range answers {
		if n != 3 {
			t.Errorf("%s has %d answers, want 3 of 4 slots", id, n)
		}
	}
}

// TestTheRetryTimeIsWhenEnoughEndpointsAreDone looks at four endpoints, of which
// three read, at a prompt that needs two or more to be in time.
func TestTheRetryTimeIsWhenEnoughEndpointsAreDone(t *testing.T) {
	b := newBed(4)
	for i, ms := range []uint32{0, 1000, 2000, 3000} {
		b.book.ApplyRemote(7, []*wire.WorkEvent{{
			Step: wire.WorkStep_WORK_STEP_OPEN, Work: uint64(i), Endpoints: []uint64{b.endpoints[i].Key},
			ReadUs: ms * 1000, PromptTokens: ms, LimitMs: 10_000, PredictedMs: ms,
		}})
	}
	const step = 1300 * time.Microsecond
	for _, c := range []struct {
		name   string
		demand *Demand
		want   time.Duration
	}{
		{"short, one endpoint", b.short(), 0},
		{"120,000 tokens, 2 s of reading, two endpoints", b.demand(120_000, 3*time.Second, time.Second), time.Second + step},
		{"more than there are", b.demand(900_000, 3*time.Second, time.Second), 3*time.Second + 2*step},
	} {
		c.demand.Objective = c.demand.FirstLeft
		if got := b.book.Room(b.endpoints, c.demand).Wait; got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestOneOfTwoChoicesThatCrossedStands lets two entries choose before either has
// the other's news.
func TestOneOfTwoChoicesThatCrossedStands(t *testing.T) {
	here, there := newBed(4), newBed(4)
	var fromHere, fromThere []*wire.WorkEvent
	here.book.OnNews(func(e *wire.WorkEvent, _ Audience) { fromHere = append(fromHere, e) })
	there.book.OnNews(func(e *wire.WorkEvent, _ Audience) { fromThere = append(fromThere, e) })
	larger := here.long()
	larger.Credit++
	stays, yields := here.choose(t, larger), there.choose(t, there.long())
	if !stays.Settle || !yields.Settle {
		t.Fatal("a plan with much reading does not wait for the others' news")
	}
	here.book.ApplyRemote(2, fromThere)
	there.book.ApplyRemote(1, fromHere)
	if stays.Handle.Settle() {
		t.Error("the one with more credit yields")
	}
	if !yields.Handle.Settle() {
		t.Error("the one with less credit stays")
	}
	yields.Handle.Close()
	if again := there.choose(t, there.long()); again.Endpoints[0].Key == stays.Endpoints[0].Key {
		t.Error("it is made anew at the same endpoint")
	}
	if n := len(here.book.settling); n != 0 {
		t.Errorf("%d choices still wait for news", n)
	}
}

func TestAShortPromptIsSentAtOnce(t *testing.T) {
	b := newBed(2)
	if b.choose(t, b.short()).Settle {
		t.Error("a short prompt waits for others' news")
	}
}

func TestALongPromptKeepsOffEndpointsThatHaveNotAnsweredSinceTheyFailed(t *testing.T) {
	b := newBed(4)
	uses := func(p *Plan, e *directory.Endpoint) bool { return slices.Contains(p.Endpoints, e) }
	dead := b.endpoints[2]
	b.book.ApplyRemote(7, []*wire.WorkEvent{{Step: wire.WorkStep_WORK_STEP_UNREACHABLE, Endpoints: []uint64{dead.Key}}})
	b.at = b.at.Add(doubtFirst + time.Millisecond)
	p := b.choose(t, b.long())
	if len(p.Endpoints) != 3 || uses(p, dead) {
		t.Errorf("the plan has %d endpoints, the dead one: %v", len(p.Endpoints), uses(p, dead))
	}
	p.Handle.Close()
	b.book.ApplyRemote(7, []*wire.WorkEvent{
		{Step: wire.WorkStep_WORK_STEP_OPEN, Work: 1, Endpoints: []uint64{dead.Key}},
		{Step: wire.WorkStep_WORK_STEP_STARTED, Work: 1},
		{Step: wire.WorkStep_WORK_STEP_CLOSED, Work: 1},
	})
	if p := b.choose(t, b.long()); !uses(p, dead) {
		t.Error("an endpoint that answers another entry is still left out")
	}
}

func TestWhenMostEndpointsFailedAllStay(t *testing.T) {
	b := newBed(4)
	for _, e := range b.endpoints[:2] {
		b.book.Failed(e.Key)
	}
	b.at = b.at.Add(doubtFirst + time.Millisecond)
	if p := b.choose(t, b.long()); len(p.Endpoints) != 4 {
		t.Errorf("the plan has %d endpoints", len(p.Endpoints))
	}
}

// A book that is told of work later than others, as its entry was started anew,
// predicts the same as they do, also before it has chosen any endpoint.
func TestABookThatBeginsLaterAgrees(t *testing.T) {
	first := newBed(3)
	for range 3 {
		d := first.demand(90_000, 10*time.Second, time.Second)
		d.Patience = time.Minute
		first.choose(t, d)
		first.at = first.at.Add(100 * time.Millisecond)
	}
	later := newBed(3)
	later.at = first.at
	later.book.KnowEngines(func(uint64) *catalogue.Engine { return later.service.Engine })
	later.book.ApplyRemote(1, first.book.Own())
	for range 3 {
		first.at = first.at.Add(200 * time.Millisecond)
		later.at = first.at
		later.book.ApplyRemote(1, nil)
		for _, e := range first.endpoints {
			x := first.book.load(e.Key, first.service.Engine, first.at).forecast.DoneMs
			y := later.book.load(e.Key, later.service.Engine, later.at).forecast.DoneMs
			if math.Abs(x-y) > 0.02*x {
				t.Errorf("%s is done in %.0f ms, by the book that began later in %.0f", e.ID, x, y)
			}
		}
	}
}

// One that is late in any case goes where it begins soonest, though another
// endpoint is the one to share.
func TestALateShortPromptIsNotRefusedForTheEndpointThatIsShared(t *testing.T) {
	b := newBed(3)
	b.service.Engine.Slots = 16
	for _, e := range b.endpoints {
		e.Slots = 16
	}
	shared := b.choose(t, b.short())
	shared.Handle.Started()
	shared.Handle.Late()
	for range 7 {
		b.choose(t, b.short())
	}
	long := b.long()
	long.Excluded = func(e *directory.Endpoint) bool { return e != shared.Endpoints[0] }
	b.choose(t, long)
	late := b.short()
	late.FirstLeft, late.Patience = -100*time.Millisecond, 1500*time.Millisecond
	if p := b.choose(t, late); p.Endpoints[0] == shared.Endpoints[0] || p.PredictedFirstMs > 300 {
		t.Errorf("sent to %s, to begin after %.0f ms", p.Endpoints[0].ID, p.PredictedFirstMs)
	}
}

// Entries that were all started anew choose at one moment, before they hear of
// each other. None of their choices may fill an endpoint while others are idle.
func TestEntriesThatChooseAtOneMomentSpread(t *testing.T) {
	const entries, each = 9, 6
	b := newBed(27)
	for _, e := range b.endpoints {
		e.Slots = 16
	}
	b.service.Engine.Slots = 16
	answers := make(map[string]int)
	for entry := range entries {
		b.book = NewBook(func() time.Time { return b.at })
		b.book.SetOrder(uint64(entry + 1))
		for range each {
			answers[b.choose(t, b.short()).Endpoints[0].ID]++
		}
	}
	for id, n := range answers {
		if n > 16 {
			t.Errorf("%s was given %d answers for 16 slots, %d of 27 endpoints none", id, n, 27-len(answers))
		}
	}
}

// Nothing goes to an endpoint that says it leaves or wants no request for a time,
// not even when it is the only one; another incarnation is used.
func TestAnEndpointsOwnWordHolds(t *testing.T) {
	b := newBed(1)
	only := b.endpoints[0]
	b.book.Busy(only.Key, time.Second)
	if p := b.book.Choose(b.endpoints, b.short()); p != nil {
		t.Error("a busy endpoint was chosen")
	}
	b.at = b.at.Add(time.Second)
	b.choose(t, b.short()).Handle.Close()
	if !b.book.Leaving(only.Key) || b.book.Leaving(only.Key) {
		t.Error("that it leaves is news once")
	}
	b.at = b.at.Add(time.Hour)
	if p := b.book.Choose(b.endpoints, b.short()); p != nil {
		t.Error("an endpoint that leaves was chosen")
	}
	only.Key = directory.KeyOf(only.ID, 2)
	b.choose(t, b.short())
}
