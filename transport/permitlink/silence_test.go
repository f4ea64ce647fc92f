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
	"github.com/apricotspoke/apricotspoke/trials/linkproxy"
	"google.golang.org/grpc"
)

const perSecond = 1e6

// Guards against callers that leave early and so hide from each other that the connection
// to the issuer is silent.
func TestCallersThatLeaveDoNotHideASilentConnection(t *testing.T) {
	var issuer string
	newPermits := func(self string, ask permits.Ask) *permits.Permits {
		processes := func() []*wire.ProcessRecord { return []*wire.ProcessRecord{{Address: issuer, Entry: true}} }
		return permits.New(self, placement.NewScheduler(time.Now), processes, ask, monotonic.Now)
	}
	proxy := linkproxy.Serve(t, func(address string) *grpc.Server {
		issuer = address
		server := link.NewServer(link.Security{})
		wire.RegisterPermitsServer(server, NewServer(newPermits(issuer, nil)))
		return server
	})
	pool := link.NewPool(link.Security{})
	t.Cleanup(pool.Close)
	asker := newPermits("127.0.0.1:1", NewAsk(pool))
	linkproxy.Silence(t, pool, proxy, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		_, err := wire.NewPermitsClient(conn).Take(ctx, &wire.PermitRequest{Endpoint: key}, grpc.WaitForReady(true))
		return err
	})
	linkproxy.CheckReplacedByShortCallers(t, proxy, func(ctx context.Context) bool {
		granted, _ := asker.Take(ctx, &directory.Endpoint{Key: key}, perSecond)
		return granted
	})
}
