package host

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/serve"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/platform"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/hostconfig"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/apricotspoke/apricotspoke/transport/mesh"
	"go.uber.org/dig"
	"google.golang.org/grpc"
)

const (
	callerHeaders   = 10 * time.Second // to send the headers of a request
	callerIdle      = time.Minute
	maxCallerHeader = 64 << 10
	// revokeMargin is kept between the last use of a key and the bound.
	revokeMargin = 400 * time.Millisecond
	// stopMargin is kept between the end of an entry and the bound.
	stopMargin = 250 * time.Millisecond
	// leaveFor is how long a stopping entry goes on taking requests, until the
	// platform has seen that it is not ready.
	leaveFor = 2500 * time.Millisecond
)

// Entry is a process that takes callers' requests.
type Entry struct {
	settings  *platform.Settings
	inForce   *hostconfig.Reloadable
	record    *wire.ProcessRecord
	mesh      *mesh.Mesh
	store     *statecache.Store
	directory *directory.Directory
	server    *serve.Server
	metrics   *Metrics
	logger    *logs.Logger
	leaving   atomic.Bool
	running   atomic.Int64 // requests
}

// RunEntry runs an entry until ctx ends.
func RunEntry(ctx context.Context, settings *platform.Settings, hangup <-chan struct{}) error {
	e, err := NewEntry(settings)
	if err != nil {
		return err
	}
	return e.Run(ctx, hangup)
}

// NewEntry wires an entry.
func NewEntry(settings *platform.Settings) (*Entry, error) {
	container := common(settings, entryKind)
	for _, constructor := range []any{newServer, newEntry} {
		if err := container.Provide(constructor); err != nil {
			return nil, err
		}
	}
	var e *Entry
	err := container.Invoke(func(built *Entry) { e = built })
	return e, dig.RootCause(err)
}

func newServer(inForce *hostconfig.Reloadable, store *statecache.Store, dir *directory.Directory, book *placement.Scheduler, m *mesh.Mesh, registry *metrics.Registry) *serve.Server {
	return serve.NewServer(serveSettings(inForce.Get(), m), store, dir, book, platform.NewUpstream(hearLeaving(book, dir)), registry)
}

// hearLeaving ends all sending to an endpoint that says it leaves, and tells the
// others.
func hearLeaving(book *placement.Scheduler, dir *directory.Directory) func(*directory.Endpoint) {
	return func(e *directory.Endpoint) {
		if book.RecordDraining(e.Key) {
			dir.MarkDraining(e)
		}
	}
}

func serveSettings(p *hostconfig.Process, m *mesh.Mesh) serve.Settings {
	settings := serve.Settings{
		DataCentre:       p.DataCentre,
		AnnounceInterval: p.Bounds.AnnounceEvery,
		RetryRatio:       p.Bounds.RepeatRatio,
		RetrySlack:       p.Bounds.RepeatSlack,
		RetryWindow:      p.Bounds.RepeatWindow,
		EntryCount:       m.EntryCount,
	}
	if p.Bounds.RevokedWithin > 0 {
		settings.MaxStateAge = max(p.Bounds.RevokedWithin/2, p.Bounds.RevokedWithin-revokeMargin)
	}
	return settings
}

func newEntry(settings *platform.Settings, inForce *hostconfig.Reloadable, record *wire.ProcessRecord, m *mesh.Mesh, store *statecache.Store, dir *directory.Directory, server *serve.Server, metrics *Metrics, logger *logs.Logger) *Entry {
	return &Entry{settings: settings, inForce: inForce, record: record, mesh: m, store: store, directory: dir, server: server, metrics: metrics, logger: logger}
}

// Run serves until ctx ends and the running requests are answered.
func (e *Entry) Run(ctx context.Context, hangup <-chan struct{}) error {
	p := &e.settings.Process
	limitMemory(p)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	links, err := serveLinks(e.record.Address, func(s *grpc.Server) { wire.RegisterMeshServer(s, e.mesh) })
	if err != nil {
		return err
	}
	defer links.Stop()
	failed := make(chan error, 3)
	measured, err := e.metrics.serve(failed)
	if err != nil {
		return err
	}
	defer measured.Close()
	ready := &http.Server{Handler: http.HandlerFunc(e.answerReady), ReadHeaderTimeout: callerHeaders}
	if err := serveHTTP(p.ReadyAddress, ready, failed); err != nil {
		return err
	}
	defer ready.Close()
	callers := &http.Server{Handler: e.callers(), ReadHeaderTimeout: callerHeaders, IdleTimeout: callerIdle, MaxHeaderBytes: maxCallerHeader}
	if err := serveHTTP(p.CallerAddress, callers, failed); err != nil {
		return err
	}
	defer callers.Close()
	go e.mesh.Run(running)
	go watchSettings(running, e.settings, hangup, e.inForce, func(next *hostconfig.Process) {
		e.mesh.SetSeeds(seedLinks(next))
		e.server.SetSettings(serveSettings(next, e.mesh))
	})
	e.logger.Info().Str("process", e.record.Name).Str("address", e.record.Address).Str("data_centre", p.DataCentre).
		Strs("seeds", p.Seeds).Msg("The entry has started.")
	select {
	case err = <-failed:
	case <-ctx.Done():
		e.leave(callers)
	}
	e.logger.Info().Int64("cut", e.running.Load()).Err(err).Msg("The entry has stopped.")
	return err
}

// leave fails readiness, goes on until callers have moved, and waits for the
// running requests.
func (e *Entry) leave(callers *http.Server) {
	stopWithin := e.inForce.Get().Bounds.StopWithin - stopMargin
	e.leaving.Store(true)
	e.logger.Info().Int64("running", e.running.Load()).Dur("within", stopWithin).Msg("The entry is leaving.")
	began := time.Now()
	e.server.StopAt(began.Add(stopWithin))
	wait.For(context.Background(), min(leaveFor, stopWithin/2))
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin-time.Since(began))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		e.logger.Warn().Int64("cut", e.running.Load()).Err(err).Msg("Requests were cut at the stop.")
	}
}

// answerReady tells whether new callers should come here.
func (e *Entry) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !e.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Entry) isReady() bool {
	return !e.leaving.Load() && e.server.StateIsCurrent() && e.store.State().Catalogue != nil && e.directory.CountEndpoints() > 0
}

func (e *Entry) callers() http.Handler {
	return &platform.CallerHandler{
		Serve: func(q *http.Request, r *serve.Request, a serve.ResponseWriter) {
			e.running.Add(1)
			defer e.running.Add(-1)
			e.server.Serve(q.Context(), r, a)
		},
		MaxBodyBytes: func() int {
			if c := e.store.State().Catalogue; c != nil {
				return c.Limits.BodyBytes
			}
			return 0
		},
		Draining: e.leaving.Load,
	}
}
