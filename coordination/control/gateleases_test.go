package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// leaseChecker records the grants of one endpoint's lease and checks that they
// do not overlap.
type leaseChecker struct {
	mu         sync.Mutex
	valid      map[string]time.Time
	number     uint64
	holder     string
	takeovers  int
	violations []string
}

func (l *leaseChecker) granted(gate string, sentAt time.Time, response *wire.GateLeaseResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	until := sentAt.Add(time.Duration(response.ValidMs) * time.Millisecond)
	if !until.After(now) {
		return
	}
	for other, validUntil := range l.valid {
		if other != gate && validUntil.After(now) {
			l.violations = append(l.violations, fmt.Sprintf("%s holds the lease %s longer when %s gets it", other, validUntil.Sub(now), gate))
		}
	}
	if response.Number < l.number {
		l.violations = append(l.violations, fmt.Sprintf("fencing number %d after %d", response.Number, l.number))
	}
	if l.holder != gate {
		l.holder = gate
		l.takeovers++
	}
	l.number = response.Number
	l.valid[gate] = until
}

// Gates acquire leases, freeze and return, while leaders are deposed without
// noticing and proposals commit late or lose their answers. Two gates must
// never hold the lease of one endpoint at the same time, and the lease's number
// must not decrease.
func TestOneGateHoldsAnEndpoint(t *testing.T) {
	takeovers := 0
	for seed := range uint64(40) {
		bubble.Run(t, func(t *testing.T) {
			l := raceForLease(seed)
			takeovers += l.takeovers
			if len(l.violations) > 0 {
				t.Errorf("seed %d: %v", seed, l.violations[:min(3, len(l.violations))])
			}
		})
	}
	if takeovers < 100 {
		t.Errorf("only %d takeovers were seen", takeovers)
	}
}

func raceForLease(seed uint64) *leaseChecker {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	group := newFakeGroup(rand.New(rand.NewPCG(seed, 0)))
	l := &leaseChecker{valid: make(map[string]time.Time)}
	var wait sync.WaitGroup
	for i := range 3 {
		random := rand.New(rand.NewPCG(seed, uint64(i+1)))
		wait.Go(func() { runGate(ctx, group, l, fmt.Sprint("gate", i), random) })
	}
	for _, service := range group.services {
		wait.Go(func() { _ = service.Run(ctx) })
	}
	wait.Go(func() {
		random := rand.New(rand.NewPCG(seed, 9))
		for ctx.Err() == nil {
			time.Sleep(time.Duration(random.IntN(12000)) * time.Millisecond)
			group.elect(random.IntN(3))
			time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
			group.heal()
		}
	})
	wait.Wait()
	time.Sleep(3 * proposeTimeout)
	return l
}

func runGate(ctx context.Context, group *fakeGroup, l *leaseChecker, name string, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond)
		if random.IntN(12) == 0 { // frozen, or failed and restarted
			time.Sleep(time.Duration(random.IntN(15000)) * time.Millisecond)
		}
		sentAt := time.Now()
		server := &gateLeasesServer{Service: group.services[random.IntN(3)]}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		if !server.Replica.Status().IsLeader {
			continue
		}
		response, err := server.Acquire(ctx, &wire.GateLeaseRequest{Endpoint: "e", GateInstance: name, GateAddress: "x"})
		if err == nil && response.Held {
			l.granted(name, sentAt, response)
		}
	}
}

// A renewal counts from the last confirmation of the leadership, not from now,
// because the next leader may have started its wait right after that
// confirmation.
func TestRenewalCountsFromLastConfirmation(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		group := newFakeGroup(rand.New(rand.NewPCG(1, 1)))
		server := &gateLeasesServer{Service: group.services[0]}
		request := &wire.GateLeaseRequest{Endpoint: "e", GateInstance: "g", GateAddress: "x"}
		group.replicas[0].commit(&wire.Command{Of: &wire.Command_GateLease{GateLease: request}})
		if r, err := server.Acquire(t.Context(), request); err != nil || !r.Held {
			t.Fatalf("%v, %v", r, err)
		}
		group.elect(1)
		time.Sleep(maxProofAge)
		r, err := server.Acquire(t.Context(), request)
		if err != nil || !r.Held || time.Duration(r.ValidMs)*time.Millisecond > gateLeaseDuration-maxProofAge {
			t.Fatalf("renewed by a deposed leader for %d ms, %v", r.ValidMs, err)
		}
		time.Sleep(time.Millisecond)
		if r, _ := server.Acquire(t.Context(), request); r.Held {
			t.Fatal("renewed on an old confirmation")
		}
	})
}
