// Package controlclient asks the control replicas in turn.
package controlclient

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
)

// Client calls one replica at a time. A call that fails moves on to the next
// replica for the next call; nothing is resent by the client.
type Client struct {
	pool      *link.Pool
	addresses []string
	at        atomic.Uint64
}

// New returns a client of the replicas.
func New(pool *link.Pool, addresses []string) *Client {
	return &Client{pool: pool, addresses: addresses}
}

// call runs do on the replica in use. A call that timed out may have hit a
// silent connection, so the connection is replaced.
func (c *Client) call(ctx context.Context, do func(*grpc.ClientConn) error) error {
	if len(c.addresses) == 0 {
		return fault.New(fault.NotCurrent, "no control address is set")
	}
	at := c.at.Load()
	address := c.addresses[at%uint64(len(c.addresses))]
	conn, err := c.pool.Get(address)
	if err != nil {
		return err
	}
	err = do(conn)
	if err == nil {
		return nil
	}
	c.at.CompareAndSwap(at, at+1)
	if ctx.Err() == context.DeadlineExceeded {
		c.pool.Replace(address, conn)
	}
	return err
}

// next moves on after an answer that only another replica can better.
func (c *Client) next() { c.at.Add(1) }

// Acquire asks for the lease of an endpoint.
func (c *Client) Acquire(ctx context.Context, request *wire.GateLeaseRequest) (response *wire.GateLeaseResponse, err error) {
	err = c.call(ctx, func(conn *grpc.ClientConn) error {
		response, err = wire.NewGateLeasesClient(conn).Acquire(ctx, request)
		return err
	})
	if err == nil && response.Failure != nil {
		c.next()
		return nil, fault.FromWire(response.Failure)
	}
	return response, err
}

// Done reports the result of an order.
func (c *Client) Done(ctx context.Context, request *wire.OrderDoneRequest) error {
	return c.call(ctx, func(conn *grpc.ClientConn) error {
		response, err := wire.NewOrderReportsClient(conn).Done(ctx, request)
		if err != nil {
			return err
		}
		if response.Failure != nil {
			c.next()
			return fault.FromWire(response.Failure)
		}
		return nil
	})
}

// syncPeer is a neighbour that serves the configuration.
type syncPeer struct {
	pool    *link.Pool
	address string
}

// Peers returns the neighbours at the addresses, in their order.
func Peers(pool *link.Pool, addresses []string) []configsync.Peer {
	var peers []configsync.Peer
	for _, address := range addresses {
		peers = append(peers, &syncPeer{pool: pool, address: address})
	}
	return peers
}

// Sync asks the neighbour; a connection that stays silent is replaced.
func (p *syncPeer) Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	conn, err := p.pool.Get(p.address)
	if err != nil {
		return nil, err
	}
	response, err := wire.NewConfigClient(conn).Sync(ctx, request)
	if err != nil && ctx.Err() == context.DeadlineExceeded {
		p.pool.Replace(p.address, conn)
	}
	return response, err
}
