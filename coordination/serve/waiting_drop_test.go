package serve

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// joinAlone registers an admitted request of the third organisation that nothing serves.
func (b *queueBed) joinAlone(t *testing.T, id string) *turn {
	r := &run{server: b.server, request: queueRequest(id, 1, 2), tried: map[uint64]bool{}}
	if err := r.admit(t.Context()); err != nil {
		t.Fatal(err)
	}
	return r.joinQueue(t.Context(), r.placementDeadline())
}

// A request whose waiting time ended just after another request's round had chosen a plan
// for it was refused, although it had the plan.
func TestRequestWithAPlanIsNotRefused(t *testing.T) {
	inQueueBed(t, func(t *testing.T, b *queueBed, wg *sync.WaitGroup) {
		b.waitFor(t.Context(), wg, "r2")
		turn := b.joinAlone(t, "r1")
		if plan := turn.take(); plan != nil {
			t.Fatal("there is capacity")
		}
		b.endAnswer("long1") // the other request's round places both or the first
		if turn.refuse() {
			t.Error("a request that has a plan is refused")
		}
		plan := turn.take()
		if plan == nil {
			t.Fatal("the request doesn't get its plan")
		}
		plan.Handle.Close()
		turn.leave()

		turn = b.joinAlone(t, "r1 again")
		if !turn.refuse() {
			t.Error("a request without a plan isn't refused")
		}
		b.endAnswer("long1")
		if turn.plan != nil {
			t.Error("a refused request got a plan")
		}
		turn.leave()
	})
}

// A plan that is dropped as its request leaves, or is refused for lack of permits, must not
// count as a placed request of the organisation: its next request would go behind those of
// others.
func TestDroppedPlanDoesNotCount(t *testing.T) {
	for name, drop := range map[string]func(turn *turn){
		"not taken": func(*turn) {},
		"no permit": func(turn *turn) { turn.take().Handle.Close() },
	} {
		inQueueBed(t, func(t *testing.T, b *queueBed, wg *sync.WaitGroup) {
			b.waitFor(t.Context(), wg, "r2")
			turn := b.joinAlone(t, "r1")
			b.endAnswer("long1")
			drop(turn)
			turn.leave()
			time.Sleep(offeredToAll)
			for i, id := range []string{"r1 first", "r1 second"} {
				organisation := []int{2, 3}[i]
				wg.Go(func() { b.server.Serve(t.Context(), queueRequest(id, 1, organisation), &recorder{}) })
				time.Sleep(time.Millisecond)
			}
			b.endAnswer("long1")
			if !slices.Equal(b.sent, []string{"r2", "r1 first"}) {
				t.Errorf("%s: sent %v, want the first of two equal requests", name, b.sent)
			}
		})
	}
}
