// Package site wires the processes of a fleet that serves routes on the users'
// platform: entries, which take callers' requests, and control processes, which
// operators and endpoints call.
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
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/platform"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
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
	// memoryShare is the part of the host's memory at which the collector
	// works harder.
	memoryShare = 0.6
	// reloadEvery is how often the settings file is read again.
	reloadEvery = time.Second
	// Links of the two kinds of processes on one host differ by their port.
	controlPortOffset = 0
	entryPortOffset   = 1
)

// common provides what both kinds of processes need.
func common(settings *platform.Settings, kind kind) *dig.Container {
	container := dig.New()
	for _, constructor := range []any{
		func() *platform.Settings { return settings },
		func() *hostconfig.Process { return &settings.Process }, // of the start
		hostconfig.NewReloadable,
		func() *wire.ProcessRecord { return self(&settings.Process, kind) },
		func() *logs.Logger { return logs.For(kind.name) },
		func() *link.Pool { return link.NewPool(link.Security{}) },
		metrics.New, statecache.NewStore, directory.New, newBook, newMesh, newMetrics,
	} {
		if err := container.Provide(constructor); err != nil {
			panic(err) // a constructor of this package that dig can't take
		}
	}
	return container
}

// kind is what tells the processes apart.
type kind struct {
	name   string
	offset int // of the port of its links
	entry  bool
}

var (
	entryKind   = kind{name: "entry", offset: entryPortOffset, entry: true}
	controlKind = kind{name: "control", offset: controlPortOffset}
)

func self(p *hostconfig.Process, k kind) *wire.ProcessRecord {
	return &wire.ProcessRecord{
		Name:        p.Name + "/" + k.name,
		Address:     net.JoinHostPort(p.IP, strconv.Itoa(p.FirstLinkPort+k.offset)),
		DataCentre:  p.DataCentre,
		Incarnation: uint64(time.Now().UnixMilli())<<20 | uint64(rand.IntN(1<<20)),
		Votes:       !k.entry && p.DataFolder != "",
		Entry:       k.entry,
	}
}

// seedLinks turns the seeds' operator addresses into addresses of links.
func seedLinks(p *hostconfig.Process) []string {
	var links []string
	for _, address := range p.Seeds {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			logs.For("settings").Warn().Str("seed", address).Err(err).Msg("A seed can't be used.")
			continue
		}
		links = append(links, net.JoinHostPort(host, strconv.Itoa(p.FirstLinkPort+controlPortOffset)))
	}
	return links
}

func newMesh(p *hostconfig.Process, record *wire.ProcessRecord, store *statecache.Store, dir *directory.Directory, book *placement.Scheduler) *mesh.Mesh {
	return mesh.New(mesh.Options{
		Self:   record,
		Seeds:  seedLinks(p),
		Dial:   func(address string) (*grpc.ClientConn, error) { return link.Dial(address, link.Security{}) },
		Decode: platform.DecodeConfiguration,
	}, store, dir, book)
}

// newBook returns a ledger that finds the engines of endpoints itself.
func newBook(record *wire.ProcessRecord, store *statecache.Store, dir *directory.Directory) *placement.Scheduler {
	book := placement.NewScheduler(time.Now)
	book.SetTieBreakSeed(record.Incarnation)
	book.SetEngineLookup(func(key uint64) *catalogue.Engine {
		c := store.State().Catalogue
		if c == nil {
			return nil
		}
		if s := c.Services[dir.ServiceOf(key)]; s != nil {
			return s.Engine
		}
		return nil
	})
	return book
}

// limitMemory makes the collector keep the process within its host's memory.
func limitMemory(p *hostconfig.Process) {
	if p.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(p.MemoryBytes) * memoryShare))
	}
}

// watchSettings reads the settings file again and again, and on each value of
// hangup. Changes come into force before apply is called.
func watchSettings(ctx context.Context, first *platform.Settings, hangup <-chan struct{}, inForce *hostconfig.Reloadable, apply func(*hostconfig.Process)) {
	logger, text := logs.For("settings"), first.Text
	for {
		waited, cancel := context.WithTimeout(ctx, reloadEvery)
		select {
		case <-waited.Done():
		case <-hangup:
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
		taken, waiting := inForce.Reload(&next.Process)
		p := inForce.Get()
		logger.Info().Strs("taken", taken).Strs("wait_for_restart", waiting).Strs("seeds", p.Seeds).
			Any("bounds", p.Bounds).Int64("memory_bytes", p.MemoryBytes).Msg("Changed settings were read.")
		limitMemory(p)
		apply(p)
	}
}

// serveLinks listens for the links of other processes.
func serveLinks(address string, register func(*grpc.Server)) (*grpc.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the address %s for links can't be used", address)
	}
	server := link.NewServer(link.Security{})
	register(server)
	go func() { _ = server.Serve(listener) }() // ends when the server is stopped
	return server, nil
}

// serveHTTP listens on an address; the server runs until it is shut down.
func serveHTTP(address string, server *http.Server, failed chan<- error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the address %s can't be used", address)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serving %s: %w", address, err)
		}
	}()
	return nil
}
