package controllink

import (
	"context"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/coordination/connections"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// ConfigServer serves the configuration of a store to other processes.
type ConfigServer struct {
	wire.UnimplementedConfigServer
	store   *configsync.Store
	observe func(*wire.ProcessInfo)
}

// NewConfigServer returns a server of the store's configuration. It calls observe, which
// may be nil, with each process that asks.
func NewConfigServer(store *configsync.Store, observe func(*wire.ProcessInfo)) *ConfigServer {
	return &ConfigServer{store: store, observe: observe}
}

// Sync implements wire.ConfigServer.
func (s *ConfigServer) Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	if s.observe != nil && request.Process != nil {
		s.observe(request.Process)
	}
	response, err := s.store.Sync(ctx, request)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return response, nil
}

// ConfigPeer is another process that serves its configuration.
type ConfigPeer struct {
	pool    *link.Pool
	address string
}

// NewConfigPeer returns the peer at an address.
func NewConfigPeer(pool *link.Pool, address string) *ConfigPeer {
	return &ConfigPeer{pool: pool, address: address}
}

// NewConfigPeers returns the peers at the addresses, in the same order.
func NewConfigPeers(pool *link.Pool, addresses []string) []configsync.Peer {
	peers := make([]configsync.Peer, 0, len(addresses))
	for _, address := range addresses {
		peers = append(peers, NewConfigPeer(pool, address))
	}
	return peers
}

// Sync implements configsync.Peer.
func (p *ConfigPeer) Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	return connections.Call(p.pool, p.address, func(conn grpc.ClientConnInterface) (*wire.SyncResponse, error) {
		return wire.NewConfigClient(conn).Sync(ctx, request)
	})
}
