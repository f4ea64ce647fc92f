package admissionqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// at returns a time after the start, in ms.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// request returns a request of organisation "o" that may wait for 100 ms of its 800 ms.
func request(priority int) *Waiter {
	return &Waiter{Priority: catalogue.Priority{Route: priority}, Organisation: "o", Joined: start, Due: at(800), Until: at(100), Cost: 1}
}

// with changes a request.
func with(w *Waiter, change func(*Waiter)) *Waiter {
	change(w)
	return w
}

// Each rule of the order must count only among requests that are equal by the rules before.
func TestOrder(t *testing.T) {
	q := New()
	q.Join(with(request(5), func(w *Waiter) { w.Organisation = "used" }), start)
	q.Placed(q.Next(start, 1), start)
	entries := []struct {
		name string
		*Waiter
	}{
		{"begun", with(request(9), func(w *Waiter) { w.Begun = true })},
		{"organisation", with(request(7), func(w *Waiter) { w.Priority.Organisation = -1 })},
		{"urgent", request(0)},
		{"urgent but late", with(request(0), func(w *Waiter) { w.Due = at(-1) })},
		{"soon due", with(request(1), func(w *Waiter) { w.Due = at(100) })},
		{"unused organisation", with(request(1), func(w *Waiter) { w.Due = at(801) })},
		{"exact time", with(request(1), func(w *Waiter) { w.Organisation = "used" })},
		{"arrival", with(request(1), func(w *Waiter) { w.Organisation = "used" })},
	}
	for _, i := range []int{3, 6, 5, 1, 7, 0, 4, 2} {
		q.Join(entries[i].Waiter, start)
	}
	for i, w := range q.order(start) {
		if w != entries[i].Waiter {
			t.Errorf("%q isn't at place %d", entries[i].name, i)
		}
	}
	entries[7].Priority = catalogue.Priority{Organisation: -2}
	q.Reorder()
	if q.order(start)[1] != entries[7].Waiter {
		t.Error("after its priority has changed, the arrival isn't second")
	}
}

// An arrival must not take capacity that a request ahead of it could use, so those ahead are
// tried before it whenever work has ended. A request must not be tried repeatedly while
// nothing has changed.
func TestThoseAheadAreTriedFirst(t *testing.T) {
	q, ahead, overdue := New(), request(0), with(request(0), func(w *Waiter) { w.Due = at(-1) })
	q.Join(ahead, start)
	q.Join(overdue, start)
	next := func(ms int, workEnds uint64, want *Waiter) {
		t.Helper()
		got := q.Next(at(ms), workEnds)
		if got != want {
			t.Fatalf("after %d ms the next one is %+v, want %+v", ms, got, want)
		}
		if got != nil {
			q.DidNotFit(got, at(ms), workEnds)
		}
	}
	next(0, 0, ahead)
	next(0, 0, overdue)
	next(0, 0, nil)
	arrival := request(1)
	q.Join(arrival, at(1))
	next(1, 0, arrival)
	next(2, 1, ahead) // work has ended, which the overdue one doesn't wait for
	next(2, 1, nil)   // the arrival is offered the capacity a step later
	if pause := q.Pause(at(5)); pause != 7*time.Millisecond {
		t.Errorf("the next round is in %v, want 7 ms", pause)
	}
	next(12, 1, ahead)
	next(12, 1, arrival)
	next(12, 1, nil)
	next(20, 1, overdue)
	next(20, 1, nil)
}

// A request whose plan was dropped must get its place back, and not count as served.
func TestDroppedPlanReturns(t *testing.T) {
	q, first, second := New(), request(0), with(request(0), func(w *Waiter) { w.Organisation = "other" })
	q.Join(first, start)
	q.Join(second, start)
	q.Placed(first, start)
	q.Return(first, at(5))
	if got := q.Next(at(5), 1); got != first || q.usage.total.placed != 0 {
		t.Errorf("%+v is next, and %v count as placed", got, q.usage.total.placed)
	}
}

// A request that never fits must be overtaken, as otherwise one long prompt stops all others.
// It must be overtaken only a limited number of times before it holds the others back, and
// hold them back for a part of their wait only.
func TestOvertakingAndHoldingAreBounded(t *testing.T) {
	q := New()
	long := with(request(0), func(w *Waiter) { w.Until = at(2000) })
	q.Join(long, start)
	overtaken, longestHold := 0, 0
	for ms := 0; ms < 1500; ms++ {
		q.Join(with(request(1), func(w *Waiter) { w.Joined, w.Due, w.Until = at(ms), at(ms+800), at(ms+100) }), at(ms))
		for w := q.Next(at(ms), 0); w != nil; w = q.Next(at(ms), 0) {
			if w == long {
				q.DidNotFit(w, at(ms), 0)
				continue
			}
			overtaken++
			longestHold = max(longestHold, int(at(ms).Sub(w.Joined).Milliseconds()))
			q.Placed(w, at(ms))
		}
		if ms == maxOvertakes+40 && overtaken > maxOvertakes {
			t.Errorf("%d requests have overtaken within 40 ms of the bound of %d", overtaken, maxOvertakes)
		}
	}
	if longestHold != 50 {
		t.Errorf("a request that may wait for 100 ms was held back for %d ms, want half", longestHold)
	}
	if overtaken < 1400 {
		t.Errorf("%d of 1,500 requests were served beside one that doesn't fit", overtaken)
	}
}

// Requests must be shed from the end of the order, and only if the forecast is beyond their
// wait. They must never all be shed, as capacity that becomes free would be idle.
func TestShedding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		forecast := make(map[*Waiter]Forecast)
		ms := func(most int, name string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		for range rapid.IntRange(0, 12).Draw(t, "waiting") {
			w := request(rapid.IntRange(0, 2).Draw(t, "priority"))
			w.Begun, w.Until, w.Due = rapid.Bool().Draw(t, "begun"), start.Add(ms(200, "until")), start.Add(ms(400, "due"))
			forecast[w] = Forecast{Wait: ms(100, "wait"), Interval: ms(60, "interval")}
			q.Join(w, start)
		}
		tryAll(q, start, 0) // one that has not been tried isn't shed
		order := slices.Clone(q.order(start))
		shed := q.Shed(start, func(w *Waiter) (Forecast, bool) { return forecast[w], true })
		for _, s := range shed {
			if s.Waiter.Begun || !isLate(s.Waiter, s.UntilPlaced, forecast[s.Waiter]) || slices.Contains(q.waiting, s.Waiter) {
				t.Fatalf("shed %+v", s)
			}
		}
		ahead, notBegun := time.Duration(0), 0
		for _, w := range order {
			kept := slices.Contains(q.waiting, w)
			if kept && !w.Begun && notBegun > 0 && isLate(w, 0, forecast[w]) {
				t.Fatalf("kept %+v, whose own forecast is beyond its wait", w)
			}
			if !kept && (notBegun == 0 || !isLate(w, ahead, forecast[w])) {
				t.Fatalf("shed %+v, which the requests ahead leave enough time or which is the first", w)
			}
			if kept {
				ahead += forecast[w].Interval
			}
			if !w.Begun {
				notBegun++
			}
		}
	})
}

// isLate reports whether a request is placed or served too late after others take a time.
func isLate(w *Waiter, ahead time.Duration, f Forecast) bool {
	return start.Add(ahead).After(w.Until) || start.Add(ahead+f.Wait).After(w.Due)
}

// The time that kept requests take must count for those behind them, with the pace of this
// entry's placements where it is faster than the forecast.
func TestSheddingCountsThoseAhead(t *testing.T) {
	q := New()
	forecast := func(*Waiter) (Forecast, bool) { return Forecast{Interval: 30 * time.Millisecond}, true }
	for range 10 {
		q.Join(request(0), start)
	}
	tryAll(q, start, 0)
	if shed := q.Shed(start, forecast); len(shed) != 6 || q.Len() != 4 || shed[0].Place != 4 || shed[0].Wait() != 120*time.Millisecond {
		t.Errorf("kept %d of 10 that may wait for 100 ms at one every 30 ms; shed %+v", q.Len(), shed)
	}
	for ms := 0; ms < 100; ms += 10 {
		q.Join(request(0), at(ms))
		q.Placed(q.Next(at(ms), uint64(ms)), at(ms))
	}
	for range 20 {
		q.Join(with(request(0), func(w *Waiter) { w.Until = at(190) }), at(90))
	}
	tryAll(q, at(90), 90)
	if q.Shed(at(90), forecast); q.Len() != 11 {
		t.Errorf("kept %d of 24 that may wait for 100 ms at one every 10 ms", q.Len())
	}
}

// Over a stretch of overload each priority and organisation must be served at least a
// quarter as often as all, whatever the mix, and urgent requests at least as often as all.
func TestNobodyStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 12), 6, 6).Draw(t, "weights") // of 3 priorities and 3 organisations
		room := rapid.IntRange(30, 90).Draw(t, "room")                            // % of the arrivals that can be served
		load := &load{weights, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), make(map[string]float64), make(map[string]float64)}
		load.run(t, 60_000, 10, room)
		all := load.served["all"] / load.arrived["all"]
		for name, arrived := range load.arrived {
			if share := load.served[name] / arrived; arrived >= 20 && share < all/4 {
				t.Fatalf("%s: %.3f of %.0f served, of all %.3f; %v", name, share, arrived, all, load)
			}
		}
		if load.arrived["priority 0"] >= 20 && load.served["priority 0"]/load.arrived["priority 0"] < all-0.02 {
			t.Fatalf("urgent requests are served less often than all: %v", load)
		}
	})
}

// load sends a request every few ms, with priorities and organisations by their weights.
type load struct {
	weights         []int
	random          *rand.Rand
	arrived, served map[string]float64
}

// pick returns an index by weight.
func (l *load) pick(weights []int) int {
	var by []int
	for i, w := range weights {
		by = append(by, slices.Repeat([]int{i}, w)...)
	}
	return by[l.random.IntN(len(by))]
}

func count(in map[string]float64, w *Waiter) {
	for _, name := range []string{"all", fmt.Sprint("priority ", w.Priority.Route), "organisation " + w.Organisation} {
		in[name]++
	}
}

func (l *load) run(t *rapid.T, forMs, everyMs, room int) {
	q, tokens := New(), 0
	for ms := 0; ms < forMs; ms += everyMs {
		w := with(request(l.pick(l.weights[:3])), func(w *Waiter) {
			w.Organisation = fmt.Sprint(l.pick(l.weights[3:]))
			w.Joined, w.Due, w.Until = at(ms), at(ms+800), at(ms+100)
		})
		count(l.arrived, w)
		q.Join(w, at(ms))
		tokens = min(tokens+room, 200)
		for w := q.Next(at(ms), uint64(ms)); w != nil; w = q.Next(at(ms), uint64(ms)) {
			if tokens < 100 {
				q.DidNotFit(w, at(ms), uint64(ms))
				continue
			}
			tokens -= 100
			count(l.served, w)
			q.Placed(w, at(ms))
		}
		q.Shed(at(ms), func(*Waiter) (Forecast, bool) { return Forecast{}, true })
		for _, w := range slices.Clone(q.waiting) {
			if at(ms).After(w.Until) {
				q.Leave(w)
			}
		}
		if q.Len() > 15 {
			t.Fatalf("%d requests wait, though 100 ms bring 10", q.Len())
		}
	}
}
