// Package controllink calls the control replicas and exchanges configuration
// with neighbours.
package controllink

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Bounds of a call to one replica, so that a silent one is left for the next. A
// claim waits for a quorum's disks, a lease does not.
const (
	claimTimeout = 700 * time.Millisecond
	leaseTimeout = 300 * time.Millisecond
)

// Client calls whichever replica answers. All its calls may be repeated: a
// claim and its settlement name their attempt, a result names its order, and a
// lost lease only lapses.
type Client struct {
	pool      *link.Pool
	addresses []string
	preferred atomic.Uint64
}

// NewClient returns a client of the replicas at the addresses.
func NewClient(pool *link.Pool, addresses []string) *Client {
	return &Client{pool: pool, addresses: addresses}
}

// Claim asks for the right to run a non-repeatable request.
func (c *Client) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return try(ctx, c, claimTimeout, func(ctx context.Context, conn *grpc.ClientConn) (*wire.ClaimResponse, error) {
		return wire.NewClaimsClient(conn).Claim(ctx, request)
	})
}

// Settle records what became of an attempt.
func (c *Client) Settle(ctx context.Context, request *wire.SettleRequest) (*wire.SettleResponse, error) {
	return try(ctx, c, claimTimeout, func(ctx context.Context, conn *grpc.ClientConn) (*wire.SettleResponse, error) {
		return wire.NewClaimsClient(conn).Settle(ctx, request)
	})
}

// Lease asks for parts of contracts.
func (c *Client) Lease(ctx context.Context, request *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	return try(ctx, c, leaseTimeout, func(ctx context.Context, conn *grpc.ClientConn) (*wire.LeaseResponse, error) {
		return wire.NewQuotasClient(conn).Lease(ctx, request)
	})
}

// Acquire asks for the lease of an endpoint.
func (c *Client) Acquire(ctx context.Context, request *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error) {
	response, err := try(ctx, c, leaseTimeout, func(ctx context.Context, conn *grpc.ClientConn) (*wire.GateLeaseResponse, error) {
		return wire.NewGateLeasesClient(conn).Acquire(ctx, request)
	})
	if err == nil && response.Failure != nil {
		return nil, fault.FromWire(response.Failure)
	}
	return response, err
}

// Done reports the start or the result of an order.
func (c *Client) Done(ctx context.Context, request *wire.OrderDoneRequest) error {
	response, err := try(ctx, c, claimTimeout, func(ctx context.Context, conn *grpc.ClientConn) (*wire.OrderDoneResponse, error) {
		return wire.NewOrderReportsClient(conn).Done(ctx, request)
	})
	if err != nil {
		return err
	}
	return fault.FromWire(response.Failure)
}

type failing interface{ GetFailure() *wire.Failure }

var errNoReplica = errors.New("no control replica is named in the settings")

func try[T failing](ctx context.Context, c *Client, timeout time.Duration, call func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	var response T
	err := errNoReplica
	for range c.addresses {
		at := c.preferred.Load()
		response, err = tryOne(ctx, c, c.addresses[at%uint64(len(c.addresses))], timeout, call)
		if err == nil && !elsewhere(response.GetFailure()) {
			return response, nil
		}
		if ctx.Err() != nil {
			break
		}
		c.preferred.CompareAndSwap(at, at+1)
	}
	return response, err
}

// elsewhere reports whether another replica may be able to answer.
func elsewhere(f *wire.Failure) bool {
	switch fault.Kind(f.GetKind()) {
	case fault.NotLeader, fault.NotCurrent, fault.OutcomeUnknown:
		return true
	}
	return false
}

func tryOne[T any](ctx context.Context, c *Client, address string, timeout time.Duration, call func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.pool.Get(address)
	if err != nil {
		var none T
		return none, err
	}
	response, err := call(ctx, conn)
	if status.Code(err) == codes.DeadlineExceeded {
		c.pool.Replace(address, conn) // it may have gone silent
	}
	return response, err
}
