// Package permitlink carries requests for permits between the entries.
package permitlink

import (
	"context"

	"github.com/apricotspoke/apricotspoke/coordination/connections"
	"github.com/apricotspoke/apricotspoke/coordination/permits"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"google.golang.org/grpc"
)

// Server answers the requests of other entries. It implements wire.PermitsServer.
type Server struct {
	wire.UnimplementedPermitsServer
	permits *permits.Permits
}

// NewServer returns a server that issues the permits of p.
func NewServer(p *permits.Permits) *Server { return &Server{permits: p} }

// Take implements wire.PermitsServer.
func (s *Server) Take(_ context.Context, q *wire.PermitRequest) (*wire.PermitResponse, error) {
	return s.permits.Answer(q), nil
}

// NewAsk returns the function that sends requests to other entries over a pool's
// connections.
func NewAsk(pool *link.Pool) permits.Ask {
	return func(ctx context.Context, address string, q *wire.PermitRequest) (*wire.PermitResponse, error) {
		return connections.Call(pool, address, func(conn grpc.ClientConnInterface) (*wire.PermitResponse, error) {
			return wire.NewPermitsClient(conn).Take(ctx, q)
		})
	}
}
