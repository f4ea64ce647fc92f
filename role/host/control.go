package host

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/controlplane"
	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/platform"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/state/hostconfig"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/transport/mesh"
	"github.com/apricotspoke/apricotspoke/transport/shortcall"
	"go.uber.org/dig"
	"google.golang.org/grpc"
)

const (
	leaveTimeout            = 2 * time.Second // for the control group to do without this replica at shutdown
	operatorHeaderTimeout   = 3 * time.Second // for an operator to send a request's headers
	operatorShutdownTimeout = time.Second     // for operators' running calls at shutdown
	maxOperatorHeaderBytes  = 16 << 10
)

// Control is a control process, which operators and endpoints call.
type Control struct {
	settings   *platform.Settings
	reloadable *hostconfig.Reloadable
	record     *wire.ProcessRecord
	mesh       *mesh.Mesh
	replica    *replica.Replica // nil without a data folder
	pool       *link.Pool       // for calls to other control processes
	service    *controlplane.Service
	metrics    *Metrics
	logger     *logs.Logger
}

// replicaAway is set in a control process that serves without the replica in its data
// folder, which can't be opened now.
type replicaAway bool

// NewControl wires a control process.
func NewControl(settings *platform.Settings, away replicaAway) (*Control, error) {
	container := newContainer(settings, controlKind)
	for _, constructor := range []any{func() replicaAway { return away }, newMachine, newAbsences, openReplica, newService, newControl} {
		if err := container.Provide(constructor); err != nil {
			return nil, err
		}
	}
	var c *Control
	err := container.Invoke(func(built *Control) { c = built })
	return c, dig.RootCause(err)
}

func newMachine(store *statecache.Store, decode catalogue.Decode) *catalogue.Machine {
	return catalogue.NewMachine(decode, func(s *catalogue.State) { store.Update(s, "log") })
}

// openReplica opens this host's replica of the control group. It returns nil for a
// process without a data folder, and while the replica is away.
func openReplica(p *hostconfig.Process, reloadable *hostconfig.Reloadable, away replicaAway, record *wire.ProcessRecord, m *catalogue.Machine, links *mesh.Mesh, dir *directory.Directory, absent *absences) (*replica.Replica, error) {
	if p.DataFolder == "" || bool(away) {
		return nil, nil
	}
	r, err := replica.Open(replica.Options{
		DataFolder:   p.DataFolder,
		Address:      record.Address,
		FindPeers:    func() ([]string, bool) { return otherVoters(dir, record.Address), links.SeedsSynced() },
		Bootstrap:    p.Found,
		StateMachine: m,
		MinVoters:    func() int { return reloadable.Get().Bounds.MinVoters() },
		Dial: func(address string) (grpc.ClientConnInterface, error) {
			return absent.dial(address)
		},
	})
	if err != nil {
		return nil, &reopenError{cause: err}
	}
	return r, nil
}

// newService creates the control plane. A group that had enough voters when this process
// opened its replica is no new one, even if it has lost some since.
func newService(p *hostconfig.Process, reloadable *hostconfig.Reloadable, record *wire.ProcessRecord, r *replica.Replica, m *catalogue.Machine, links *mesh.Mesh,
	store *statecache.Store, dir *directory.Directory, absent *absences, pool *link.Pool, registry *metrics.Registry) *controlplane.Service {
	established := r != nil && replica.CountVoters(r.Status().Members) >= reloadable.Get().Bounds.MinVoters()
	bootstrapVoters := func() int {
		if !p.Found || established {
			return 0
		}
		return max(reloadable.Get().Bounds.MinVoters(), 1+len(otherVoters(dir, record.Address)))
	}
	return controlplane.New(controlplane.Options{
		Address:         record.Address,
		Replica:         r,
		StateMachine:    m,
		Store:           store,
		Directory:       dir,
		Connections:     pool,
		PeerAddresses:   func() []string { return otherVoters(dir, record.Address) },
		SinceLastHeard:  func() map[string]time.Duration { return absent.addTo(links.Silence()) },
		AwaitDelivery:   links.AwaitDelivery,
		BootstrapVoters: bootstrapVoters,
		Metrics:         registry,
	})
}

// otherVoters returns the addresses of the other processes with a replica.
func otherVoters(dir *directory.Directory, self string) []string {
	var addresses []string
	for _, p := range dir.Processes() {
		if p.Votes && p.Address != self {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

func newControl(settings *platform.Settings, reloadable *hostconfig.Reloadable, record *wire.ProcessRecord, m *mesh.Mesh, r *replica.Replica, pool *link.Pool, s *controlplane.Service, metrics *Metrics, logger *logs.Logger) *Control {
	if r != nil {
		metrics.addReplica(r)
	}
	return &Control{settings: settings, reloadable: reloadable, record: record, mesh: m, replica: r, pool: pool, service: s, metrics: metrics, logger: logger}
}

// Run serves until ctx ends, an HTTP server fails or the replica ends. A failure of the
// link server while it serves doesn't end it.
func (c *Control) Run(ctx context.Context, reload <-chan struct{}) error {
	p := &c.settings.Process
	setMemoryLimit(p)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var calls sync.WaitGroup // that use the pool
	defer func() {
		stop()
		calls.Wait()
		c.pool.Close()
	}()
	linkServer, err := serveLinks(c.record.Address, func(s *grpc.Server) {
		wire.RegisterMeshServer(s, c.mesh)
		wire.RegisterSteeringServer(s, c.service.Server())
		if c.replica != nil {
			wire.RegisterPeerServer(s, c.replica)
		}
	})
	if err != nil {
		return err
	}
	defer linkServer.Stop()
	failed := make(chan error, 3) // one from each HTTP server
	metricsServer, err := c.metrics.serve(failed)
	if err != nil {
		return err
	}
	defer metricsServer.Close()
	server := shortcall.NewServer(platform.ControlPlaneHandler(p.OperatorAddress, c.service), operatorHeaderTimeout)
	server.MaxHeaderBytes = maxOperatorHeaderBytes
	if err := serveHTTP(p.OperatorAddress, server, failed); err != nil {
		return err
	}
	defer server.Close()
	go c.mesh.Run(background)
	calls.Go(func() { c.service.Run(background) })
	go watchSettings(background, c.settings, reload, c.reloadable, func(next *hostconfig.Process) { c.mesh.SetSeeds(seedLinkAddresses(next)) })
	replicaEnded := make(chan error, 1)
	if c.replica != nil {
		go func() { replicaEnded <- c.replica.Run(background) }()
	}
	c.logger.Info().Str("process", c.record.Name).Str("address", c.record.Address).Str("data_centre", p.DataCentre).
		Bool("found", p.Found).Bool("votes", c.record.Votes).Bool("replica", c.replica != nil).Strs("seeds", p.Seeds).Msg("Control has started.")
	select {
	case err = <-failed:
	case err = <-replicaEnded:
		err = &reopenError{replica: c.replica.ID(), cause: err}
	case <-c.service.Removed():
		stop()
		<-replicaEnded // it holds the data folder
		err = &reopenError{replica: c.replica.ID(), cause: errRemoved}
	case <-ctx.Done():
	}
	c.shutDown(server)
	c.logger.Info().Err(err).Msg("Control has stopped.")
	return err
}

// shutDown takes this replica out of the control group's decisions, so that the group does
// not depend on a process that ends, and waits for running calls for up to
// operatorShutdownTimeout.
func (c *Control) shutDown(server *http.Server) {
	c.leaveGroup()
	ctx, cancel := context.WithTimeout(context.Background(), operatorShutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		c.logger.Warn().Err(err).Msg("Operators' calls were interrupted by the shutdown.")
	}
}

// leaveGroup gives up the leadership and, if it can be spared, the vote of this replica.
func (c *Control) leaveGroup() {
	if c.replica == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	began := time.Now()
	err := c.replica.Leave(ctx)
	c.logger.Info().Str("replica", c.replica.ID()).Dur("after", time.Since(began)).
		Int("voters", replica.CountVoters(c.replica.Status().AppliedMembers)).Err(err).Msg("The control group was asked to go on without this replica.")
}
