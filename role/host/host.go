// Package host wires the processes that run on a host of the users' platform: entries,
// which receive callers' requests and send them to endpoints, and control processes,
// which operators and endpoints call.
package host

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/platform"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
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
	// memoryLimitShare is the Go runtime's memory limit as a share of the process's
	// memory on the host. Near it the garbage collector runs more often. The limit is
	// soft, and the rest is left for allocations beyond it: a larger share risks exceeding
	// the host's limit, a smaller one costs more CPU time for garbage collection.
	memoryLimitShare = 0.6
	// reloadInterval is the time between two readings of the settings file.
	reloadInterval = time.Second
	// The two kinds of processes on one host use different ports for their links, as
	// offsets from the first port.
	controlPortOffset = 0
	entryPortOffset   = 1
)

// newContainer returns a container with the constructors that both kinds of
// processes need.
func newContainer(settings *platform.Settings, kind processKind) *dig.Container {
	container := dig.New()
	for _, constructor := range []any{
		func() *platform.Settings { return settings },
		func() *hostconfig.Process { return &settings.Process }, // as they were at the start
		hostconfig.NewReloadable,
		func() *wire.ProcessRecord { return newProcessRecord(&settings.Process, kind) },
		func() *logs.Logger { return logs.For(kind.name) },
		func() *link.Pool { return link.NewPool(link.Security{}) },
		func() catalogue.Decode { return catalogue.Shared(platform.DecodeConfiguration) },
		metrics.New, statecache.NewStore, newDirectory, newScheduler, newTracker, newMesh, newMetrics,
	} {
		if err := container.Provide(constructor); err != nil {
			panic(err) // a programming error: dig can't use the constructor
		}
	}
	return container
}

// processKind describes one of the two kinds of processes.
type processKind struct {
	name   string
	offset int // from the first link port
	entry  bool
}

var (
	entryKind   = processKind{name: "entry", offset: entryPortOffset, entry: true}
	controlKind = processKind{name: "control", offset: controlPortOffset}
)

// newProcessRecord returns the record that describes the process to the fleet. Its
// incarnation increases with each start.
func newProcessRecord(p *hostconfig.Process, k processKind) *wire.ProcessRecord {
	return &wire.ProcessRecord{
		Name:        p.Name + "/" + k.name,
		Address:     net.JoinHostPort(p.IP, strconv.Itoa(p.FirstLinkPort+k.offset)),
		DataCentre:  p.DataCentre,
		Incarnation: uint64(time.Now().UnixMilli())<<20 | uint64(rand.IntN(1<<20)),
		Votes:       !k.entry && p.DataFolder != "",
		Entry:       k.entry,
	}
}

// seedLinkAddresses returns the addresses of the seeds' links. The settings hold their
// operator addresses.
func seedLinkAddresses(p *hostconfig.Process) []string {
	var links []string
	for _, address := range p.Seeds {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			logs.For("settings").Warn().Str("seed", address).Err(err).Msg("The address of a seed is malformed; the seed is skipped.")
			continue
		}
		links = append(links, net.JoinHostPort(host, strconv.Itoa(p.FirstLinkPort+controlPortOffset)))
	}
	return links
}

func newMesh(p *hostconfig.Process, record *wire.ProcessRecord, store *statecache.Store, dir *directory.Directory, scheduler *placement.Scheduler, parts *quarantine.Tracker, decode catalogue.Decode) *mesh.Mesh {
	return mesh.New(mesh.Options{
		Self:   record,
		Seeds:  seedLinkAddresses(p),
		Dial:   func(address string) (*grpc.ClientConn, error) { return link.Dial(address, link.Security{}) },
		Decode: decode,
	}, store, dir, scheduler, parts)
}

// newTracker returns a tracker that knows the quarantines in the replicated state.
func newTracker(store *statecache.Store) *quarantine.Tracker {
	tracker := quarantine.NewTracker(monotonic.Now)
	store.OnChange(func(s *catalogue.State) { tracker.SetRecorded(s.Quarantined) })
	return tracker
}

// newDirectory returns a directory that knows the replicated state.
func newDirectory(store *statecache.Store) *directory.Directory {
	dir := directory.New()
	dir.SetStateLookup(store.State)
	return dir
}

// newScheduler returns a scheduler that looks up endpoints in the directory, and the
// engine of an endpoint in the catalogue, by the endpoint's service.
func newScheduler(record *wire.ProcessRecord, store *statecache.Store, dir *directory.Directory) *placement.Scheduler {
	scheduler := placement.NewScheduler(time.Now)
	scheduler.SetTieBreakSeed(record.Incarnation)
	scheduler.SetEngineLookup(func(key uint64) *catalogue.Engine {
		c := store.State().Catalogue
		if c == nil {
			return nil
		}
		if s := c.Services[dir.ServiceOf(key)]; s != nil {
			return s.Engine
		}
		return nil
	})
	scheduler.SetEndpointLookup(func(key uint64) bool { return dir.ServiceOf(key) != "" })
	scheduler.SetReturnLookup(dir.HeardSinceReturn)
	return scheduler
}

// setMemoryLimit sets the Go runtime's memory limit, so that garbage collection keeps
// the process within its memory on the host.
func setMemoryLimit(p *hostconfig.Process) {
	if p.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(p.MemoryBytes) * memoryLimitShare))
	}
}

// watchSettings reads the settings file at each reloadInterval and on each value of
// reload. It puts changes into force, then calls apply.
func watchSettings(ctx context.Context, first *platform.Settings, reload <-chan struct{}, reloadable *hostconfig.Reloadable, apply func(*hostconfig.Process)) {
	logger, text := logs.For("settings"), first.Text
	for {
		interval, cancel := context.WithTimeout(ctx, reloadInterval)
		select {
		case <-interval.Done():
		case <-reload:
		}
		cancel()
		if ctx.Err() != nil {
			return
		}
		next, err := platform.ReadSettings()
		if err != nil {
			logger.RateLimitedWarn("read").Err(err).Msg("The settings can't be read again; the earlier ones stay in force.")
			continue
		}
		if next.Text == text {
			continue
		}
		text = next.Text
		applied, afterRestart := reloadable.Reload(&next.Process)
		p := reloadable.Get()
		logger.Info().Strs("taken", applied).Strs("wait_for_restart", afterRestart).Strs("seeds", p.Seeds).
			Any("bounds", p.Bounds).Int64("memory_bytes", p.MemoryBytes).Int("descriptors", p.MaxDescriptors).Msg("Changed settings were read.")
		setMemoryLimit(p)
		apply(p)
	}
}

// serveLinks starts the gRPC server for the links of other processes.
func serveLinks(address string, register func(*grpc.Server)) (*grpc.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "can't listen for links on %s", address)
	}
	server := link.NewServer(link.Security{})
	register(server)
	go func() { _ = server.Serve(listener) }() // ends when the server is stopped; another failure is ignored
	return server, nil
}

// serveHTTP listens on an address and serves until the server is shut down. A failure
// while serving is sent to failed.
func serveHTTP(address string, server *http.Server, failed chan<- error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "can't listen on %s", address)
	}
	serveListener(listener, server, failed)
	return nil
}

// serveListener serves until the server is shut down. A failure is sent to failed.
func serveListener(listener net.Listener, server *http.Server, failed chan<- error) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serving %s: %w", listener.Addr(), err)
		}
	}()
}
