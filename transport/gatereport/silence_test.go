package gatereport

import (
	"context"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
	"github.com/apricotspoke/apricotspoke/trials/linkproxy"
	"google.golang.org/grpc"
)

const (
	awaitTimeout = 30 * time.Second // far longer than a passing run takes
	// maxLost is the number of reports that may be lost on a silent connection: those of
	// silenceTimeout, and as many again for the next stream.
	maxLost = 4 * maxSilentIntervals
)

// entry records the sequence numbers of the reports that reach it.
type entry struct {
	wire.UnimplementedAnnounceServer
	sequences chan uint64
}

// Reports implements wire.AnnounceServer.
func (e *entry) Reports(stream wire.Announce_ReportsServer) error {
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		e.sequences <- report.Sequence
		if err := stream.Send(&wire.ReportAck{Sequence: report.Sequence}); err != nil {
			return err
		}
	}
}

func (e *entry) next(t *testing.T) uint64 {
	t.Helper()
	select {
	case sequence := <-e.sequences:
		return sequence
	case <-time.After(awaitTimeout):
		t.Fatal("no report arrives")
		return 0
	}
}

// Guards against a gate whose reports an entry no longer gets because the connection has
// fallen silent: the entry would choose other endpoints for good.
func TestReportsGoOnAfterASilentConnection(t *testing.T) {
	e := &entry{sequences: make(chan uint64, 1000)}
	proxy := linkproxy.Serve(t, func(string) *grpc.Server {
		server := link.NewServer(link.Security{})
		wire.RegisterAnnounceServer(server, e)
		return server
	})
	pool := link.NewPool(link.Security{})
	t.Cleanup(pool.Close)
	g := gate.New(gate.Options{DataCentre: "dc", Address: "gate", Configuration: configsync.NewStore()})
	if err := g.Announce(gate.EndpointInfo{Endpoint: "e1", Address: "127.0.0.1:1", Service: "s", BootID: "b", MemoryTokens: 1000, Concurrency: 1, ColdConcurrency: 1, PrefillTokensPerSecond: 1}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go NewSender(g, pool, []string{proxy.Address()}, nil).Run(ctx)
	last := e.next(t)
	for range 2 {
		if proxy.BlackholeConnections(faultproxy.Both) == 0 {
			t.Fatal("no open connection")
		}
		last = max(last, drain(e.sequences))
		next := e.next(t)
		if lost := next - last - 1; lost > maxLost {
			t.Errorf("%d reports were lost, want %d at most", lost, maxLost)
		}
		last = next
	}
}

// drain returns the last number that has arrived, 0 without one.
func drain(sequences <-chan uint64) (last uint64) {
	for {
		select {
		case last = <-sequences:
		default:
			return last
		}
	}
}
