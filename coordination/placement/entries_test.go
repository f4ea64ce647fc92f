package placement

import (
	"math"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"pgregory.net/rapid"
)

// Two books that tell each other everything hold the same work.
func TestBooksThatExchangeNewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, other := newBed(3), newBed(3)
		a.book.OnWorkEvent(func(e *wire.WorkEvent, _ Scope) { other.book.ApplyRemote(1, []*wire.WorkEvent{e}) })
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
					open[i].MarkStarted()
				case "late":
					open[i].MarkLate()
				case "close":
					open[i].Close()
				}
			}
		}
		if x, y := len(a.book.works), len(other.book.works); x != y {
			t.Fatalf("%d pieces of work here, %d there", x, y)
		}
		for id, w := range a.book.works {
			copied := other.book.works[enginemodel.WorkID{Sender: 1, Number: id.Number}]
			if copied == nil || copied.started != w.started || copied.late != w.late || copied.prompt != w.prompt {
				t.Fatalf("%+v is %+v there", w, copied)
			}
		}
		for _, h := range open {
			h.Close()
		}
		other.book.RemoveRemote(1)
		for _, book := range []*Scheduler{a.book, other.book} {
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

// TestOneOfTwoChoicesThatCrossedStands lets two entries choose before either has
// the other's news.
func TestOneOfTwoChoicesThatCrossedStands(t *testing.T) {
	here, there := newBed(4), newBed(4)
	var fromHere, fromThere []*wire.WorkEvent
	here.book.OnWorkEvent(func(e *wire.WorkEvent, _ Scope) { fromHere = append(fromHere, e) })
	there.book.OnWorkEvent(func(e *wire.WorkEvent, _ Scope) { fromThere = append(fromThere, e) })
	larger := here.long()
	larger.Credit++
	stays, yields := here.choose(t, larger), there.choose(t, there.long())
	if !stays.AwaitConflicts || !yields.AwaitConflicts {
		t.Fatal("a plan with much reading does not wait for the others' news")
	}
	here.book.ApplyRemote(2, fromThere)
	there.book.ApplyRemote(1, fromHere)
	if stays.Handle.EndConflictWindow() {
		t.Error("the one with more credit yields")
	}
	if !yields.Handle.EndConflictWindow() {
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

// A book that is told of work later than others, as its entry was started anew,
// predicts the same as they do, also before it has chosen any endpoint.
func TestABookThatBeginsLaterAgrees(t *testing.T) {
	first := newBed(3)
	for range 3 {
		d := first.demand(90_000, 10*time.Second, time.Second)
		d.CallerTimeout = time.Minute
		first.choose(t, d)
		first.at = first.at.Add(100 * time.Millisecond)
	}
	later := newBed(3)
	later.at = first.at
	later.book.SetEngineLookup(func(uint64) *catalogue.Engine { return later.service.Engine })
	later.book.ApplyRemote(1, first.book.OwnEvents())
	for range 3 {
		first.at = first.at.Add(200 * time.Millisecond)
		later.at = first.at
		later.book.ApplyRemote(1, nil)
		for _, e := range first.endpoints {
			x := first.book.load(e.Key, first.service.Engine, first.at).forecast.PrefillDoneMs
			y := later.book.load(e.Key, later.service.Engine, later.at).forecast.PrefillDoneMs
			if math.Abs(x-y) > 0.02*x {
				t.Errorf("%s is done in %.0f ms, by the book that began later in %.0f", e.ID, x, y)
			}
		}
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
		b.book = NewScheduler(func() time.Time { return b.at })
		b.book.SetTieBreakSeed(uint64(entry + 1))
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
