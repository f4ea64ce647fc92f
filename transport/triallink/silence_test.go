package triallink

import (
	"context"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

const (
	shortCaller = 20 * time.Millisecond // after which a caller leaves
	callers     = 40
	opening     = 1000 // calls that may fail while the connection is opened
)

// startPair returns the guard of an entry whose granter answers behind a proxy.
func startPair(t *testing.T) (*quarantine.Guard, *faultproxy.Proxy) {
	t.Helper()
	listener := loopback.Listen(t)
	proxy, err := faultproxy.New(listener.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	processes := func() []*wire.ProcessRecord { return []*wire.ProcessRecord{{Address: proxy.Address(), Entry: true}} }
	newGuard := func(self string, calls quarantine.Calls) *quarantine.Guard {
		return quarantine.NewGuard(self, quarantine.NewTracker(monotonic.Now), processes, calls, monotonic.Now)
	}
	server := link.NewServer(link.Security{})
	wire.RegisterTrialsServer(server, NewServer(newGuard(proxy.Address(), nil)))
	go func() { _ = server.Serve(listener) }() // ends when the server is stopped
	pool := link.NewPool(link.Security{})
	t.Cleanup(func() {
		pool.Close()
		server.Stop()
		proxy.Close()
	})
	return newGuard("127.0.0.1:1", NewCalls(pool)), proxy
}

// Guards against callers that leave early and so hide from each other that the connection
// to the granter is silent.
func TestCallersThatLeaveDoNotHideASilentConnection(t *testing.T) {
	asker, proxy := startPair(t)
	for range opening {
		if lease, _ := asker.Take(t.Context(), "s", []uint64{1}, time.Minute); lease != nil && proxy.Accepted() > 0 {
			break
		}
	}
	if proxy.BlackholeConnections(faultproxy.Both) == 0 {
		t.Fatal("no open connection")
	}
	before, unanswered := proxy.Accepted(), 0
	for proxy.Accepted() == before && unanswered < callers {
		ctx, cancel := context.WithCancel(t.Context())
		leave := time.AfterFunc(shortCaller, cancel)
		if lease, _ := asker.Take(ctx, "s", []uint64{2}, time.Minute); lease == nil && ctx.Err() != nil {
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
