package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admission"
	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/transport/callerhttp"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"go.uber.org/dig"
	"google.golang.org/grpc"
)

const (
	readHeaderTimeout = 10 * time.Second
	// readTimeout bounds the rest of a body that is not used, as that of a request without a
	// route. It is longer than callerhttp allows for a body.
	readTimeout  = 40 * time.Second
	idleTimeout  = time.Minute
	closeTimeout = 2 * time.Second // for closing the listener, and for returning quota
)

// Control is the control role in the same process.
type Control interface {
	// Register registers the services that only the control role serves.
	Register(server grpc.ServiceRegistrar)
	// ObserveReport processes a gate's report that the entry received.
	ObserveReport(report *wire.GateReport)
	// ObserveProcess records that a process is alive, because it asked the entry for the
	// configuration.
	ObserveProcess(info *wire.ProcessInfo)
	// Run runs the role until ctx ends or its data folder fails.
	Run(ctx context.Context) error
}

// Entry is a wired entry process.
type Entry struct {
	options      *Options
	log          *logs.Logger
	fleetServer  *grpc.Server
	callerServer *callerhttp.Server
	follower     *configsync.Follower
	quota        *admission.Quota
	pool         *link.Pool
	control      Control
}

// components are the parts of an entry that the container builds.
type components struct {
	dig.In

	Options  *Options
	Log      *logs.Logger
	Fleet    *grpc.Server
	Callers  *callerhttp.Server
	Follower *configsync.Follower
	Quota    *admission.Quota
	Pool     *link.Pool
	Control  Control `optional:"true"`
}

func newEntry(p components) *Entry {
	return &Entry{options: p.Options, log: p.Log, fleetServer: p.Fleet, callerServer: p.Callers,
		follower: p.Follower, quota: p.Quota, pool: p.Pool, control: p.Control}
}

// Run listens on the addresses of the settings and calls Serve.
func (e *Entry) Run(ctx context.Context) error {
	fleetListener, err := net.Listen("tcp", e.options.Listen)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "can't listen for the fleet on %s", e.options.Listen)
	}
	callerListener, err := net.Listen("tcp", e.options.HTTPListen)
	if err != nil {
		_ = fleetListener.Close()
		return fault.Wrap(err, fault.Internal, "can't listen for callers on %s", e.options.HTTPListen)
	}
	return e.Serve(ctx, fleetListener, callerListener)
}

// Serve serves until ctx ends, or a server or the control role fails, then drains: it
// refuses new requests and waits for the running ones, up to the drain limit.
func (e *Entry) Serve(ctx context.Context, fleetListener, callerListener net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	running.Go(func() { e.follower.Run(background) })
	running.Go(func() { e.quota.Run(background) })
	failed := make(chan error, 3) // one each from the control role and the two servers
	if e.control != nil {
		running.Go(func() { sendError(failed, e.control.Run(background)) })
	}
	go func() { sendError(failed, e.fleetServer.Serve(fleetListener)) }()
	server := &http.Server{Handler: e.callerServer.Handler(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	go func() { sendError(failed, server.Serve(callerListener)) }()
	e.log.Info().Str("http", callerListener.Addr().String()).Str("fleet", fleetListener.Addr().String()).Msg("The entry is serving.")
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		e.log.Error().Err(err).Msg("A server or the control role has failed.")
	}
	e.drain(server)
	stop()
	e.fleetServer.Stop()
	running.Wait()
	e.pool.Close()
	return err
}

func sendError(failed chan<- error, err error) {
	if err != nil && err != http.ErrServerClosed {
		failed <- err
	}
}

// drain fails readiness, refuses new requests, waits for the running ones, closes the
// listener and returns the unspent quota.
func (e *Entry) drain(server *http.Server) {
	e.callerServer.Drain.Begin()
	e.log.Info().Msg("The entry is draining.")
	time.Sleep(e.options.ReadyGrace)
	ctx, cancel := context.WithTimeout(context.Background(), e.options.DrainLimit)
	defer cancel()
	if remaining := e.callerServer.Drain.Wait(ctx); remaining > 0 {
		e.log.Warn().Int("requests", remaining).Msg("The drain limit has passed while requests are running.")
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelShutdown()
	_ = server.Shutdown(shutdownCtx)
	returnCtx, cancelReturn := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelReturn()
	e.quota.ReturnUnspent(returnCtx)
}
