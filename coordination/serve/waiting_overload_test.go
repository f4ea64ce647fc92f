package serve

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// targetInTime is the least share of the urgent requests that is served in time.
const targetInTime = 0.79

// tally counts what callers got, of all, of a route or of an organisation.
type tally struct {
	arrived, inTime, refused     float64
	refusedAfter, longestRefusal time.Duration // sum and maximum
}

func (y *tally) share() float64 { return y.inTime / y.arrived }

func (y *tally) meanRefusal() time.Duration { return y.refusedAfter / time.Duration(max(1, y.refused)) }

type tallies struct {
	mu      sync.Mutex
	by      map[string]*tally
	failed  int           // neither served nor refused
	returns map[int64]int // callers told to come back, by the 100 ms
}

func (s *tallies) add(g *recorder, took, objective time.Duration, names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.status != 200 && g.status != 503 {
		s.failed++
	}
	if g.status == 503 {
		s.returns[time.Now().Add(g.fault.RetryAfter).UnixMilli()/100]++
	}
	for _, name := range names {
		if s.by[name] == nil {
			s.by[name] = &tally{}
		}
		y := s.by[name]
		y.arrived++
		switch {
		case g.status == 200 && took <= objective:
			y.inTime++
		case g.status == 503:
			y.refused++
			y.refusedAfter += took
			y.longestRefusal = max(y.longestRefusal, took)
		}
	}
}

// serveTallied serves a request and adds how long it took until its first event or refusal.
func (b *queueBed) serveTallied(t *testing.T, s *tallies, q *Request, route, organisation int) {
	g, firstAt := &recorder{}, time.Time{}
	g.onWrite = func() error {
		if firstAt.IsZero() {
			firstAt = time.Now()
		}
		return nil
	}
	b.server.Serve(t.Context(), q, g)
	if firstAt.IsZero() {
		firstAt = time.Now()
	}
	s.add(g, firstAt.Sub(q.Arrived), queueObjectives[route], "all", fmt.Sprint("route ", route), fmt.Sprint("organisation ", organisation))
}

// newQueueBeds returns entries with the same endpoints. Each learns of the others' work after
// 5 ms, until the returned function is called.
func newQueueBeds(t *testing.T, entries int) (beds []*queueBed, end func()) {
	var ends []func()
	for i := range entries {
		b := newQueueBed(t, queueEngine)
		beds = append(beds, b)
		b.slots = beds[0].slots
		settings := *b.server.settings.Load()
		settings.EntryCount = func() int { return entries }
		b.server.SetSettings(settings)
		told := make(chan func(), 10_000)
		ends = append(ends, func() { close(told) })
		b.scheduler.OnWorkEvent(func(e *wire.WorkEvent, _ placement.Scope) {
			at := time.Now().Add(5 * time.Millisecond)
			told <- func() {
				time.Sleep(time.Until(at))
				for _, other := range beds {
					if other != b {
						other.scheduler.ApplyRemote(uint64(i+1), []*wire.WorkEvent{e})
					}
				}
			}
		})
		go func() {
			for tell := range told {
				tell()
			}
		}()
	}
	return beds, func() {
		for _, end := range ends {
			end()
		}
		time.Sleep(time.Second) // for what is under way
	}
}

// overload sends 114 requests a second for 30 s, at random, with a burst of 12 at once each
// second: a fifth urgent, half normal, the rest batch; 5, 15, 30 and 50 of 100 from the four
// organisations. The endpoints can answer 80 a second (16 slots, 200 ms each), 70% of that.
func overload(t *testing.T, entries int, ordered bool) *tallies {
	s := &tallies{by: make(map[string]*tally), returns: make(map[int64]int)}
	bubble.Run(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		beds, end := newQueueBeds(t, entries)
		defer end()
		for _, b := range beds {
			if !ordered {
				b.server.queues = nil
			}
		}
		routes, organisations := []int{0, 0, 1, 1, 1, 1, 1, 2, 2, 2}, []int{0, 1, 1, 1, 2, 2, 2, 2, 2, 2, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3}
		var wg sync.WaitGroup
		send := func() {
			route, organisation := routes[random.IntN(10)], organisations[random.IntN(20)]
			q := queueRequest(fmt.Sprint(random.Uint64()), route, organisation)
			b := beds[random.IntN(entries)]
			wg.Go(func() { b.serveTallied(t, s, q, route, organisation) })
		}
		for began, bursts := time.Now(), 0; time.Since(began) < 30*time.Second; {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / 102))
			send()
			for i := 0; i < 12 && int(time.Since(began).Seconds()) > bursts; i++ {
				send()
			}
			bursts = int(time.Since(began).Seconds())
		}
		wg.Wait()
	})
	return s
}

// Guards against urgent requests that are refused for the sake of others, priorities and
// organisations that starve, and refusals that come late or send callers back together;
// see overload for the load. The behaviour without a queue, each request trying on its own,
// is played for comparison. Several entries have one queue each, and know of each other's
// choices 5 ms late.
func TestOverloadServesByPriority(t *testing.T) {
	for _, entries := range []int{1, 4, 12} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) { testOverload(t, entries) })
	}
}

func testOverload(t *testing.T, entries int) {
	before, now := overload(t, entries, false), overload(t, entries, true)
	all, allBefore := now.by["all"], before.by["all"]
	for name, y := range now.by {
		t.Logf("%s: %.3f of %.0f in time, without a queue %.3f", name, y.share(), y.arrived, before.by[name].share())
		if y.share() < all.share()/4 {
			t.Errorf("%s starves: %.3f are in time, of all %.3f", name, y.share(), all.share())
		}
	}
	if urgent := now.by["route 0"].share(); urgent < targetInTime || urgent < before.by["route 0"].share()+0.2 {
		t.Errorf("urgent requests: %.3f in time", urgent)
	}
	if now.by["route 1"].share() < now.by["route 2"].share() {
		t.Error("the least urgent requests are served more often than others")
	}
	if now.failed > 0 {
		t.Errorf("%d requests have failed", now.failed)
	}
	if all.share() < 0.97*allBefore.share() {
		t.Errorf("of all requests %.3f are in time, without a queue %.3f", all.share(), allBefore.share())
	}
	t.Logf("refused after %v, without a queue %v", all.meanRefusal(), allBefore.meanRefusal())
	if all.meanRefusal() > allBefore.meanRefusal()/2 || all.longestRefusal > allBefore.longestRefusal {
		t.Errorf("refusals come late, after %v and %v at most", all.meanRefusal(), all.longestRefusal)
	}
	for slot, callers := range now.returns {
		if float64(callers) > all.refused/50 {
			t.Errorf("%d of %.0f refused callers are told to come back in the same 100 ms, %d", callers, all.refused, slot)
		}
	}
}
