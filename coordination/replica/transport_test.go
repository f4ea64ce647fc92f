package replica

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/apricotspoke/apricotspoke/trials/loopback"
	"google.golang.org/grpc"
)

func TestSnapshotLargerThanOneMessageIsReceived(t *testing.T) {
	c := newCluster(t, 3)
	c.eventually("three voters", c.hasVoters(3))
	body := strings.Repeat("x", 100<<10)
	for i := range 120 {
		c.propose(fmt.Sprint(i, body))
	}
	c.nodes[2].stop()
	c.nodes[2].folder = t.TempDir()
	c.start(2)
	c.eventually("the replacement has applied all operations", c.hasApplied(2, 120))
	if s := c.nodes[2].replica.Status(); s.SnapshotIndex == 0 {
		t.Fatal("the replacement caught up without a snapshot")
	}
}

func TestMemberRejoinsAtAnotherAddress(t *testing.T) {
	c := newCluster(t, 3)
	c.eventually("three voters", c.hasVoters(3))
	n := c.nodes[2]
	id := n.replica.ID()
	n.stop()
	n.port = loopback.KeepFor(t)
	c.start(2)
	c.eventually("the member list contains the new address", func() bool {
		l := c.leader()
		if l == nil {
			return false
		}
		for _, m := range l.replica.Status().Members {
			if m.Id == id && m.Address == n.port.Address() && !m.Learner {
				return true
			}
		}
		return false
	})
	c.propose("after")
	c.eventually("the replica at the new address has applied the operation", c.hasApplied(2, 1))
}

// unresponsiveConn accepts calls and never answers them.
type unresponsiveConn struct{ grpc.ClientConnInterface }

func (unresponsiveConn) Invoke(ctx context.Context, _ string, _, _ any, _ ...grpc.CallOption) error {
	<-ctx.Done()
	return ctx.Err()
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	var silent atomic.Bool
	var opened atomic.Int64
	c := &cluster{t: t, bootstrapCount: 1, dial: func(address string) (grpc.ClientConnInterface, error) {
		// Every second connection is unresponsive while the fault lasts.
		if opened.Add(1)%2 == 0 && silent.Load() {
			return unresponsiveConn{}, nil
		}
		return dial(address)
	}}
	c.create(3)
	c.eventually("three voters", c.hasVoters(3))
	silent.Store(true)
	for i := range 3 {
		c.nodes[2].stop()
		c.start(2)
		c.propose(fmt.Sprint(i))
		c.eventually("the restarted replica has applied the operation", c.hasApplied(2, i+1))
	}
}

func TestSeveralBootstrappingReplicasFormOneGroup(t *testing.T) {
	c := &cluster{t: t, dial: dial, bootstrapCount: 3}
	c.create(3)
	c.eventually("three voters", c.hasVoters(3))
	c.propose("one")
	for i := range c.nodes {
		c.eventually("every replica has applied the operation", c.hasApplied(i, 1))
	}
}
