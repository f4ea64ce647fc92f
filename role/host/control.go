package host

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/controlplane"
	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/platform"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/state/hostconfig"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/transport/mesh"
	"go.uber.org/dig"
	"google.golang.org/grpc"
)

const (
	transferTimeout   = time.Second
	dataRetry         = time.Second     // between two openings of a data folder that fails
	operatorHeaders   = 3 * time.Second // to send the headers of a call
	operatorIdle      = time.Minute
	operatorShutdown  = time.Second
	maxOperatorHeader = 16 << 10
)

// dataFailure is the failure of the data folder: the replica on it must be
// opened anew, from what the disk holds.
type dataFailure struct{ cause error }

func (e *dataFailure) Error() string { return "the data folder failed: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *dataFailure) Unwrap() error { return e.cause }

// RunControl runs a control process until ctx ends. When its data folder fails,
// it begins anew after a pause, for as long as the disk takes.
func RunControl(ctx context.Context, settings *platform.Settings, hangup <-chan struct{}) error {
	wasMember := false
	for {
		c, err := NewControl(settings)
		if err == nil {
			err = c.Run(ctx, hangup)
		}
		var data *dataFailure
		if !errors.As(err, &data) || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, errRemoved) {
			wasMember = true
			if err := emptyFolder(settings.Process.DataFolder); err != nil {
				logs.For("control").Error().Err(err).Msg("The data folder of a removed replica can't be emptied.")
			}
		}
		logs.For("control").Error().Err(err).Dur("pause", dataRetry).Msg("The replica is opened again after a pause.")
		if !wait.For(ctx, dataRetry) {
			return nil
		}
		settings = settingsAgain(settings)
		settings.Process.Found = settings.Process.Found && !wasMember
	}
}

// settingsAgain reads the settings as a start does; the ones before stay when
// the file can't be read.
func settingsAgain(before *platform.Settings) *platform.Settings {
	next, err := platform.ReadSettings()
	if err != nil {
		logs.For("settings").Error().Err(err).Msg("The settings can't be read again; the earlier ones stay in force.")
		return before
	}
	next.Process.MetricsPort = before.Process.MetricsPort // of the command line
	return next
}

// errRemoved says that the replica in the data folder is no member any more.
var errRemoved = errors.New("the replica was removed from the group while it was away")

// emptyFolder removes the files of a replica that is no member any more.
func emptyFolder(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(folder, entry.Name())); err != nil {
			return err
		}
	}
	return nil
}

// Control is a process that operators and endpoints call.
type Control struct {
	settings *platform.Settings
	inForce  *hostconfig.Reloadable
	record   *wire.ProcessRecord
	mesh     *mesh.Mesh
	replica  *replica.Replica // nil without a disk
	steering *controlplane.Service
	metrics  *Metrics
	logger   *logs.Logger
}

// NewControl wires a control process.
func NewControl(settings *platform.Settings) (*Control, error) {
	container := common(settings, controlKind)
	for _, constructor := range []any{newMachine, openReplica, newSteering, newControl} {
		if err := container.Provide(constructor); err != nil {
			return nil, err
		}
	}
	var c *Control
	err := container.Invoke(func(built *Control) { c = built })
	return c, dig.RootCause(err)
}

func newMachine(store *statecache.Store) *catalogue.Machine {
	return catalogue.NewMachine(platform.DecodeConfiguration, func(s *catalogue.State) { store.Update(s, "log") })
}

// openReplica opens this host's replica of the control group, nil without a disk.
func openReplica(p *hostconfig.Process, record *wire.ProcessRecord, m *catalogue.Machine, links *mesh.Mesh, dir *directory.Directory) (*replica.Replica, error) {
	if p.DataFolder == "" {
		return nil, nil
	}
	r, err := replica.Open(replica.Options{
		DataFolder:   p.DataFolder,
		Address:      record.Address,
		FindPeers:    func() ([]string, bool) { return voters(dir, record.Address), links.SeedsSynced() },
		Bootstrap:    p.Found,
		StateMachine: m,
		Dial: func(address string) (grpc.ClientConnInterface, error) {
			return link.Dial(address, link.Security{})
		},
	})
	if err != nil {
		return nil, &dataFailure{cause: err}
	}
	return r, nil
}

func newSteering(p *hostconfig.Process, inForce *hostconfig.Reloadable, record *wire.ProcessRecord, r *replica.Replica, m *catalogue.Machine, links *mesh.Mesh,
	store *statecache.Store, dir *directory.Directory, pool *link.Pool, registry *metrics.Registry) *controlplane.Service {
	founding := func() int {
		if !p.Found {
			return 0
		}
		return max(inForce.Get().Bounds.MinVoters(), 1+len(voters(dir, record.Address)))
	}
	return controlplane.New(controlplane.Options{
		Address:            record.Address,
		Replica:            r,
		StateMachine:       m,
		Store:              store,
		Directory:          dir,
		Dial:               func(address string) (grpc.ClientConnInterface, error) { return pool.Get(address) },
		PeerAddresses:      func() []string { return voters(dir, record.Address) },
		SinceLastHeard:     links.Silence,
		BootstrapVoters:    founding,
		Metrics:            registry,
		MinReachableVoters: func() int { return inForce.Get().Bounds.MinVoters() },
	})
}

// voters lists the other processes that hold a replica.
func voters(dir *directory.Directory, self string) []string {
	var addresses []string
	for _, p := range dir.Processes() {
		if p.Votes && p.Address != self {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

func newControl(settings *platform.Settings, inForce *hostconfig.Reloadable, record *wire.ProcessRecord, m *mesh.Mesh, r *replica.Replica, s *controlplane.Service, metrics *Metrics, logger *logs.Logger) *Control {
	if r != nil {
		metrics.addReplica(r)
	}
	return &Control{settings: settings, inForce: inForce, record: record, mesh: m, replica: r, steering: s, metrics: metrics, logger: logger}
}

// Run serves until ctx ends.
func (c *Control) Run(ctx context.Context, hangup <-chan struct{}) error {
	p := &c.settings.Process
	limitMemory(p)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	links, err := serveLinks(c.record.Address, func(s *grpc.Server) {
		wire.RegisterMeshServer(s, c.mesh)
		wire.RegisterSteeringServer(s, c.steering.Server())
		if c.replica != nil {
			wire.RegisterPeerServer(s, c.replica)
		}
	})
	if err != nil {
		return err
	}
	defer links.Stop()
	failed := make(chan error, 3)
	measured, err := c.metrics.serve(failed)
	if err != nil {
		return err
	}
	defer measured.Close()
	server := &http.Server{
		Handler:           platform.ControlPlaneHandler(c.steering),
		ReadHeaderTimeout: operatorHeaders,
		IdleTimeout:       operatorIdle,
		MaxHeaderBytes:    maxOperatorHeader,
	}
	if err := serveHTTP(p.OperatorAddress, server, failed); err != nil {
		return err
	}
	defer server.Close()
	go c.mesh.Run(running)
	go c.steering.Run(running)
	go watchSettings(running, c.settings, hangup, c.inForce, func(next *hostconfig.Process) { c.mesh.SetSeeds(seedLinks(next)) })
	replicaEnded := make(chan error, 1)
	if c.replica != nil {
		go func() { replicaEnded <- c.replica.Run(running) }()
	}
	c.logger.Info().Str("process", c.record.Name).Str("address", c.record.Address).Str("data_centre", p.DataCentre).
		Bool("found", p.Found).Bool("votes", c.record.Votes).Strs("seeds", p.Seeds).Msg("Control has started.")
	select {
	case err = <-failed:
	case err = <-replicaEnded:
		err = &dataFailure{cause: err}
	case <-c.steering.Removed():
		err = &dataFailure{cause: errRemoved}
	case <-ctx.Done():
		c.leave(server)
	}
	c.logger.Info().Err(err).Msg("Control has stopped.")
	return err
}

// leave hands leadership over and lets running calls end.
func (c *Control) leave(server *http.Server) {
	if c.replica != nil && c.replica.Status().IsLeader {
		ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
		err := c.replica.TransferLeadership(ctx)
		cancel()
		c.logger.Info().Err(err).Msg("Leadership was handed over.")
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorShutdown)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		c.logger.Warn().Err(err).Msg("Calls of operators were cut at the stop.")
	}
}
