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
	closeTimeout      = 2 * time.Second
)

// Control is the control role in the same process.
type Control interface {
	// Register adds the services that only control serves.
	Register(server grpc.ServiceRegistrar)
	// ObserveReport takes a gate's report that the entry received.
	ObserveReport(report *wire.GateReport)
	// ObserveProcess takes a sign of life of a process that asked for the configuration.
	ObserveProcess(info *wire.ProcessInfo)
	// Run runs it until ctx ends.
	Run(ctx context.Context) error
}

// Entry is the wired role.
type Entry struct {
	options  *Options
	log      *logs.Logger
	fleet    *grpc.Server
	callers  *callerhttp.Server
	follower *configsync.Follower
	quota    *admission.Quota
	pool     *link.Pool
	control  Control
}

// parts are what the container builds for an entry.
type parts struct {
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

func newEntry(p parts) *Entry {
	return &Entry{options: p.Options, log: p.Log, fleet: p.Fleet, callers: p.Callers,
		follower: p.Follower, quota: p.Quota, pool: p.Pool, control: p.Control}
}

// Run serves until ctx ends, then lets the running requests finish.
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

// Serve is Run on listeners that are already open.
func (e *Entry) Serve(ctx context.Context, fleetListener, callerListener net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	running.Go(func() { e.follower.Run(background) })
	running.Go(func() { e.quota.Run(background) })
	failed := make(chan error, 3)
	if e.control != nil {
		running.Go(func() { report(failed, e.control.Run(background)) })
	}
	go func() { report(failed, e.fleet.Serve(fleetListener)) }()
	server := &http.Server{Handler: e.callers.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { report(failed, server.Serve(callerListener)) }()
	e.log.Info().Str("http", callerListener.Addr().String()).Str("fleet", fleetListener.Addr().String()).Msg("Serving.")
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		e.log.Error().Err(err).Msg("A part has failed.")
	}
	e.drain(server)
	stop()
	e.fleet.Stop()
	running.Wait()
	e.pool.Close()
	return err
}

func report(failed chan<- error, err error) {
	if err != nil && err != http.ErrServerClosed {
		failed <- err
	}
}

// drain fails readiness, refuses new requests, waits for the running ones and
// closes the listener last.
func (e *Entry) drain(server *http.Server) {
	e.callers.Drain.Begin()
	e.log.Info().Msg("Draining.")
	time.Sleep(e.options.ReadyGrace)
	ctx, cancel := context.WithTimeout(context.Background(), e.options.DrainLimit)
	defer cancel()
	if left := e.callers.Drain.Wait(ctx); left > 0 {
		e.log.Warn().Int("requests", left).Msg("The drain limit has passed with requests running.")
	}
	closing, stop := context.WithTimeout(context.Background(), closeTimeout)
	defer stop()
	_ = server.Shutdown(closing)
	returning, stopReturn := context.WithTimeout(context.Background(), closeTimeout)
	defer stopReturn()
	e.quota.ReturnUnspent(returning)
}
