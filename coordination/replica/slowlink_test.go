package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

// virtualLinks connects replicas in virtual time. A call takes as long as its bytes do
// on a link of bytesPerSecond.
type virtualLinks struct {
	replicas map[string]*Replica // by address

	mu             sync.Mutex
	bytesPerSecond int                      // 0 for no limit
	away           string                   // address that nothing reaches or leaves
	syncTimes      map[string]time.Duration // of the disk of the replica at an address
}

func (l *virtualLinks) setSyncTime(address string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncTimes[address] = d
}

func (l *virtualLinks) setRate(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
}

func (l *virtualLinks) setAway(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = address
}

// transfer waits until the bytes of a call have passed the link.
func (l *virtualLinks) transfer(ctx context.Context, from, to string, bytes int) error {
	l.mu.Lock()
	rate, lost := l.bytesPerSecond, l.away == from || l.away == to
	l.mu.Unlock()
	if lost {
		<-ctx.Done()
	} else if rate > 0 {
		wait.For(ctx, time.Duration(bytes)*time.Second/time.Duration(rate))
	}
	return ctx.Err()
}

type virtualConn struct {
	grpc.ClientConnInterface
	links *virtualLinks
	from  string
	to    string
}

// Invoke implements grpc.ClientConnInterface.
func (c virtualConn) Invoke(ctx context.Context, _ string, request, reply any, _ ...grpc.CallOption) error {
	q := proto.Clone(request.(proto.Message))
	if err := c.links.transfer(ctx, c.from, c.to, proto.Size(q)); err != nil {
		return err
	}
	r := c.links.replicas[c.to]
	var answer proto.Message
	var err error
	switch q := q.(type) {
	case *wire.PeerMessages:
		answer, err = r.Step(ctx, q)
	case *wire.JoinRequest:
		answer, err = r.Join(ctx, q)
	}
	if err == nil {
		proto.Merge(reply.(proto.Message), answer)
	}
	return err
}

// startVirtual starts n replicas in a bubble of synctest and waits until all are voters.
func startVirtual(t *testing.T, options Options, n int) *virtualLinks {
	links := &virtualLinks{replicas: map[string]*Replica{}, syncTimes: map[string]time.Duration{}}
	for i := range n {
		options.Peers = append(options.Peers, fmt.Sprint("host-", i))
	}
	for i, address := range options.Peers {
		o := options
		o.DataFolder, o.Address, o.Bootstrap, o.StateMachine = "/data", address, i == 0, &recordingMachine{}
		o.FileSystem = slowDisk{faultfs.New(func(int) int { return 0 }), links, address}
		o.Random = rand.New(rand.NewPCG(uint64(i), 1)).IntN
		o.Dial = func(to string) (grpc.ClientConnInterface, error) {
			return virtualConn{links: links, from: address, to: to}, nil
		}
		r, err := Open(o)
		if err != nil {
			t.Fatal(err)
		}
		r.runAsync = func(work func()) { work() } // faultfs is not safe for concurrent use
		links.replicas[address] = r
	}
	var running sync.WaitGroup
	t.Cleanup(running.Wait)
	for _, r := range links.replicas {
		running.Go(func() { _ = r.Run(t.Context()) })
	}
	for links.leader() == nil || len(activeVoters(links.leader().Status().Members)) < n {
		time.Sleep(defaultTickInterval)
	}
	return links
}

// leader returns the replica that leads in the highest term, or nil.
func (l *virtualLinks) leader() (found *Replica) {
	for _, r := range l.replicas {
		if s := r.Status(); s.CanConfirmReads && (found == nil || s.Term > found.Status().Term) {
			found = r
		}
	}
	return found
}

// others returns the addresses of the replicas other than r, in order.
func (l *virtualLinks) others(r *Replica) (addresses []string) {
	for address, other := range l.replicas {
		if other != r {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// commitsWithin reports whether an operation is committed in virtual time d.
func (l *virtualLinks) commitsWithin(t *testing.T, d time.Duration) bool {
	for began := time.Now(); time.Since(began) < d; time.Sleep(defaultTickInterval) {
		if r := l.leader(); r != nil {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := r.Propose(ctx, command("small"))
			cancel()
			if err == nil {
				t.Logf("committed after %v in term %d", time.Since(began), r.Status().Term)
				return true
			}
		}
	}
	return false
}

// commitThroughSlowFollower needs a follower that lacks most of the log for the quorum,
// as after the loss of another one's disk.
func commitThroughSlowFollower(t *testing.T, options Options, entryBytes int) {
	const lagBytes, bytesPerSecond = 3 << 20, 1 << 20
	links := startVirtual(t, options, 3)
	leader := links.leader()
	others := links.others(leader)
	links.setAway(others[0])
	for i := range lagBytes / entryBytes {
		if _, err := leader.Propose(t.Context(), command(fmt.Sprint(i, strings.Repeat("x", entryBytes)))); err != nil {
			t.Fatal(err)
		}
	}
	links.setRate(bytesPerSecond)
	links.setAway(others[1])
	const bound = recoveryTicks*defaultTickInterval + lagBytes*time.Second/bytesPerSecond
	if !links.commitsWithin(t, bound) {
		t.Errorf("nothing was committed within %v", bound)
	}
}

func TestLeaderCommitsThroughFollowerFarBehindOnSlowLink(t *testing.T) {
	for _, entryBytes := range []int{4 << 10, 30 << 10, 300 << 10} {
		t.Run(fmt.Sprint(entryBytes), func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) { commitThroughSlowFollower(t, Options{}, entryBytes) })
		})
	}
}

func TestLeaderCommitsThroughFollowerThatNeedsSnapshotOnSlowLink(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		commitThroughSlowFollower(t, Options{SnapshotIntervalEntries: 20, KeptEntries: 4}, 30<<10)
	})
}

// A round trip that takes long says nothing about the link's speed.
func TestBatchesFollowSpeedOfLinkNotItsRoundTrip(t *testing.T) {
	for _, c := range []struct {
		roundTrip      time.Duration
		bytesPerSecond int
		least, most    int // of the bound after twenty full batches
	}{
		{time.Millisecond, 1 << 30, fullBatchBytes, fullBatchBytes},
		{200 * time.Millisecond, 1 << 30, fullBatchBytes, fullBatchBytes},
		{time.Millisecond, 1 << 20, minBatchBytes, 2 * minBatchBytes},
		{200 * time.Millisecond, 1 << 20, minBatchBytes, 2 * minBatchBytes},
		{time.Millisecond, 1 << 16, minBatchBytes, minBatchBytes},
	} {
		bound := batchBound{bytes: minBatchBytes}
		bound.observe(100, c.roundTrip, defaultPeerTimeout, nil)
		for range 20 {
			took := c.roundTrip + time.Duration(bound.bytes)*time.Second/time.Duration(c.bytesPerSecond)
			bound.observe(bound.bytes, took, defaultPeerTimeout, nil)
		}
		if bound.bytes < c.least || bound.bytes > c.most {
			t.Errorf("round trip %v, %d bytes a second: batches of %d bytes", c.roundTrip, c.bytesPerSecond, bound.bytes)
		}
		bound.observe(bound.bytes, defaultPeerTimeout, defaultPeerTimeout, context.DeadlineExceeded)
		if bound.bytes != minBatchBytes {
			t.Errorf("%d bytes after a call that failed", bound.bytes)
		}
	}
}

// TestCommandTooLargeForSlowLinksDoesNotStopTheGroup proposes a command that no link
// carries within PeerTimeout.
func TestCommandTooLargeForSlowLinksDoesNotStopTheGroup(t *testing.T) {
	for _, bytesPerSecond := range []int{12 << 20, 3 << 20, 1 << 20} {
		bubble.Run(t, func(t *testing.T) {
			links := startVirtual(t, Options{}, 3)
			links.setRate(bytesPerSecond)
			go func() { _, _ = links.leader().Propose(t.Context(), command(strings.Repeat("x", 7<<20))) }()
			synctest.Wait()
			if !links.commitsWithin(t, recoveryTicks*defaultTickInterval) {
				t.Errorf("links of %d bytes a second: nothing was committed within %d ticks", bytesPerSecond, recoveryTicks)
			}
		})
	}
}
