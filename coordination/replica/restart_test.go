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

// proposeMany commits n operations, up to 50 concurrently.
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

func TestRestartOfAllReplicasKeepsState(t *testing.T) {
	c := newCluster(t, 3)
	c.eventually("three voters", c.hasVoters(3))
	c.proposeMany(0, 1000)
	for i := range c.nodes {
		c.eventually("every replica has applied all operations", c.hasApplied(i, 1000))
	}
	want := c.nodes[0].machine.operations()
	ids := make([]string, 3)
	for i, n := range c.nodes {
		ids[i] = n.replica.ID()
		n.stop()
	}
	for i := range c.nodes {
		c.start(i)
	}
	for i, n := range c.nodes {
		c.eventually("the replica has its state after the restart", c.hasApplied(i, 1000))
		n.machine.mu.Lock()
		replayed := n.machine.applied
		n.machine.mu.Unlock()
		if !slices.Equal(n.machine.operations(), want) || n.replica.ID() != ids[i] {
			t.Fatalf("replica %d has another state or ID after the restart", i)
		}
		// At most one snapshot interval and one batch follow the last snapshot.
		if replayed > 100+maxItemsPerSync {
			t.Fatalf("replica %d replayed %d entries", i, replayed)
		}
		t.Logf("replica %d replayed %d entries", i, replayed)
	}
	c.propose("after")
}

func TestReplacingLostFoldersLosesNoData(t *testing.T) {
	c := newCluster(t, 3)
	c.eventually("three voters", c.hasVoters(3))
	for round, i := range []int{0, 2, 1} {
		c.proposeMany(round*300, 300)
		c.nodes[i].stop()
		if err := os.RemoveAll(c.nodes[i].folder); err != nil {
			t.Fatal(err)
		}
		old := c.nodes[i].replica.ID()
		c.start(i)
		if c.nodes[i].replica.ID() == old {
			t.Fatal("the replacement has the ID of the lost replica")
		}
		c.eventually("the replacement is a voter", func() bool {
			for _, m := range c.nodes[i].replica.Status().Members {
				if m.Id == c.nodes[i].replica.ID() && !m.Learner {
					return c.hasVoters(3)()
				}
			}
			return false
		})
	}
	for i := range c.nodes {
		c.eventually("every replica has applied all operations", c.hasApplied(i, 900))
	}
	list := c.nodes[1].machine.operations()
	slices.Sort(list)
	if unique := slices.Compact(slices.Clone(list)); len(unique) != 900 {
		t.Fatalf("%d of 900 operations were kept", len(unique))
	}
}

func TestFailedSyncStopsReplica(t *testing.T) {
	fs := faultfs.New(func(int) int { return 0 })
	r, err := Open(Options{DataFolder: "/data", Address: "a", Bootstrap: true, StateMachine: &recordingMachine{}, Dial: dial, FileSystem: fs})
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
	injected := make(chan struct{})
	if err := r.enqueue(t.Context(), requestFunc(func() { fs.SyncsToFailure = 1; close(injected) })); err != nil {
		t.Fatal(err)
	}
	<-injected
	if _, err := r.Propose(t.Context(), command("not synced")); fault.KindOf(err) != fault.OutcomeUnknown {
		t.Fatalf("the proposal has a certain outcome although the sync failed: %v", err)
	}
	if err := <-ended; !errors.Is(err, faultfs.ErrSyncFailed) {
		t.Fatalf("the replica stopped with %v", err)
	}
	if _, err := r.Barrier(context.Background()); err == nil {
		t.Fatal("a stopped replica confirmed a read")
	}
}

type requestFunc func()

func (d requestFunc) run(*Replica) { d() }

// BenchmarkProposals measures the rate of committed proposals with 64 concurrent
// callers and three replicas on one host.
func BenchmarkProposals(b *testing.B) {
	c := newCluster(b, 3)
	c.eventually("three voters", c.hasVoters(3))
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
