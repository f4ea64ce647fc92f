package triallink

import (
	"context"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/linkproxy"
	"google.golang.org/grpc"
)

// Guards against callers that leave early and so hide from each other that the connection
// to the granter is silent.
func TestCallersThatLeaveDoNotHideASilentConnection(t *testing.T) {
	var granter string
	newGuard := func(self string, calls quarantine.Calls) *quarantine.Guard {
		processes := func() []*wire.ProcessRecord { return []*wire.ProcessRecord{{Address: granter, Entry: true}} }
		return quarantine.NewGuard(self, quarantine.NewTracker(monotonic.Now), processes, calls, monotonic.Now)
	}
	proxy := linkproxy.Serve(t, func(address string) *grpc.Server {
		granter = address
		server := link.NewServer(link.Security{})
		wire.RegisterTrialsServer(server, NewServer(newGuard(granter, nil)))
		return server
	})
	pool := link.NewPool(link.Security{})
	t.Cleanup(pool.Close)
	asker := newGuard("127.0.0.1:1", NewCalls(pool))
	linkproxy.Silence(t, pool, proxy, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := wire.NewTrialsClient(conn).Take(ctx, &wire.TrialRequest{Parts: []uint64{1}, LastsMs: 60_000}, grpc.WaitForReady(true))
		return err
	})
	linkproxy.CheckReplacedByShortCallers(t, proxy, func(ctx context.Context) bool {
		lease, _ := asker.Take(ctx, "s", []uint64{2}, time.Minute)
		return lease != nil || ctx.Err() == nil
	})
}
