package control

import (
	"context"
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/coordination/quota"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/machine"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"google.golang.org/grpc"
)

const (
	proposeTimeout = 3 * time.Second        // longest wait for a quorum
	feedInterval   = 250 * time.Millisecond // between proofs that the configuration is current
)

// Options are what the services are built on.
type Options struct {
	Process *wire.ProcessInfo
	Replica Replica
	Machine *machine.Machine
	Store   *configsync.Store
	// Dial returns a connection to another process of the fleet.
	Dial func(address string) (grpc.ClientConnInterface, error)
	// OperatorKeyHash is the SHA-256 of the operators' key.
	OperatorKeyHash [sha256.Size]byte
}

// Service holds the services of one control replica.
type Service struct {
	Options
	log  *logs.Logger
	seen *seen
	// confirmed is the last proof of this replica's leadership.
	confirmed atomic.Pointer[leadership]
	gates     *gateLeases
	quotas    struct {
		mu          sync.Mutex
		leaderSince time.Time // of the leadership that the ledger belongs to
		ledger      *quota.Ledger
		revision    uint64 // whose contracts all have an account
	}
}

// New returns the services; Register makes them reachable and Run keeps the
// configuration current.
func New(options Options) *Service {
	return &Service{
		Options: options,
		log:     logs.For("control"),
		seen:    newSeen(),
		gates:   newGateLeases(),
	}
}

// Register adds every service of the control role to a server, Config included.
func (s *Service) Register(server grpc.ServiceRegistrar) {
	wire.RegisterOperatorServer(server, &operatorServer{Service: s})
	wire.RegisterClaimsServer(server, &claimsServer{Service: s})
	wire.RegisterQuotasServer(server, &quotasServer{Service: s})
	wire.RegisterGateLeasesServer(server, &gateLeasesServer{Service: s})
	wire.RegisterOrderReportsServer(server, &orderReportsServer{Service: s})
}

// propose commits a command and returns the machine's response to it.
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
