//go:build prove

package prove

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/cluster"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const callTimeout = 5 * time.Second

// internalCall is a gRPC call that only processes of the fleet may make.
type internalCall struct {
	name string
	call func(context.Context, grpc.ClientConnInterface) error
}

func internalCalls() []internalCall {
	return []internalCall{
		{"read configuration", func(ctx context.Context, c grpc.ClientConnInterface) error {
			_, err := wire.NewConfigClient(c).Sync(ctx, &wire.SyncRequest{})
			return err
		}},
		{"claim", func(ctx context.Context, c grpc.ClientConnInterface) error {
			_, err := wire.NewClaimsClient(c).Claim(ctx, &wire.ClaimRequest{Organisation: "prover", Key: "stolen"})
			return err
		}},
		{"lease quota", func(ctx context.Context, c grpc.ClientConnInterface) error {
			_, err := wire.NewQuotasClient(c).Lease(ctx, &wire.LeaseRequest{Entry: "intruder"})
			return err
		}},
		{"lease an endpoint", func(ctx context.Context, c grpc.ClientConnInterface) error {
			_, err := wire.NewGateLeasesClient(c).Acquire(ctx, &wire.GateLeaseRequest{Endpoint: "stolen", GateInstance: "intruder"})
			return err
		}},
		{"report an order", func(ctx context.Context, c grpc.ClientConnInterface) error {
			_, err := wire.NewOrderReportsClient(c).Done(ctx, &wire.OrderDoneRequest{Endpoint: "stolen"})
			return err
		}},
		{"announce", announce},
	}
}

func announce(ctx context.Context, c grpc.ClientConnInterface) error {
	reports, err := wire.NewAnnounceClient(c).Reports(ctx)
	if err != nil {
		return err
	}
	report := &wire.GateReport{Sequence: 1, Endpoint: "stolen", Models: []string{model}, Ready: true}
	if err := reports.Send(report); err != nil {
		_, err = reports.Recv()
		return err
	}
	_, err = reports.Recv()
	return err
}

// TestFleetWithCredentials runs a fleet in which each process has a certificate.
// A client without TLS and one with the certificate of another authority must fail
// to make any internal call.
func TestFleetWithCredentials(t *testing.T) {
	authority, foreign := newAuthority(t), newAuthority(t)
	f := startFleetWith(t, cluster.Options{
		Authority: authority,
		Endpoints: []cluster.EndpointOptions{engineOptions("engine1", "dc1"), bookingOptions("dc3")},
	})
	f.completeWithin(serveTimeout, 1, "secured", 8)
	f.requireBookedOnce("secured-visit")
	f.issue("engine1", "m3")
	f.awaitOrders("engine1", 1)
	for _, c := range []struct {
		name     string
		security link.Security
		admitted bool
	}{
		{"plain text", link.Security{}, false},
		{"another authority", f.credentials(foreign), false},
		{"the fleet's authority", f.credentials(authority), true},
	} {
		for _, address := range []string{f.Controls[0].Address, f.Entries[0].Address, f.Endpoints[0].Agent.Address} {
			f.tryCalls(c.name, address, c.security, c.admitted)
		}
	}
	out, err := f.Ctl(t.Context(), "endpoint", "list")
	f.must(err)
	if strings.Contains(out, "stolen") {
		t.Errorf("an endpoint was announced without credentials:\n%s", out)
	}
	f.checkInvariants()
}

// tryCalls makes each call at an address. Not every role serves every call, so an
// admitted client makes only the first, reading the configuration, which must
// succeed.
func (f *fixture) tryCalls(name, address string, security link.Security, admitted bool) {
	f.t.Helper()
	conn, err := link.Dial(address, security)
	f.must(err)
	defer conn.Close()
	for _, c := range internalCalls() {
		ctx, cancel := context.WithTimeout(f.t.Context(), callTimeout)
		err := c.call(ctx, conn)
		cancel()
		switch {
		case !admitted && status.Code(err) != codes.Unavailable: // a connection was established
			f.t.Errorf("%s: %s at %s was not rejected: %v", name, c.name, address, err)
		case admitted && err != nil && c.name == "read configuration":
			f.t.Errorf("%s: %s at %s: %v", name, c.name, address, err)
		}
		if admitted {
			break
		}
	}
}

func newAuthority(t *testing.T) *cluster.Authority {
	t.Helper()
	folder, err := os.MkdirTemp("", "apricotspoke-authority-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folder) })
	authority, err := cluster.NewAuthority(folder)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func (f *fixture) credentials(authority *cluster.Authority) link.Security {
	f.t.Helper()
	files, err := authority.Issue("tester")
	f.must(err)
	security, err := link.LoadSecurity(files)
	f.must(err)
	return security
}
