package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/machine"
)

// fakeGroup is a replicated log with one actual leader. A replica that was
// deposed continues to act as the leader until heal is called.
type fakeGroup struct {
	mu       sync.Mutex
	random   *rand.Rand
	log      []*wire.Command
	leader   *fakeReplica
	replicas []*fakeReplica
	services []*Service
}

type fakeReplica struct {
	group         *fakeGroup
	id            string
	machine       *machine.Machine
	applied       int
	reportsLeader bool // in its own status, also after it was deposed
	since         time.Time
}

func newFakeGroup(random *rand.Rand) *fakeGroup {
	g := &fakeGroup{random: random}
	for i := range 3 {
		r := &fakeReplica{group: g, id: fmt.Sprint("r", i), machine: machine.New()}
		g.replicas = append(g.replicas, r)
		g.services = append(g.services, New(Options{
			Process: &wire.ProcessInfo{Id: r.id},
			Replica: r,
			Machine: r.machine,
			Store:   configsync.NewStore(),
		}))
	}
	g.elect(0)
	return g
}

// elect makes a replica the actual leader. The previous leader does not learn
// of it.
func (g *fakeGroup) elect(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = g.replicas[i]
	g.leader.catchUp()
	if !g.leader.reportsLeader {
		g.leader.reportsLeader, g.leader.since = true, time.Now()
	}
}

// heal tells every replica who the leader is.
func (g *fakeGroup) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.replicas {
		r.reportsLeader = r == g.leader
		r.catchUp()
	}
}

func (r *fakeReplica) catchUp() {
	for ; r.applied < len(r.group.log); r.applied++ {
		r.machine.Apply(uint64(r.applied+1), r.group.log[r.applied])
	}
}

// commit returns the result, or nil if this replica is not the actual leader.
func (r *fakeReplica) commit(command *wire.Command) any {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if r.group.leader != r {
		return nil
	}
	r.catchUp()
	r.group.log = append(r.group.log, command)
	r.applied++
	return r.machine.Apply(uint64(r.applied), command)
}

func (r *fakeReplica) randomN(n int) int {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.group.random.IntN(n)
}

// Propose sometimes commits late or loses its answer.
func (r *fakeReplica) Propose(ctx context.Context, command *wire.Command) (any, error) {
	if !r.Status().IsLeader {
		return nil, fault.New(fault.NotLeader, "not the leader")
	}
	late := time.Duration(r.randomN(3)) * proposeTimeout * 3 / 4
	lost := r.randomN(4) == 0
	result := make(chan any, 1)
	time.AfterFunc(late, func() {
		if value := r.commit(command); value != nil && !lost {
			result <- value
		}
	})
	select {
	case value := <-result:
		return value, nil
	case <-ctx.Done():
		return nil, fault.New(fault.OutcomeUnknown, "no answer")
	}
}

func (r *fakeReplica) Barrier(ctx context.Context) (time.Time, error) {
	r.group.mu.Lock()
	at, leads := time.Now(), r.group.leader == r
	if leads {
		r.catchUp()
	}
	r.group.mu.Unlock()
	if leads {
		return at, nil
	}
	<-ctx.Done()
	return time.Time{}, fault.New(fault.NotCurrent, "no quorum")
}

func (r *fakeReplica) Status() replica.Status {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return replica.Status{ID: r.id, IsLeader: r.reportsLeader, LeaderSince: r.since}
}

func (r *fakeReplica) ChangeMembers(context.Context, *wire.MemberChange) error { return nil }

func (r *fakeReplica) TransferLeadership(context.Context) error { return nil }
