package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/controlplane"
	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/permits"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/coordination/serve"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/platform"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/hostconfig"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/apricotspoke/apricotspoke/transport/bodybudget"
	"github.com/apricotspoke/apricotspoke/transport/connlimit"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/transport/mesh"
	"github.com/apricotspoke/apricotspoke/transport/permitlink"
	"github.com/apricotspoke/apricotspoke/transport/shortcall"
	"github.com/apricotspoke/apricotspoke/transport/triallink"
	"go.uber.org/dig"
	"google.golang.org/grpc"
)

const (
	// The fields of an HTTP server can't change while it serves, and it starts before there
	// is a configuration. So they are fixed, and connlimit enforces the configured times.
	callerHeaderTimeout  = 10 * time.Second // for a caller to send a request's headers
	callerIdleTimeout    = time.Minute
	maxCallerHeaderBytes = 64 << 10
	// revokeMargin is the time between the last use of a revoked key and the bound for
	// revocation.
	revokeMargin = 400 * time.Millisecond
	// stopMargin is left between the end of the drain and the bound for stopping, for
	// the process to exit. A smaller margin risks an exit after the bound; a larger one
	// interrupts requests earlier.
	stopMargin = 250 * time.Millisecond
	// readyGrace is how long a stopping entry still accepts requests after it has failed
	// readiness. The platform must have seen the failed check by then; requests that it
	// sends later are refused.
	readyGrace = 2500 * time.Millisecond
)

// Entry is an entry process, which receives callers' requests.
type Entry struct {
	settings        *platform.Settings
	reloadable      *hostconfig.Reloadable
	record          *wire.ProcessRecord
	mesh            *mesh.Mesh
	store           *statecache.Store
	directory       *directory.Directory
	server          *serve.Server
	permits         *permits.Permits
	guard           *quarantine.Guard
	recorder        *quarantine.Recorder
	metrics         *Metrics
	bodies          *bodybudget.Budget
	connections     *connlimit.Limiter
	logger          *logs.Logger
	draining        atomic.Bool
	runningRequests atomic.Int64 // at the stop, logged as "cut": those that were interrupted
}

// RunEntry runs an entry until ctx ends.
func RunEntry(ctx context.Context, settings *platform.Settings, reload <-chan struct{}) error {
	e, err := NewEntry(settings)
	if err != nil {
		return err
	}
	return e.Run(ctx, reload)
}

// NewEntry wires an entry.
func NewEntry(settings *platform.Settings) (*Entry, error) {
	container := newContainer(settings, entryKind)
	for _, constructor := range []any{newPermits, newGuard, newRecorder, newServer, newBodyBudget, newConnectionLimiter, newEntry} {
		if err := container.Provide(constructor); err != nil {
			return nil, err
		}
	}
	var e *Entry
	err := container.Invoke(func(built *Entry) { e = built })
	return e, dig.RootCause(err)
}

func newPermits(record *wire.ProcessRecord, dir *directory.Directory, scheduler *placement.Scheduler, pool *link.Pool) *permits.Permits {
	return permits.New(record.Address, scheduler, dir.Processes, permitlink.NewAsk(pool), monotonic.Now)
}

func newGuard(record *wire.ProcessRecord, tracker *quarantine.Tracker, dir *directory.Directory, pool *link.Pool) *quarantine.Guard {
	return quarantine.NewGuard(record.Address, tracker, dir.Processes, triallink.NewCalls(pool), monotonic.Now)
}

// newRecorder returns a recorder that submits quarantines to the leader of the control
// group.
func newRecorder(record *wire.ProcessRecord, tracker *quarantine.Tracker, store *statecache.Store, dir *directory.Directory, m *mesh.Mesh, pool *link.Pool, registry *metrics.Registry) *quarantine.Recorder {
	client := controlplane.New(controlplane.Options{
		Address: record.Address, Store: store, Directory: dir, SinceLastHeard: m.Silence, Metrics: registry,
		Connections:   pool,
		PeerAddresses: func() []string { return otherVoters(dir, record.Address) },
	})
	return quarantine.NewRecorder(tracker, client)
}

func newServer(reloadable *hostconfig.Reloadable, store *statecache.Store, dir *directory.Directory, scheduler *placement.Scheduler, m *mesh.Mesh, p *permits.Permits, guard *quarantine.Guard, bodies *bodybudget.Budget, registry *metrics.Registry) *serve.Server {
	server := serve.NewServer(serveSettings(reloadable.Get(), m), store, dir, scheduler, platform.NewUpstream(recordDraining(scheduler, dir)), p, guard, registry)
	server.SetMemory(bodies)
	return server
}

// recordDraining returns a function that is called when an endpoint answers that it
// drains. It stops all sends to the endpoint and reports the drain to the other
// processes.
func recordDraining(scheduler *placement.Scheduler, dir *directory.Directory) func(*directory.Endpoint) {
	return func(e *directory.Endpoint) {
		if scheduler.RecordDraining(e.Key) {
			dir.MarkDraining(e)
		}
	}
}

func serveSettings(p *hostconfig.Process, m *mesh.Mesh) serve.Settings {
	settings := serve.Settings{
		DataCentre:        p.DataCentre,
		AnnounceInterval:  p.Bounds.AnnounceEvery,
		RetryRatio:        p.Bounds.RepeatRatio,
		RetrySlack:        p.Bounds.RepeatSlack,
		RetryWindow:       p.Bounds.RepeatWindow,
		EntryCount:        m.EntryCount,
		ReservedUnusedFor: p.Bounds.ReservedUnusedFor,
		ReleasedWithin:    p.Bounds.ReleasedWithin,
	}
	if p.Bounds.RevokedWithin > 0 {
		settings.MaxStateAge = max(p.Bounds.RevokedWithin/2, p.Bounds.RevokedWithin-revokeMargin)
	}
	return settings
}

func newEntry(settings *platform.Settings, reloadable *hostconfig.Reloadable, record *wire.ProcessRecord, m *mesh.Mesh, store *statecache.Store, dir *directory.Directory, server *serve.Server, p *permits.Permits, guard *quarantine.Guard, recorder *quarantine.Recorder, metrics *Metrics, bodies *bodybudget.Budget, connections *connlimit.Limiter, logger *logs.Logger) *Entry {
	metrics.explain = &explainPage{explain: server.Explain}
	return &Entry{settings: settings, reloadable: reloadable, record: record, mesh: m, store: store, directory: dir, server: server, permits: p, guard: guard, recorder: recorder, metrics: metrics, bodies: bodies, connections: connections, logger: logger}
}

// Run serves until ctx ends or an HTTP server fails. A failure of the link server while
// it serves doesn't end it. After ctx has ended it drains.
func (e *Entry) Run(ctx context.Context, reload <-chan struct{}) error {
	p := &e.settings.Process
	setMemoryLimit(p)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	linkServer, err := serveLinks(e.record.Address, func(s *grpc.Server) {
		wire.RegisterMeshServer(s, e.mesh)
		wire.RegisterPermitsServer(s, permitlink.NewServer(e.permits))
		wire.RegisterTrialsServer(s, triallink.NewServer(e.guard))
	})
	if err != nil {
		return err
	}
	defer linkServer.Stop()
	failed := make(chan error, 3) // one from each HTTP server
	metricsServer, err := e.metrics.serve(failed)
	if err != nil {
		return err
	}
	defer metricsServer.Close()
	readyServer := shortcall.NewServer(http.HandlerFunc(e.serveReady), callerHeaderTimeout)
	if err := serveHTTP(p.ReadyAddress, readyServer, failed); err != nil {
		return err
	}
	defer readyServer.Close()
	callerServer := e.newCallerServer()
	e.connections.Attach(callerServer)
	callerListener, err := e.connections.Listen(p.CallerAddress)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "can't listen on %s", p.CallerAddress)
	}
	serveListener(callerListener, callerServer, failed)
	defer callerServer.Close()
	go e.connections.Run(background)
	go e.mesh.Run(background)
	go e.recorder.Run(background)
	go watchSettings(background, e.settings, reload, e.reloadable, func(next *hostconfig.Process) {
		e.mesh.SetSeeds(seedLinkAddresses(next))
		e.server.SetSettings(serveSettings(next, e.mesh))
		e.bodies.SetTotal(bodybudget.ShareOf(next.MemoryBytes))
	})
	e.logger.Info().Str("process", e.record.Name).Str("address", e.record.Address).Str("data_centre", p.DataCentre).
		Strs("seeds", p.Seeds).Msg("The entry has started.")
	select {
	case err = <-failed:
	case <-ctx.Done():
		e.drain(callerServer)
	}
	e.logger.Info().Int64("cut", e.runningRequests.Load()).Err(err).Msg("The entry has stopped.")
	return err
}

// drain fails readiness, still accepts requests for readyGrace, or half of the time to
// stop if that is shorter, and then waits for the running requests until stopMargin
// before the bound for stopping. If the bound is not set, it interrupts them at once.
func (e *Entry) drain(callerServer *http.Server) {
	stopWithin := e.reloadable.Get().Bounds.StopWithin - stopMargin
	e.draining.Store(true)
	e.logger.Info().Int64("running", e.runningRequests.Load()).Dur("within", stopWithin).Msg("The entry is draining.")
	began := time.Now()
	e.server.StopAt(began.Add(stopWithin))
	wait.For(context.Background(), min(readyGrace, stopWithin/2))
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin-time.Since(began))
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		e.logger.Warn().Int64("cut", e.runningRequests.Load()).Err(err).Msg("Requests were interrupted by the shutdown.")
	}
}

// serveReady answers the platform's readiness check.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Entry) isReady() bool {
	return !e.draining.Load() && e.server.StateIsCurrent() && e.store.State().Catalogue != nil && e.directory.CountEndpoints() > 0
}

func (e *Entry) newCallerServer() *http.Server {
	return &http.Server{
		Handler:           e.callerHandler(),
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxCallerHeaderBytes,
		ConnContext:       platform.LimitUnsent,
	}
}

func (e *Entry) callerHandler() http.Handler {
	return &platform.CallerHandler{
		Serve: func(q *http.Request, r *serve.Request, a serve.ResponseWriter) {
			e.runningRequests.Add(1)
			defer e.runningRequests.Add(-1)
			e.server.Serve(q.Context(), r, a)
		},
		Bodies:       e.bodies,
		MaxBodyBytes: func() int { return configuredLimits(e.store).BodyBytes },
		Draining:     e.draining.Load,
	}
}
