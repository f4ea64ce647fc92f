package site

import (
	"context"
	"net/http"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/current"
	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/coordination/steering"
	"github.com/apricotspoke/apricotspoke/platform"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/state/site"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/transport/mesh"
	"go.uber.org/dig"
	"google.golang.org/grpc"
)

const (
	transferTimeout   = time.Second
	operatorHeaders   = 3 * time.Second // to send the headers of a call
	operatorIdle      = time.Minute
	operatorShutdown  = time.Second
	maxOperatorHeader = 16 << 10
)

// Control is a process that operators and endpoints call.
type Control struct {
	settings *platform.Settings
	record   *wire.ProcessRecord
	mesh     *mesh.Mesh
	replica  *replica.Replica // nil without a disk
	steering *steering.Steering
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

func newMachine(store *current.Store) *catalogue.Machine {
	return catalogue.NewMachine(platform.DecodeConfiguration, func(s *catalogue.State) { store.Take(s, "log") })
}

// openReplica opens this host's replica of the control group, nil without a disk.
func openReplica(p *site.Process, record *wire.ProcessRecord, m *catalogue.Machine) (*replica.Replica, error) {
	if p.DataFolder == "" {
		return nil, nil
	}
	return replica.Open(replica.Options{
		Folder:    p.DataFolder,
		Address:   record.Address,
		Peers:     seedLinks(p),
		Bootstrap: p.Found,
		Machine:   m,
		Dial: func(address string) (grpc.ClientConnInterface, error) {
			return link.Dial(address, link.Security{})
		},
	})
}

func newSteering(r *replica.Replica, m *catalogue.Machine, store *current.Store, dir *directory.Directory, pool *link.Pool) *steering.Steering {
	return steering.New(r, m, store, dir,
		func(address string) (grpc.ClientConnInterface, error) { return pool.Get(address) },
		func() []string { return voters(dir) })
}

// voters lists the processes that hold a replica.
func voters(dir *directory.Directory) []string {
	var addresses []string
	for _, p := range dir.Processes() {
		if p.Votes {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

func newControl(settings *platform.Settings, record *wire.ProcessRecord, m *mesh.Mesh, r *replica.Replica, s *steering.Steering, logger *logs.Logger) *Control {
	return &Control{settings: settings, record: record, mesh: m, replica: r, steering: s, logger: logger}
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
	failed := make(chan error, 2)
	server := &http.Server{
		Handler:           platform.ControlPlane(c.steering),
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
	go watchSettings(running, c.settings, hangup, func(next *site.Process) { c.mesh.SetSeeds(seedLinks(next)) })
	replicaEnded := make(chan error, 1)
	if c.replica != nil {
		go func() { replicaEnded <- c.replica.Run(running) }()
	}
	c.logger.Info().Str("process", c.record.Name).Str("address", c.record.Address).Str("data_centre", p.DataCentre).
		Bool("found", p.Found).Bool("votes", c.record.Votes).Strs("seeds", p.Seeds).Msg("Control has started.")
	select {
	case err = <-failed:
	case err = <-replicaEnded:
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
		err := c.replica.Transfer(ctx)
		cancel()
		c.logger.Info().Err(err).Msg("Leadership was handed over.")
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorShutdown)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		c.logger.Warn().Err(err).Msg("Calls of operators were cut at the stop.")
	}
}
