package control

import (
	"context"
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/coordination/connections"
	"github.com/apricotspoke/apricotspoke/coordination/quota"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/machine"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"google.golang.org/grpc"
)

const (
	proposeTimeout  = 3 * time.Second        // for one proposal, barrier or forwarded call
	confirmInterval = 250 * time.Millisecond // between confirmations that the configuration is current
)

// Options are the dependencies of the control services.
type Options struct {
	Process *wire.ProcessInfo
	Replica Replica
	Machine *machine.Machine
	Store   *configsync.Store
	// Connections are those to the other processes of the fleet.
	Connections connections.Pool
	// OperatorKeyHash is the SHA-256 of the operators' key.
	OperatorKeyHash [sha256.Size]byte
}

// Service implements the gRPC services of one control replica.
type Service struct {
	Options
	log      *logs.Logger
	liveness *liveness
	// confirmed is the last confirmation of this replica's leadership.
	confirmed  atomic.Pointer[leadershipProof]
	gateLeases *gateLeases
	quotas     struct {
		mu          sync.Mutex
		leaderSince time.Time // start of the leadership that the ledger belongs to
		ledger      *quota.Ledger
		revision    uint64 // of the configuration whose contracts all have an account
	}
}

// New returns the services. Register adds them to a server, and Run keeps the
// configuration current.
func New(options Options) *Service {
	return &Service{
		Options:    options,
		log:        logs.For("control"),
		liveness:   newLiveness(),
		gateLeases: newGateLeases(),
	}
}

// Register adds the services of the control role to a server, except those that
// Announce and Config return.
func (s *Service) Register(server grpc.ServiceRegistrar) {
	wire.RegisterOperatorServer(server, &operatorServer{Service: s})
	wire.RegisterClaimsServer(server, &claimsServer{Service: s})
	wire.RegisterQuotasServer(server, &quotasServer{Service: s})
	wire.RegisterGateLeasesServer(server, &gateLeasesServer{Service: s})
	wire.RegisterOrderReportsServer(server, &orderReportsServer{Service: s})
}

// propose commits a command and returns the state machine's response.
func propose[R any](ctx context.Context, s *Service, command *wire.Command) (R, error) {
	var none R
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := s.Replica.Propose(ctx, command)
	if err != nil {
		return none, err
	}
	response, ok := result.(R)
	if !ok {
		err, _ := result.(error)
		return none, err
	}
	return response, nil
}
