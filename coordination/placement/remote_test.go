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

// Two schedulers that exchange all events must hold the same work.
func TestSchedulersThatExchangeEventsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local, remote := newTestbed(3), newTestbed(3)
		local.scheduler.OnWorkEvent(func(e *wire.WorkEvent, _ Scope) { remote.scheduler.ApplyRemote(1, []*wire.WorkEvent{e}) })
		var open []*Handle
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			step := rapid.SampledFrom([]string{"open", "start", "late", "close", "time"}).Draw(t, "step")
			switch {
			case step == "open":
				if p := local.scheduler.Choose(local.endpoints, local.newReq(rapid.IntRange(500, 200_000).Draw(t, "prompt"), 2*time.Second, time.Second)); p != nil {
					open = append(open, p.Handle)
				}
			case step == "time":
				local.now, remote.now = local.now.Add(100*time.Millisecond), remote.now.Add(100*time.Millisecond)
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
		if x, y := len(local.scheduler.inFlight), len(remote.scheduler.inFlight); x != y {
			t.Fatalf("%d work items here, %d at the other scheduler", x, y)
		}
		for id, w := range local.scheduler.inFlight {
			mirrored := remote.scheduler.inFlight[enginemodel.WorkID{Sender: 1, Number: id.Number}]
			if mirrored == nil || mirrored.started != w.started || mirrored.late != w.late || mirrored.promptTokens != w.promptTokens {
				t.Fatalf("%+v is %+v at the other scheduler", w, mirrored)
			}
		}
		for _, h := range open {
			h.Close()
		}
		remote.scheduler.RemoveRemote(1)
		for _, scheduler := range []*Scheduler{local.scheduler, remote.scheduler} {
			for key, state := range scheduler.states {
				if len(state.inFlight) != 0 || len(scheduler.inFlight) != 0 {
					t.Fatalf("%d work items are left at %d", len(state.inFlight), key)
				}
			}
		}
	})
}

func TestWorkOfAnEntryThatNeverReportsItsEndExpires(t *testing.T) {
	b := newTestbed(1)
	b.scheduler.ApplyRemote(1, []*wire.WorkEvent{{Step: wire.WorkStep_WORK_STEP_OPEN, Work: 1, Endpoints: []uint64{5}, LimitMs: 1000}})
	b.now = b.now.Add(2 * time.Second)
	b.scheduler.Expire()
	if len(b.scheduler.inFlight) != 0 {
		t.Error("the work has not expired")
	}
}

// Two entries choose before either has received the other's event. Exactly one of the
// choices must be kept.
func TestOneOfTwoConcurrentChoicesIsKept(t *testing.T) {
	here, there := newTestbed(4), newTestbed(4)
	var fromHere, fromThere []*wire.WorkEvent
	here.scheduler.OnWorkEvent(func(e *wire.WorkEvent, _ Scope) { fromHere = append(fromHere, e) })
	there.scheduler.OnWorkEvent(func(e *wire.WorkEvent, _ Scope) { fromThere = append(fromThere, e) })
	larger := here.long()
	larger.Credit++
	winner, loser := here.choose(t, larger), there.choose(t, there.long())
	if !winner.AwaitConflicts || !loser.AwaitConflicts {
		t.Fatal("a plan for a long prompt does not wait for concurrent choices")
	}
	here.scheduler.ApplyRemote(2, fromThere)
	there.scheduler.ApplyRemote(1, fromHere)
	if winner.Handle.EndConflictWindow() {
		t.Error("the choice with more credit lost the conflict")
	}
	if !loser.Handle.EndConflictWindow() {
		t.Error("the choice with less credit was kept")
	}
	loser.Handle.Close()
	if again := there.choose(t, there.long()); again.Endpoints[0].Key == winner.Endpoints[0].Key {
		t.Error("the retry chose the same endpoint")
	}
	if n := len(here.scheduler.awaitingConflicts); n != 0 {
		t.Errorf("%d choices still wait for conflicts", n)
	}
}

// A scheduler that receives other entries' work later, as its entry was restarted,
// must predict the same as the others, even before it has chosen any endpoint itself.
func TestASchedulerThatStartsLaterAgrees(t *testing.T) {
	first := newTestbed(3)
	for range 3 {
		req := first.newReq(90_000, 10*time.Second, time.Second)
		req.CallerTimeout = time.Minute
		first.choose(t, req)
		first.now = first.now.Add(100 * time.Millisecond)
	}
	later := newTestbed(3)
	later.now = first.now
	later.scheduler.SetEngineLookup(func(uint64) *catalogue.Engine { return later.service.Engine })
	later.scheduler.ApplyRemote(1, first.scheduler.OwnEvents())
	for range 3 {
		first.now = first.now.Add(200 * time.Millisecond)
		later.now = first.now
		later.scheduler.ApplyRemote(1, nil)
		for _, e := range first.endpoints {
			x := first.scheduler.newCandidate(e.Key, first.service.Engine, first.now).forecast.PrefillDoneMs
			y := later.scheduler.newCandidate(e.Key, later.service.Engine, later.now).forecast.PrefillDoneMs
			if math.Abs(x-y) > 0.02*x {
				t.Errorf("the prefill of %s is done in %.0f ms, by the scheduler that started later in %.0f", e.ID, x, y)
			}
		}
	}
}

// After a restart of all entries, they choose at the same moment, before they receive
// each other's events. Their choices together must not overfill an endpoint while
// others are idle.
func TestEntriesThatChooseAtTheSameMomentSpreadOverEndpoints(t *testing.T) {
	const entries, each = 9, 6
	b := newTestbed(27)
	for _, e := range b.endpoints {
		e.Slots = 16
	}
	b.service.Engine.Slots = 16
	answers := make(map[string]int)
	for entry := range entries {
		b.scheduler = NewScheduler(func() time.Time { return b.now })
		b.scheduler.SetTieBreakSeed(uint64(entry + 1))
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
