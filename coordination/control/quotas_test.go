package control

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admission"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// reportedLeader sends lease requests to a random replica that reports itself
// as the leader.
type reportedLeader struct {
	group  *fakeGroup
	random *rand.Rand
}

func (a *reportedLeader) Lease(ctx context.Context, r *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	time.Sleep(time.Duration(a.random.IntN(50)) * time.Millisecond)
	for {
		server := &quotasServer{Service: a.group.services[a.random.IntN(3)]}
		if server.Replica.Status().IsLeader {
			return server.Lease(ctx, r)
		}
	}
}

// admissionLog records when entries admitted requests.
type admissionLog struct {
	mu sync.Mutex
	at []time.Time
}

func (a *admissionLog) run(ctx context.Context, group *fakeGroup, contract *wire.Contract, random *rand.Rand) {
	for ctx.Err() == nil {
		entryCtx, kill := context.WithTimeout(ctx, time.Duration(1+random.IntN(20))*time.Second)
		q := admission.NewQuota("entry", &reportedLeader{group, rand.New(rand.NewPCG(random.Uint64(), 0))})
		var running sync.WaitGroup
		running.Go(func() { q.Run(entryCtx) })
		for entryCtx.Err() == nil {
			if hold, err := q.Acquire(entryCtx, contract, 1); err == nil {
				a.mu.Lock()
				a.at = append(a.at, time.Now())
				a.mu.Unlock()
				hold.Release(1)
			}
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		}
		kill()
		running.Wait()
	}
}

// Entries fail and restart, and lease from leaders that were deposed without
// noticing. No interval may admit more than the contract allows.
func TestEntriesAndDeposedLeadersKeepTheContract(t *testing.T) {
	const rate, burst, runtime = 20.0, 15.0, 2 * time.Minute
	for seed := range uint64(8) {
		bubble.Run(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), runtime)
			defer cancel()
			group := newFakeGroup(rand.New(rand.NewPCG(seed, 0)))
			hash := sha256.Sum256([]byte("key"))
			contract := &wire.Contract{
				Organisation: "o", KeyHashes: [][]byte{hash[:]}, Models: []string{"m"}, Concurrency: 100, Share: 1, MaxPromptTokens: 1, MaxOutputTokens: 1,
				RequestsPerSecond: rate, RequestBurst: burst, TokensPerSecond: 1e6, TokenBurst: 1e6,
				Deadlines: []*wire.DeadlineBand{{UpToTokens: 1, FirstTokenMs: 1, WholeAnswerMs: 1}},
			}
			put := &wire.Change{Of: &wire.Change_PutContract{PutContract: contract}}
			group.replicas[0].commit(&wire.Command{Of: &wire.Command_Apply{Apply: &wire.ApplyRequest{OperationId: "put", Change: put}}})
			var a admissionLog
			var wait sync.WaitGroup
			for i := range 3 {
				wait.Go(func() { a.run(ctx, group, contract, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
			}
			for _, service := range group.services {
				wait.Go(func() { _ = service.Run(ctx) })
			}
			random := rand.New(rand.NewPCG(seed, 9))
			for ctx.Err() == nil {
				time.Sleep(time.Duration(random.IntN(15000)) * time.Millisecond)
				group.elect(random.IntN(3))
				time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
				group.heal()
			}
			wait.Wait()
			checkAdmitted(t, seed, a.at, rate, burst)
			if least := int(rate * runtime.Seconds() / 4); len(a.at) < least {
				t.Errorf("seed %d: only %d requests were admitted, want at least %d", seed, len(a.at), least)
			}
		})
	}
}

func checkAdmitted(t *testing.T, seed uint64, at []time.Time, rate, burst float64) {
	for i := range at {
		for j := i; j < len(at); j++ {
			if n, allowed := float64(j-i+1), rate*at[j].Sub(at[i]).Seconds()+burst; n > allowed+1e-6 {
				t.Errorf("seed %d: %v requests were admitted in %s, %v allowed", seed, n, at[j].Sub(at[i]), allowed)
				return
			}
		}
	}
}
