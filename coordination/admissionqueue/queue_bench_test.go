package admissionqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// BenchmarkWake measures what one wake of one of 200 waiting requests costs, with 960
// organisations and 10 priorities. Each wakes every 20 ms, and all do when work ends, every
// 4 ms: then one is placed and another arrives.
func BenchmarkWake(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	q, now, workEnds := New(), start, uint64(0)
	arrive := func() {
		q.Join(&Waiter{
			Priority: catalogue.Priority{Organisation: random.IntN(10)}, Organisation: fmt.Sprint(random.IntN(960)),
			Joined: now, Due: now.Add(time.Hour), Until: now.Add(time.Hour), Cost: 1,
		}, now)
	}
	for range 5000 { // so that each organisation is known
		arrive()
		q.Placed(q.waiting[0], now)
	}
	for range 200 {
		arrive()
	}
	forecast := func(*Waiter) (Forecast, bool) { return Forecast{Interval: time.Millisecond}, true }
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(16 * time.Microsecond) // 250 wakes in 4 ms
		place := i%250 == 0
		if place {
			workEnds++
			arrive()
		}
		tried := false
		for w := q.Next(now, workEnds); w != nil; w = q.Next(now, workEnds) {
			tried = true
			if place {
				place = false
				q.Placed(w, now)
				continue
			}
			q.DidNotFit(w, now, workEnds)
		}
		if tried {
			q.Shed(now, forecast)
		}
	}
}
