package gateserver

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// ConfigServer hands the configuration on to neighbours.
type ConfigServer struct {
	wire.UnimplementedConfigServer
	store *configsync.Store
}

// NewConfigServer returns a server of the store.
func NewConfigServer(store *configsync.Store) *ConfigServer { return &ConfigServer{store: store} }

// Sync answers with the configuration in force and its age.
func (s *ConfigServer) Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	response, err := s.store.Sync(ctx, request)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return response, nil
}
