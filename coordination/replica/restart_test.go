package replica

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
)

// proposeMany commits n operations, many at a time.
func (c *cluster) proposeMany(from, n int) {
	var work sync.WaitGroup
	slots := make(chan struct{}, 50)
	for i := from; i < from+n; i++ {
		slots <- struct{}{}
		work.Go(func() {
			c.propose(fmt.Sprint(i))
			<-slots
		})
	}
	work.Wait()
}

func TestThousandCommandsThenRestartOfAll(t *testing.T) {
	c := newCluster(t, 3)
	c.eventually("three voters", c.voters(3))
	c.proposeMany(0, 1000)
	for i := range c.nodes {
		c.eventually("all hold all", c.holds(i, 1000))
	}
	want := c.nodes[0].machine.list()
	ids := make([]string, 3)
	for i, n := range c.nodes {
		ids[i] = n.replica.ID()
		n.stop()
	}
	for i := range c.nodes {
		c.start(i)
	}
	for i, n := range c.nodes {
		c.eventually("state after restart", c.holds(i, 1000))
		n.machine.mu.Lock()
		replayed := n.machine.applied
		n.machine.mu.Unlock()
		if !slices.Equal(n.machine.list(), want) || n.replica.ID() != ids[i] {
			t.Fatalf("replica %d differs after the restart", i)
		}
		// Entries behind the last snapshot: one interval and one batch at most.
		if replayed > 100+maxBatch {
			t.Fatalf("replica %d replayed %d entries", i, replayed)
		}
		t.Logf("replica %d replayed %d entries", i, replayed)
	}
	c.propose("after")
}

func TestLostFoldersAreReplacedWithoutLoss(t *testing.T) {
	c := newCluster(t, 3)
	c.eventually("three voters", c.voters(3))
	for round, i := range []int{0, 2, 1} {
		c.proposeMany(round*300, 300)
		c.nodes[i].stop()
		if err := os.RemoveAll(c.nodes[i].folder); err != nil {
			t.Fatal(err)
		}
		old := c.nodes[i].replica.ID()
		c.start(i)
		if c.nodes[i].replica.ID() == old {
			t.Fatal("the replacement has the old identity")
		}
		c.eventually("the replacement is a voter", func() bool {
			for _, m := range c.nodes[i].replica.Status().Members {
				if m.Id == c.nodes[i].replica.ID() && !m.Learner {
					return c.voters(3)()
				}
			}
			return false
		})
	}
	for i := range c.nodes {
		c.eventually("all hold all", c.holds(i, 900))
	}
	list := c.nodes[1].machine.list()
	slices.Sort(list)
	if unique := slices.Compact(slices.Clone(list)); len(unique) != 900 {
		t.Fatalf("%d of 900 operations are left", len(unique))
	}
}

func TestFailedSyncEndsTheReplica(t *testing.T) {
	fs := faultfs.New(func(int) int { return 0 })
	r, err := Open(Options{DataFolder: "/data", Address: "a", Bootstrap: true, StateMachine: &ledger{}, Dial: dial, FileSystem: fs})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- r.Run(t.Context()) }()
	for !r.Status().IsLeader {
		time.Sleep(10 * time.Millisecond)
	}
	if _, err := r.Propose(t.Context(), command("kept")); err != nil {
		t.Fatal(err)
	}
	held := make(chan struct{})
	if err := r.enqueue(t.Context(), do(func() { fs.FailSync = 1; close(held) })); err != nil {
		t.Fatal(err)
	}
	<-held
	if _, err := r.Propose(t.Context(), command("not synced")); fault.KindOf(err) != fault.OutcomeUnknown {
		t.Fatalf("acknowledged or refused without a sync: %v", err)
	}
	if err := <-ended; !errors.Is(err, faultfs.ErrSync) {
		t.Fatalf("the replica ended with %v", err)
	}
	if _, err := r.Barrier(context.Background()); err == nil {
		t.Fatal("a replica that has ended confirmed a read")
	}
}

type do func()

func (d do) run(*Replica) { d() }

// BenchmarkProposals measures committed proposals of three replicas on one
// host, 64 at a time.
func BenchmarkProposals(b *testing.B) {
	c := newCluster(b, 3)
	c.eventually("three voters", c.voters(3))
	leader := c.leader().replica
	var work sync.WaitGroup
	next := make(chan int)
	b.ResetTimer()
	for range 64 {
		work.Go(func() {
			for i := range next {
				if _, err := leader.Propose(context.Background(), command(fmt.Sprintf("%020d", i))); err != nil {
					b.Error(err)
				}
			}
		})
	}
	for i := range b.N {
		next <- i
	}
	close(next)
	work.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
}
