package admission

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// fakeControl grants quota of one contract: 10 requests per second with a burst
// of 5, and 4 slots.
type fakeControl struct {
	mu          sync.Mutex
	available   float64
	refilledAt  time.Time
	granted     float64
	returned    float64
	slots       uint32
	unreachable bool
	newLeader   bool // as a new leader, it lets entries keep what they hold and grants nothing
}

func (b *fakeControl) Lease(_ context.Context, r *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	time.Sleep(2 * time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unreachable {
		return nil, errors.New("unreachable")
	}
	b.available = min(max(5, b.available), b.available+10*time.Since(b.refilledAt).Seconds())
	b.refilledAt = time.Now()
	response := &wire.LeaseResponse{}
	for _, d := range r.Demands {
		b.available += d.ReturnedRequests
		b.returned += d.ReturnedRequests
		if b.newLeader {
			response.Grants = append(response.Grants, &wire.QuotaGrant{Organisation: d.Organisation, Concurrency: d.ConcurrencyHeld, ValidMs: 1000, RetryAfterMs: 2000})
			continue
		}
		given := min(d.Requests, float64(int(b.available)))
		b.available -= given
		b.granted += given
		b.slots = min(4, d.ConcurrencyWanted)
		g := &wire.QuotaGrant{Organisation: d.Organisation, Requests: given, Tokens: d.Tokens, Concurrency: b.slots, ValidMs: 1000}
		if given < d.Requests {
			g.RetryAfterMs = 100
		}
		response.Grants = append(response.Grants, g)
	}
	return response, nil
}

var small = &wire.Contract{Organisation: "a", RequestBurst: 5, TokenBurst: 1e6, Concurrency: 4}

func run(t *testing.T, test func(ctx context.Context, b *fakeControl, q *Quota)) {
	bubble.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &fakeControl{available: 5, refilledAt: time.Now()}
		q := NewQuota("e", b)
		var running sync.WaitGroup
		running.Go(func() { q.Run(ctx) })
		test(ctx, b, q)
		cancel()
		running.Wait()
	})
}

// Demand above the limit is served up to the limit and not beyond, and refusals
// do not wait.
func TestQuotaServesUpToTheLimit(t *testing.T) {
	run(t, func(ctx context.Context, b *fakeControl, q *Quota) {
		taken, refused := 0, 0
		for range 1000 { // 100 a second for 10 s
			started := time.Now()
			hold, err := q.Acquire(ctx, small, 10)
			if err == nil {
				taken++
				hold.Release(10)
			} else if fault.KindOf(err) == fault.LimitExceeded {
				refused++
			}
			if waited := time.Since(started); waited > 50*time.Millisecond {
				t.Fatalf("a decision took %s", waited)
			}
			time.Sleep(10*time.Millisecond - min(10*time.Millisecond, time.Since(started)))
		}
		if taken < 85 || taken > 115 || taken+refused != 1000 {
			t.Errorf("%d taken and %d refused, the limit is 100 and a burst of 5", taken, refused)
		}
	})
}

// Slots limit the concurrent requests, and each hold frees its slot exactly
// once, however it ends.
func TestSlotsAreFreedExactlyOnce(t *testing.T) {
	run(t, func(ctx context.Context, b *fakeControl, q *Quota) {
		var holds []*Hold
		for range 4 {
			hold, err := q.Acquire(ctx, small, 1)
			if err != nil {
				t.Fatal(err)
			}
			holds = append(holds, hold)
		}
		if _, err := q.Acquire(ctx, small, 1); fault.KindOf(err) != fault.LimitExceeded {
			t.Errorf("a fifth at once: %v", err)
		}
		holds[0].Release(1)
		holds[0].Refund()
		holds[1].Refund()
		if q.SlotsInUse("a") != 2 {
			t.Errorf("%d slots used", q.SlotsInUse("a"))
		}
		time.Sleep(time.Second)
		ended, stop := context.WithCancel(ctx)
		stop()
		if hold, err := q.Acquire(ended, small, 1); err == nil {
			hold.Refund()
		}
		holds[2].Release(1)
		holds[3].Release(1)
		if q.SlotsInUse("a") != 0 {
			t.Errorf("%d slots used at the end", q.SlotsInUse("a"))
		}
	})
}

// Unspent quota is returned when demand ends, and is not spent after its lease
// has expired.
func TestUnspentQuotaIsReturnedAndExpires(t *testing.T) {
	run(t, func(ctx context.Context, b *fakeControl, q *Quota) {
		hold, err := q.Acquire(ctx, small, 1)
		if err != nil {
			t.Fatal(err)
		}
		hold.Release(1)
		time.Sleep(2*idleAfter + time.Second)
		b.mu.Lock()
		if kept := b.granted - b.returned; kept > 1.01 {
			t.Errorf("%v requests are kept, 1 was spent", kept)
		}
		b.unreachable = true
		b.mu.Unlock()
		time.Sleep(2 * time.Second)
		started := time.Now()
		if _, err := q.Acquire(ctx, small, 1); fault.KindOf(err) != fault.NotCurrent || time.Since(started) > 2*time.Second {
			t.Errorf("without control: %v after %s", err, time.Since(started))
		}
	})
}

func TestDeadlinesFollowTheContract(t *testing.T) {
	contract := &wire.Contract{Deadlines: []*wire.DeadlineBand{{UpToTokens: 100, FirstTokenMs: 500, WholeAnswerMs: 2000}, {UpToTokens: 1000, FirstTokenMs: 5000, WholeAnswerMs: 9000}}}
	now := time.Now()
	cases := []struct {
		tokens       uint64
		limit        time.Duration
		first, whole time.Duration
	}{
		{100, 0, 500 * time.Millisecond, 2 * time.Second},
		{101, 0, 5 * time.Second, 9 * time.Second},
		{101, time.Second, time.Second, time.Second},
		{101, time.Hour, 5 * time.Second, 9 * time.Second},
	}
	for _, c := range cases {
		d := DeadlinesFor(contract, c.tokens, now, c.limit)
		if d.FirstToken.Sub(now) != c.first || d.WholeAnswer.Sub(now) != c.whole {
			t.Errorf("%d tokens: %s and %s", c.tokens, d.FirstToken.Sub(now), d.WholeAnswer.Sub(now))
		}
	}
}

// While a new control leader grants nothing, an organisation with a large
// contract is still served, also after a pause.
func TestQuotaLastsThroughLeaderChange(t *testing.T) {
	ample := &wire.Contract{Organisation: "a", RequestBurst: 1000, TokenBurst: 1e6, Concurrency: 100}
	cases := []struct {
		requests int
		pause    time.Duration
	}{{1, 0}, {20, 0}, {20, 10 * time.Second}}
	for _, c := range cases {
		run(t, func(ctx context.Context, b *fakeControl, q *Quota) {
			b.available = 500
			for i := range c.requests {
				hold, err := q.Acquire(ctx, ample, 10)
				if err != nil {
					t.Fatal(err)
				}
				hold.Release(10)
				if i > 0 {
					time.Sleep(250 * time.Millisecond)
				}
			}
			time.Sleep(c.pause)
			b.mu.Lock()
			b.newLeader = true
			b.mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			for range 2 {
				hold, err := q.Acquire(ctx, ample, 10)
				if err != nil {
					t.Fatalf("after %d requests and %s: %v", c.requests, c.pause, err)
				}
				hold.Release(10)
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
}

// delayedControl grants no requests in its first responses, as if other
// requests of the entry had taken them before the one that waits.
type delayedControl struct{ responses int }

func (s *delayedControl) Lease(_ context.Context, r *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	s.responses++
	response := &wire.LeaseResponse{}
	for _, d := range r.Demands {
		g := &wire.QuotaGrant{Organisation: d.Organisation, Tokens: d.Tokens, Concurrency: d.ConcurrencyWanted, ValidMs: 1000}
		if s.responses > 2*immediateLeaseRequests {
			g.Requests = d.Requests
		}
		response.Grants = append(response.Grants, g)
	}
	return response, nil
}

// A request is refused only when the control group grants no more, not because
// other requests took the granted quota first.
func TestOvertakenRequestIsNotRefused(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		control := &delayedControl{}
		q := NewQuota("e", control)
		var running sync.WaitGroup
		running.Go(func() { q.Run(ctx) })
		hold, err := q.Acquire(ctx, small, 10)
		if err != nil {
			t.Errorf("refused after %d responses: %v", control.responses, err)
		} else {
			hold.Release(10)
		}
		cancel()
		running.Wait()
	})
}
