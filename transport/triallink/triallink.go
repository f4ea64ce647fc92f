// Package triallink carries the calls for leases of requests with suspect parts between
// the entries.
package triallink

import (
	"context"

	"github.com/apricotspoke/apricotspoke/coordination/connections"
	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"google.golang.org/grpc"
)

// Server answers the calls of other entries. It implements wire.TrialsServer.
type Server struct {
	wire.UnimplementedTrialsServer
	guard *quarantine.Guard
}

// NewServer returns a server that grants the leases of g.
func NewServer(g *quarantine.Guard) *Server { return &Server{guard: g} }

// Take implements wire.TrialsServer.
func (s *Server) Take(_ context.Context, q *wire.TrialRequest) (*wire.TrialResponse, error) {
	return s.guard.Answer(q), nil
}

// End implements wire.TrialsServer.
func (s *Server) End(_ context.Context, q *wire.TrialEnd) (*wire.TrialEnded, error) {
	s.guard.AnswerEnd(q)
	return &wire.TrialEnded{}, nil
}

// Calls sends calls to other entries over a pool's connections. It implements
// quarantine.Calls.
type Calls struct{ pool *link.Pool }

// NewCalls returns the calls over a pool.
func NewCalls(pool *link.Pool) *Calls { return &Calls{pool: pool} }

// Take implements quarantine.Calls.
func (c *Calls) Take(ctx context.Context, address string, q *wire.TrialRequest) (*wire.TrialResponse, error) {
	return connections.Call(c.pool, address, func(conn grpc.ClientConnInterface) (*wire.TrialResponse, error) {
		return wire.NewTrialsClient(conn).Take(ctx, q)
	})
}

// End implements quarantine.Calls.
func (c *Calls) End(ctx context.Context, address string, q *wire.TrialEnd) error {
	_, err := connections.Call(c.pool, address, func(conn grpc.ClientConnInterface) (*wire.TrialEnded, error) {
		return wire.NewTrialsClient(conn).End(ctx, q)
	})
	return err
}
