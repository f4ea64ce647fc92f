package controllink

import (
	"context"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
	"github.com/apricotspoke/apricotspoke/trials/linkproxy"
	"google.golang.org/grpc"
)

const (
	replicas    = 3
	claimTime   = 2 * time.Second        // of a claim, as in package claims
	syncTime    = 900 * time.Millisecond // of a poll, as in package configsync
	shortCaller = 200 * time.Millisecond // after which a caller leaves
	maxCalls    = 200
	maxShort    = 15 // calls of callers that leave, until the connections are replaced
	warmUpCalls = 50
	warmUpPause = 100 * time.Millisecond
)

// grantingServer grants every claim.
type grantingServer struct{ wire.UnimplementedClaimsServer }

// Claim implements wire.ClaimsServer.
func (grantingServer) Claim(context.Context, *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return &wire.ClaimResponse{}, nil
}

// startProxies starts servers, each behind a proxy.
func startProxies(t *testing.T, register func(*grpc.Server)) (proxies []*faultproxy.Proxy, addresses []string) {
	t.Helper()
	for range replicas {
		proxy := linkproxy.Serve(t, func(string) *grpc.Server {
			server := link.NewServer(link.Security{})
			register(server)
			return server
		})
		proxies, addresses = append(proxies, proxy), append(addresses, proxy.Address())
	}
	return proxies, addresses
}

// silence opens a connection to each replica and then black-holes them.
func silence(t *testing.T, proxies []*faultproxy.Proxy, call func(i int) error) {
	t.Helper()
	for i, proxy := range proxies {
		err := call(i)
		for range warmUpCalls {
			if err == nil {
				break
			}
			time.Sleep(warmUpPause)
			err = call(i)
		}
		if err != nil || proxy.BlackholeConnections(faultproxy.Both) == 0 {
			t.Fatalf("no open connection: %v", err)
		}
	}
}

// startClient returns a client whose connections to all replicas are silent.
func startClient(t *testing.T) *Client {
	t.Helper()
	proxies, addresses := startProxies(t, func(s *grpc.Server) { wire.RegisterClaimsServer(s, grantingServer{}) })
	pool := link.NewPool(link.Security{})
	t.Cleanup(pool.Close)
	client := NewClient(pool, addresses)
	silence(t, proxies, func(i int) error {
		client.preferred.Store(uint64(i))
		_, err := client.Claim(t.Context(), &wire.ClaimRequest{})
		return err
	})
	client.preferred.Store(0)
	return client
}

// Guards against claims that fail again and again when the connections to all replicas have
// fallen silent at once.
func TestOnlyOneClaimMeetsSilentConnections(t *testing.T) {
	client := startClient(t)
	unanswered := 0
	for ; unanswered < maxCalls; unanswered++ {
		ctx, cancel := context.WithTimeout(t.Context(), claimTime)
		_, err := client.Claim(ctx, &wire.ClaimRequest{})
		cancel()
		if err == nil {
			break
		}
	}
	if unanswered > 1 {
		t.Errorf("%d claims got no answer, want one at most", unanswered)
	}
}

// Guards against callers that leave early and so hide from each other that a connection is
// silent.
func TestCallersThatLeaveDoNotHideSilentConnections(t *testing.T) {
	client := startClient(t)
	unanswered := 0
	for ; unanswered < maxCalls; unanswered++ {
		ctx, cancel := context.WithCancel(t.Context())
		leave := time.AfterFunc(shortCaller, cancel)
		_, err := client.Claim(ctx, &wire.ClaimRequest{})
		leave.Stop()
		cancel()
		if err == nil {
			break
		}
	}
	if unanswered > maxShort {
		t.Errorf("%d claims of callers that left got no answer, want %d at most", unanswered, maxShort)
	}
}

// Guards against a configuration that grows old because the connection to a peer is silent.
func TestOnlyOnePollMeetsASilentConnection(t *testing.T) {
	store := configsync.NewStore()
	store.Update(&wire.SyncResponse{Revision: 1, Snapshot: &wire.FleetConfig{Revision: 1}}, time.Now())
	proxies, addresses := startProxies(t, func(s *grpc.Server) { wire.RegisterConfigServer(s, NewConfigServer(store, nil)) })
	pool := link.NewPool(link.Security{})
	t.Cleanup(pool.Close)
	peers := NewConfigPeers(pool, addresses)
	poll := func(i int) error {
		ctx, cancel := context.WithTimeout(t.Context(), syncTime)
		defer cancel()
		_, err := peers[i].Sync(ctx, &wire.SyncRequest{})
		return err
	}
	silence(t, proxies, poll)
	for i := range peers {
		unanswered := 0
		for ; unanswered < maxCalls && poll(i) != nil; unanswered++ {
		}
		if unanswered != 1 {
			t.Errorf("%d polls of peer %d got no answer, want one", unanswered, i)
		}
	}
}
