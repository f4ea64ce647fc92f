// Package controllink is the client of the control replicas, which hold the replicated
// state of the fleet, and exchanges the configuration with other processes of the fleet.
package controllink

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/connections"
	"github.com/apricotspoke/apricotspoke/coordination/rendezvous"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

// Time limits of a call to one replica, after which the next replica is tried. A smaller
// limit gives up on slow replicas sooner, a larger one delays the switch from a dead one.
// Claims, settlements and reports of orders wait until a quorum has written to disk.
// Quota leases are not written to the log, nor are renewals of gate leases. leaseTimeout
// also applies when a gate acquires a lease, although that waits for a quorum too.
const (
	quorumWriteTimeout = 700 * time.Millisecond
	leaseTimeout       = 300 * time.Millisecond
)

// Client calls the control replicas one after another until one answers. Every call may
// be sent again: a claim and its settlement name their attempt, a result names its order,
// and a lease whose grant was lost expires.
type Client struct {
	pool      *link.Pool
	addresses []string
	preferred atomic.Uint64
}

// NewClient returns a client of the replicas at the addresses.
func NewClient(pool *link.Pool, addresses []string) *Client {
	return &Client{pool: pool, addresses: addresses}
}

// Claim requests the right to run a non-repeatable request.
func (c *Client) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return callReplicas(ctx, c, quorumWriteTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (*wire.ClaimResponse, error) {
		return wire.NewClaimsClient(conn).Claim(ctx, request)
	})
}

// Settle records the outcome of an attempt.
func (c *Client) Settle(ctx context.Context, request *wire.SettleRequest) (*wire.SettleResponse, error) {
	return callReplicas(ctx, c, quorumWriteTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (*wire.SettleResponse, error) {
		return wire.NewClaimsClient(conn).Settle(ctx, request)
	})
}

// Lease requests shares of the contracts' quotas, which an entry then spends locally. The
// response may have a failure in place of grants.
func (c *Client) Lease(ctx context.Context, request *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	return callReplicas(ctx, c, leaseTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (*wire.LeaseResponse, error) {
		return wire.NewQuotasClient(conn).Lease(ctx, request)
	})
}

// Acquire requests the lease of an endpoint for a gate, or renews it, so that an endpoint
// has at most one gate. A failure in the response is returned as an error. A response
// without a held lease is no error: it says when to ask again.
func (c *Client) Acquire(ctx context.Context, request *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error) {
	response, err := callReplicas(ctx, c, leaseTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (*wire.GateLeaseResponse, error) {
		return wire.NewGateLeasesClient(conn).Acquire(ctx, request)
	})
	if err == nil && response.Failure != nil {
		return nil, fault.FromWire(response.Failure)
	}
	return response, err
}

// Done reports the start or the result of an operator's order. The caller may change the
// request afterwards.
func (c *Client) Done(ctx context.Context, request *wire.OrderDoneRequest) error {
	request = proto.CloneOf(request) // a call that ctx has ended may still send it
	response, err := callReplicas(ctx, c, quorumWriteTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (*wire.OrderDoneResponse, error) {
		return wire.NewOrderReportsClient(conn).Done(ctx, request)
	})
	if err != nil {
		return err
	}
	return fault.FromWire(response.Failure)
}

// failureResponse is a response that may carry a failure in place of a result.
type failureResponse interface{ GetFailure() *wire.Failure }

var errNoReplica = errors.New("no control replica is configured; set --control")

// callReplicas calls the replicas in turn until one answers, each has been tried, or ctx
// ends. It starts with the replica that answered most recently, at first with the first
// one. The timeout applies to each replica. If none answers, it returns the result of the
// last one tried, which may be a response with a failure such as NotLeader and no error.
func callReplicas[T failureResponse](ctx context.Context, c *Client, timeout time.Duration, call func(context.Context, grpc.ClientConnInterface) (T, error)) (T, error) {
	var response T
	err := errNoReplica
	for range c.addresses {
		current := c.preferred.Load()
		response, err = callReplica(ctx, c, c.addresses[current%uint64(len(c.addresses))], timeout, call)
		if err == nil && !otherReplicaMayAnswer(response.GetFailure()) {
			return response, nil
		}
		if ctx.Err() != nil {
			break
		}
		c.preferred.CompareAndSwap(current, current+1)
	}
	return response, err
}

// otherReplicaMayAnswer reports whether another replica may be able to answer.
func otherReplicaMayAnswer(f *wire.Failure) bool {
	switch fault.Kind(f.GetKind()) {
	case fault.NotLeader, fault.NotCurrent, fault.OutcomeUnknown:
		return true
	}
	return false
}

// callReplica calls one replica. Whoever ends ctx, a connection is replaced when the call's
// own time has run out.
func callReplica[T any](ctx context.Context, c *Client, address string, timeout time.Duration, call func(context.Context, grpc.ClientConnInterface) (T, error)) (T, error) {
	return rendezvous.Ask(ctx, timeout, func(ctx context.Context) (T, error) {
		return connections.Call(c.pool, address, func(conn grpc.ClientConnInterface) (T, error) { return call(ctx, conn) })
	})
}
