package control_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	clientTimeout = 700 * time.Millisecond // of a call, as in package controllink
	// maxUnanswered is the number of calls in a row through one replica that may get no
	// answer: some while a leader is elected, and one on each silent connection.
	maxUnanswered = 8
)

// startClusterBehindProxies starts a cluster whose replicas reach each other through
// proxies.
func startClusterBehindProxies(t *testing.T) (c *cluster, proxies []*faultproxy.Proxy) {
	t.Helper()
	c = &cluster{t: t, pool: link.NewPool(link.Security{})}
	t.Cleanup(c.pool.Close)
	for i := range 3 {
		n := c.addNode(filepath.Join(t.TempDir(), string(rune('a'+i))))
		proxy, err := faultproxy.New(n.port.Address(), 1)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(proxy.Close)
		n.address = proxy.Address()
		c.peers, proxies = append(c.peers, n.address), append(proxies, proxy)
	}
	for i := range c.nodes {
		c.start(i)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
	})
	return c, proxies
}

// Guards against forwarded calls that fail for good because the connections between the
// replicas have fallen silent, while new ones work.
func TestForwardedCallsSurviveSilentConnections(t *testing.T) {
	c, proxies := startClusterBehindProxies(t)
	direct := link.NewPool(link.Security{})
	t.Cleanup(direct.Close)
	read := func(i int) error {
		conn, err := direct.Get(c.nodes[i].port.Address())
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(t.Context(), clientTimeout)
		defer cancel()
		_, err = wire.NewOperatorClient(conn).Read(ctx, &wire.ReadRequest{OperatorKey: operatorKey})
		return err
	}
	for i := range c.nodes {
		c.await("answer before", func() bool { return read(i) == nil })
	}
	for _, proxy := range proxies {
		if proxy.BlackholeConnections(faultproxy.Both) == 0 {
			t.Fatal("no open connection")
		}
	}
	for i := range c.nodes {
		unanswered := 0
		c.await("answer through each replica", func() bool {
			err := read(i)
			if status.Code(err) == codes.DeadlineExceeded {
				unanswered++
			}
			return err == nil
		})
		t.Logf("replica %d: %d calls without an answer", i, unanswered)
		if unanswered > maxUnanswered {
			t.Errorf("%d calls through replica %d got no answer, want at most %d", unanswered, i, maxUnanswered)
		}
	}
}
