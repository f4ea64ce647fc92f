package replica

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
	"google.golang.org/grpc"
)

// joinTarget is how long a new replica may look for a group that is whole.
const joinTarget = recoveryTicks * defaultTickInterval

// leaderDelay is the time after which the leader answers an inquiry, later than others.
const leaderDelay = 50 * time.Millisecond

// joinServer answers the calls of Join at one address, except for requests to join if
// it stands.
type joinServer struct {
	grpc.ClientConnInterface
	group    bool
	believes string // address of the leader that it believes in
	silent   bool
	refuses  bool
	stands   bool
	admits   chan struct{} // closed at a request to join; nil if it does not lead
}

// Invoke implements grpc.ClientConnInterface.
func (p *joinServer) Invoke(ctx context.Context, _ string, request, reply any, _ ...grpc.CallOption) error {
	q, answer := request.(*wire.JoinRequest), reply.(*wire.JoinResponse)
	switch {
	case p.refuses:
		return errors.New("refused")
	case p.silent, p.stands && !q.InquireOnly:
		<-ctx.Done()
		return ctx.Err()
	case q.InquireOnly:
		if p.admits != nil && !wait.For(ctx, leaderDelay) {
			return ctx.Err()
		}
		answer.HasGroup, answer.LeaderAddress = p.group, p.believes
	case p.admits == nil:
		answer.Failure = fault.ToWire(notLeader())
	default:
		answer.Accepted = true
		close(p.admits)
		<-ctx.Done()
	}
	return nil
}

// TestNewReplicaFindsGroup starts a replica with an empty disk that may not create a
// group, beside processes of which some do not answer or believe in a lost leader.
func TestNewReplicaFindsGroup(t *testing.T) {
	silent, refuses := &joinServer{silent: true}, &joinServer{refuses: true}
	others := func(n int, p *joinServer) (servers []*joinServer) {
		for range n {
			servers = append(servers, p)
		}
		return servers
	}
	for _, c := range []struct {
		name   string
		others []*joinServer // asked before the leader, at addresses "a", "b" and so on
		knows  time.Duration // until any address is known
		seeds  bool          // all seeds were heard
	}{
		{"only the leader is known", nil, 0, true},
		{"seeds without a disk are away", nil, 0, false},
		{"no process is heard for some time", nil, 3 * time.Second, false},
		{"four refuse", others(4, refuses), 0, true},
		{"one does not answer", others(1, silent), 0, true},
		{"four do not answer", others(4, silent), 0, true},
		{"eight do not answer", others(8, silent), 0, false},
		{"one believes in a lost leader", []*joinServer{{group: true, believes: "b"}, silent}, 0, true},
		{"one believes that this replica leads", []*joinServer{{group: true, believes: "new"}}, 0, true},
		{"a former leader stands still", []*joinServer{{group: true, believes: "a", stands: true}}, 0, true},
		{"one knows no leader", []*joinServer{{group: true}}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) { findGroup(t, c.others, c.knows, c.seeds) })
		})
	}
}

func findGroup(t *testing.T, others []*joinServer, knows time.Duration, seeds bool) {
	began := time.Now()
	leader := &joinServer{group: true, believes: "leader", admits: make(chan struct{})}
	servers := map[string]*joinServer{"leader": leader}
	var addresses []string
	for i, p := range others {
		address := string(rune('a' + i))
		servers[address] = p
		addresses = append(addresses, address)
	}
	addresses = append(addresses, "leader")
	r, err := Open(Options{
		DataFolder: "/data", Address: "new", StateMachine: &recordingMachine{}, FileSystem: faultfs.New(func(int) int { return 0 }),
		FindPeers: func() ([]string, bool) {
			if time.Since(began) < knows {
				return nil, false
			}
			return addresses, seeds
		},
		Dial: func(address string) (grpc.ClientConnInterface, error) {
			if p := servers[address]; p != nil {
				return p, nil
			}
			return &joinServer{refuses: true}, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), joinTarget)
	defer cancel()
	go r.joinGroup(ctx)
	select {
	case <-leader.admits:
		t.Logf("the leader was asked after %v", time.Since(began))
	case <-ctx.Done():
		t.Errorf("the leader was not asked to admit the replica within %v", joinTarget)
	}
	cancel()
	synctest.Wait()
}
