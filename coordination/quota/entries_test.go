package quota_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admission"
	"github.com/apricotspoke/apricotspoke/coordination/quota"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// leader serves lease requests from a ledger as the control service does.
type leader struct {
	mu       sync.Mutex
	ledger   *quota.Ledger
	contract *wire.Contract
}

func (l *leader) Lease(_ context.Context, r *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ledger.AcceptSequence(time.Now(), r) {
		return &wire.LeaseResponse{Failure: &wire.Failure{Kind: "invalid_request"}}, nil
	}
	response := &wire.LeaseResponse{}
	for _, d := range r.Demands {
		grant := l.ledger.Lease(time.Now(), r.Entry, d, l.contract)
		grant.ValidMs = uint32(quota.LeaseTTL.Milliseconds())
		response.Grants = append(response.Grants, grant)
	}
	return response, nil
}

// acquireFor acquires quota for a request every so often, for the time lasting, and
// returns how many it got.
func acquireFor(q *admission.Quota, contract *wire.Contract, every, lasting time.Duration) int {
	taken := 0
	for end := time.Now().Add(lasting); time.Now().Before(end); time.Sleep(every) {
		hold, err := q.Acquire(context.Background(), contract, 1)
		if err != nil {
			continue
		}
		taken++
		hold.Release(1)
	}
	return taken
}

// Two entries that together demand four times the contract get all of it and no
// more, and an entry that was killed gets its share again after its restart.
func TestEntriesShareAContract(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		l := &leader{
			ledger:   quota.NewLedger(time.Now().Add(-time.Hour)),
			contract: &wire.Contract{Organisation: "o", RequestsPerSecond: 50, RequestBurst: 20, TokensPerSecond: 1e6, TokenBurst: 1e6, Concurrency: 100},
		}
		var running sync.WaitGroup // entries that have not ended yet
		start := func() (*admission.Quota, context.CancelFunc) {
			ctx, kill := context.WithCancel(t.Context())
			q := admission.NewQuota("entry", l)
			running.Go(func() { q.Run(ctx) })
			return q, kill
		}
		var wait sync.WaitGroup
		var steady, killed, restarted int
		q1, stop1 := start()
		q2, kill := start()
		wait.Go(func() { steady = acquireFor(q1, l.contract, 10*time.Millisecond, 20*time.Second) })
		wait.Go(func() {
			killed = acquireFor(q2, l.contract, 10*time.Millisecond, 10*time.Second)
			kill()
			q3, stop3 := start()
			restarted = acquireFor(q3, l.contract, 10*time.Millisecond, 10*time.Second)
			stop3()
		})
		wait.Wait()
		stop1()
		running.Wait()
		total, most := steady+killed+restarted, 50*20+20
		t.Logf("steady %d, killed %d, restarted %d of at most %d", steady, killed, restarted, most)
		if total > most || total < most*8/10 {
			t.Errorf("%d of %d requests were admitted", total, most)
		}
		if restarted < killed/2 || killed+restarted < steady*3/4 || steady < (killed+restarted)*3/4 {
			t.Errorf("unfair: steady %d, killed %d, restarted %d", steady, killed, restarted)
		}
	})
}
