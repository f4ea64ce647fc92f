// Package agent wires the process that runs beside an endpoint: the gate, which
// admits, queues and forwards all requests to the endpoint, its servers, the follower
// of the fleet's configuration and the sender of the gate's reports.
package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/role/control"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/apricotspoke/apricotspoke/transport/controllink"
	"github.com/apricotspoke/apricotspoke/transport/endpoint"
	"github.com/apricotspoke/apricotspoke/transport/gatereport"
	"github.com/apricotspoke/apricotspoke/transport/gateserver"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/transport/shortcall"
	"go.uber.org/dig"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

const (
	// drainReportTime is the wait at shutdown in which the gate's reports tell the entries
	// that it drains.
	drainReportTime   = 500 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	// Keep-alive pings end the streams of a connection whose other end is gone
	// without closing it.
	keepaliveInterval = 2 * time.Second
	keepaliveTimeout  = 2 * time.Second
	// finalReadTimeout bounds the wait at shutdown until the entries have read their
	// answers to the end.
	finalReadTimeout = 30 * time.Second
)

var log = logs.For("agent")

// Agent is a wired agent process.
type Agent struct {
	options        *Options
	gate           *gate.Gate
	metrics        *metrics.Registry
	endpointClient *endpoint.Client
	follower       *configsync.Follower
	sender         *gatereport.Sender
	pool           *link.Pool
	server         *grpc.Server
	controlRole    *control.Role // nil without a data folder
}

// New wires an agent. If a data folder is set, the agent hosts the control role too.
func New(options *Options) (*Agent, error) {
	container := dig.New()
	providers := []any{
		func() *Options { return options },
		newSecurity,
		link.NewPool,
		configsync.NewStore,
		metrics.New,
		endpoint.NewClient,
		newControlClient,
		newProcess,
		newControlRole,
		newGate,
		newFollower,
		newSender,
		newServer,
		newAgent,
	}
	for _, provider := range providers {
		if err := container.Provide(provider); err != nil {
			return nil, err
		}
	}
	var agent *Agent
	err := container.Invoke(func(a *Agent) { agent = a })
	if err != nil {
		return nil, dig.RootCause(err)
	}
	return agent, nil
}

// newSecurity loads the TLS files for the links to other processes.
func newSecurity(options *Options) (link.Security, error) { return options.Links.Security() }

func newControlClient(options *Options, pool *link.Pool) *controllink.Client {
	return controllink.NewClient(pool, options.Control)
}

func newGate(options *Options, store *configsync.Store, client *endpoint.Client, control *controllink.Client, registry *metrics.Registry) *gate.Gate {
	return gate.New(gate.Options{
		DataCentre: options.DataCentre, Address: options.Listen,
		Configuration: store, Endpoint: client, Leases: control, Orders: control, Metrics: registry,
	})
}

func newProcess(options *Options) *wire.ProcessInfo {
	return &wire.ProcessInfo{Id: options.ID, Role: "agent", DataCentre: options.DataCentre, Address: options.Listen}
}

// newControlRole returns the control role, or nil without a data folder.
func newControlRole(options *Options, process *wire.ProcessInfo, store *configsync.Store, pool *link.Pool, security link.Security) (*control.Role, error) {
	if !options.Enabled() {
		return nil, nil
	}
	config := &control.Config{Options: options.Options, Process: process, Peers: options.Control, Security: security}
	return control.New(config, store, pool)
}

func newFollower(options *Options, process *wire.ProcessInfo, store *configsync.Store, pool *link.Pool) *configsync.Follower {
	peers := controllink.NewConfigPeers(pool, slices.Concat(options.Control, options.Entries))
	return configsync.NewFollower(store, process, func() []configsync.Peer { return peers })
}

func newSender(options *Options, g *gate.Gate, pool *link.Pool) *gatereport.Sender {
	return gatereport.NewSender(g, pool, options.Entries, options.Control)
}

func newServer(g *gate.Gate, store *configsync.Store, role *control.Role, security link.Security) *grpc.Server {
	server := link.NewServer(security, grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}))
	wire.RegisterGateServer(server, gateserver.New(g))
	if role != nil {
		role.Register(server)
		role.RegisterShared(server)
		return server
	}
	wire.RegisterConfigServer(server, controllink.NewConfigServer(store, nil))
	return server
}

// components are the parts of an agent that the container builds.
type components struct {
	dig.In

	Options  *Options
	Gate     *gate.Gate
	Metrics  *metrics.Registry
	Client   *endpoint.Client
	Follower *configsync.Follower
	Sender   *gatereport.Sender
	Pool     *link.Pool
	Server   *grpc.Server
	Role     *control.Role
}

func newAgent(p components) *Agent {
	return &Agent{
		options:        p.Options,
		gate:           p.Gate,
		metrics:        p.Metrics,
		endpointClient: p.Client,
		follower:       p.Follower,
		sender:         p.Sender,
		pool:           p.Pool,
		server:         p.Server,
		controlRole:    p.Role,
	}
}

// Run serves until ctx ends, or a server or the control role fails. It then refuses new
// attempts and waits for the running ones, up to the drain limit.
func (a *Agent) Run(ctx context.Context) error {
	fleetListener, err := net.Listen("tcp", a.options.Listen)
	if err != nil {
		return err
	}
	announceListener, err := net.Listen("tcp", a.options.AnnounceListen)
	if err != nil {
		_ = fleetListener.Close()
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 4) // one each from the control role, the gRPC server and the two HTTP servers
	controlRoleEnded := a.runControlRole(background, failed)
	go func() { failed <- a.server.Serve(fleetListener) }()
	servers := a.serveHTTP(announceListener, failed)
	go a.follower.Run(background)
	go a.gate.Run(background)
	go a.sender.Run(background)
	go a.endpointClient.FollowCache(background, a.gate.IsEngine, a.gate.AddCacheEvents)
	log.Info().Str("id", a.options.ID).Str("instance", a.gate.Instance()).Str("listen", a.options.Listen).Msg("The agent has started.")
	select {
	case <-ctx.Done():
		err = nil
	case err = <-failed:
	}
	a.drain()
	stop() // the control role transfers its leadership while its server still answers
	<-controlRoleEnded
	a.server.Stop()
	for _, s := range servers {
		_ = s.Close()
	}
	a.pool.Close()
	return err
}

// runControlRole runs the control role, if the agent hosts it, and returns a
// channel that is closed when it has ended. A failure of its data folder ends the
// process.
func (a *Agent) runControlRole(ctx context.Context, failed chan<- error) <-chan struct{} {
	ended := make(chan struct{})
	if a.controlRole == nil {
		close(ended)
		return ended
	}
	go func() {
		defer close(ended)
		if err := a.controlRole.Run(ctx); err != nil {
			failed <- err
		}
	}()
	return ended
}

func (a *Agent) serveHTTP(announceListener net.Listener, failed chan<- error) []*http.Server {
	serve := func(listener net.Listener, handler http.Handler) *http.Server {
		server := shortcall.NewServer(handler, readHeaderTimeout)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
		return server
	}
	servers := []*http.Server{serve(announceListener, endpoint.AnnounceHandler(a.announce))}
	if a.options.HTTPListen == "" {
		return servers
	}
	listener, err := net.Listen("tcp", a.options.HTTPListen)
	if err != nil {
		failed <- err
		return servers
	}
	return append(servers, serve(listener, a.healthHandler()))
}

func (a *Agent) announce(info gate.EndpointInfo) error {
	if err := a.gate.Announce(info); err != nil {
		return err
	}
	a.endpointClient.SetAddress(info.Address)
	return nil
}

// drain stops admission, gives the reports time to reach the entries, and waits for
// the running attempts.
func (a *Agent) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), a.options.DrainLimit)
	defer cancel()
	log.Info().Int("running", a.gate.ActiveAttempts()).Msg("The agent is draining.")
	a.gate.StopAdmitting()
	time.Sleep(drainReportTime)
	if !a.gate.Drain(ctx) {
		log.Warn().Int("running", a.gate.ActiveAttempts()).Msg("The drain limit has passed while attempts are running.")
	}
	readers, cancelReaders := context.WithTimeout(ctx, finalReadTimeout)
	defer cancelReaders()
	a.gate.AwaitReaders(readers)
}
