package permitlink

import (
	"context"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/permits"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

const (
	shortCaller = 20 * time.Millisecond // after which a caller leaves
	perSecond   = 1e6
	callers     = 40
)

// startPair returns the permits of an entry whose issuer answers behind a proxy.
func startPair(t *testing.T) (*permits.Permits, *faultproxy.Proxy) {
	t.Helper()
	listener := loopback.Listen(t)
	proxy, err := faultproxy.New(listener.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	issuer := proxy.Address()
	processes := func() []*wire.ProcessRecord { return []*wire.ProcessRecord{{Address: issuer, Entry: true}} }
	server := link.NewServer(link.Security{})
	wire.RegisterPermitsServer(server, NewServer(permits.New(issuer, placement.NewScheduler(time.Now), processes, nil, monotonic.Now)))
	go func() { _ = server.Serve(listener) }() // ends when the server is stopped
	pool := link.NewPool(link.Security{})
	t.Cleanup(func() {
		pool.Close()
		server.Stop()
		proxy.Close()
	})
	asker := permits.New("127.0.0.1:1", placement.NewScheduler(time.Now), processes, NewAsk(pool), monotonic.Now)
	for granted := false; !granted; {
		granted, _ = asker.Take(t.Context(), &directory.Endpoint{Key: key}, perSecond)
	}
	return asker, proxy
}

// Guards against callers that leave early and so hide from each other that the connection
// to the issuer is silent.
func TestCallersThatLeaveDoNotHideASilentConnection(t *testing.T) {
	asker, proxy := startPair(t)
	if proxy.BlackholeConnections(faultproxy.Both) == 0 {
		t.Fatal("no open connection")
	}
	before, unanswered := proxy.Accepted(), 0
	for proxy.Accepted() == before && unanswered < callers {
		ctx, cancel := context.WithCancel(t.Context())
		leave := time.AfterFunc(shortCaller, cancel)
		if granted, _ := asker.Take(ctx, &directory.Endpoint{Key: key}, perSecond); !granted {
			unanswered++
		}
		leave.Stop()
		cancel()
		time.Sleep(time.Millisecond)
	}
	if proxy.Accepted() == before {
		t.Errorf("the silent connection is kept after %d callers that left", unanswered)
	}
}
