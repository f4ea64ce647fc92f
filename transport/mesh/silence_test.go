package mesh

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
	"google.golang.org/grpc"
)

// startBehindProxy starts an entry a, and an entry b that reaches it through a proxy, and
// waits until a knows work of b.
func startBehindProxy(t *testing.T) (a, b *node, proxy *faultproxy.Proxy) {
	t.Helper()
	a = start(t, "a", 1)
	proxy, err := faultproxy.New(a.address, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	dial := func(address string) (*grpc.ClientConn, error) {
		if address == a.address {
			address = proxy.Address()
		}
		return link.Dial(address, link.Security{})
	}
	b = startWith(t, loopback.KeepFor(t), &wire.ProcessRecord{Name: "b", Incarnation: 2, Entry: true}, dial, a.address)
	waitUntil(t, "they know each other", func() bool { return a.mesh.EntryCount() == 2 && b.mesh.EntryCount() == 2 })
	b.directory.Announce(&wire.EndpointRecord{Id: "e1", BornMs: 1, Sequence: 1, Service: "s", Address: "10.0.0.1:80"})
	b.scheduler.Choose(b.directory.Endpoints("s"), &placement.Request{
		Service: &catalogue.Service{Name: "s"}, TimeLimit: time.Hour, CallerTimeout: time.Second, Excluded: func(*directory.Endpoint) bool { return false },
	})
	waitUntil(t, "the work is known", func() bool { return a.scheduler.Stats().Remote == 1 })
	return a, b, proxy
}

// Guards against the work of an entry whose host has lost power: nobody ends its stream.
func TestWorkOfASilentEntryIsRemoved(t *testing.T) {
	a, b, proxy := startBehindProxy(t)
	proxy.Partition()
	b.stop()
	waitUntil(t, "the work is removed", func() bool { return a.scheduler.Stats().Remote == 0 })
}

// Guards against a link that is kept although its connection is silent and new ones work.
func TestSilentLinkIsReplaced(t *testing.T) {
	a, b, proxy := startBehindProxy(t)
	if proxy.BlackholeConnections(faultproxy.Both) == 0 {
		t.Fatal("no open connection")
	}
	b.directory.Announce(&wire.EndpointRecord{Id: "e2", BornMs: 1, Sequence: 1, Service: "s", Address: "10.0.0.2:80"})
	if err := b.mesh.AwaitDelivery(t.Context()); err == nil && a.directory.CountEndpoints() != 2 {
		t.Error("news that nobody knows was confirmed")
	}
	waitUntil(t, "the news arrives", func() bool { return a.directory.CountEndpoints() == 2 })
	waitUntil(t, "the link is up and the work known", func() bool { return b.mesh.Stats().LinksUp == 1 && a.scheduler.Stats().Remote == 1 })
}
