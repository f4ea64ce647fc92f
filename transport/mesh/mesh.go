// Package mesh links the processes of a fleet that serves routes. A process
// opens streams to the processes of its data centre and to relays in the others,
// writes its news there and learns from the pongs whether its catalogue is
// current. Package spread decides whom a process links to.
package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"google.golang.org/grpc"
)

const (
	pingInterval = 400 * time.Millisecond
	// idlePing is the interval on links over which no news goes.
	idlePing = 1200 * time.Millisecond
	// pingsMissed is how many intervals may pass without a pong before a link is
	// replaced.
	pingsMissed = 3
	// batchDelay gathers news so that a busy moment costs one frame.
	batchDelay   = 4 * time.Millisecond
	redialDelay  = 100 * time.Millisecond
	redialMost   = 1500 * time.Millisecond
	fetchTimeout = 300 * time.Millisecond
	forgetAfter  = 30 * time.Second
	workKept     = 1500 * time.Millisecond // of an entry whose link ended
	// gossipEvery is how often one process of the data centre is told of processes
	// and endpoints.
	gossipEvery = time.Second
	// wholeEvery is how often other data centres are told all of this entry's open
	// work that they are to know.
	wholeEvery = 2 * time.Second
	// originKept is how long the work of an entry stays known that is told by
	// relays and was not told again.
	originKept = 5 * time.Second
	// reportEvery is how often the sums of this data centre's work are told to others.
	reportEvery = 150 * time.Millisecond
	// unwantedKept is how long a link stays that the topology has no use for.
	unwantedKept  = 5 * time.Second
	checkEvery    = time.Second
	maxQueuedNews = 4096
)

// Options sets up a mesh.
type Options struct {
	Self   *wire.ProcessRecord
	Seeds  []string // addresses of links
	Dial   func(address string) (*grpc.ClientConn, error)
	Decode catalogue.Decode
}

// Mesh holds the links of one process. It implements wire.MeshServer.
type Mesh struct {
	wire.UnimplementedMeshServer

	options   Options
	store     *statecache.Store
	directory *directory.Directory
	book      *placement.Scheduler
	logger    *logs.Logger

	mu        sync.Mutex
	ctx       context.Context
	self      *wire.ProcessRecord
	seeds     []string
	links     map[string]*outLink // by address
	far       []string            // data centres that are told through relays, sorted
	relays    map[string]*outLink // in use, by data centre
	incoming  map[uint64]*inStream
	origins   map[uint64]*origin // entries whose work is told by relays
	events    uint64             // of this entry's work so far
	heard     map[string]bool    // addresses of processes that have told all they know
	fetchedAt monotonic.Time
	redial    time.Duration // before the first dial after a failure

	gossips uint64 // rounds so far
}

// New returns a mesh that does nothing before Run.
func New(options Options, store *statecache.Store, dir *directory.Directory, book *placement.Scheduler) *Mesh {
	m := &Mesh{
		options:   options,
		store:     store,
		directory: dir,
		book:      book,
		logger:    logs.For("mesh"),
		self:      options.Self,
		seeds:     options.Seeds,
		links:     make(map[string]*outLink),
		relays:    make(map[string]*outLink),
		incoming:  make(map[uint64]*inStream),
		origins:   make(map[uint64]*origin),
		heard:     make(map[string]bool),
		fetchedAt: -monotonic.Time(fetchTimeout),
		redial:    redialDelay,
	}
	dir.MergeProcesses([]*wire.ProcessRecord{options.Self})
	dir.OnUpdate(m.tellEndpoints)
	book.OnWorkEvent(m.tellWork)
	store.OnChange(func(*catalogue.State) { m.notify() })
	store.OnFresh(m.notify)
	return m
}

// Run keeps the links until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	m.connect()
	go every(ctx, gossipEvery, m.gossip)
	if m.options.Self.Entry {
		go every(ctx, wholeEvery, m.tellWhole)
		go every(ctx, reportEvery, m.tellReports)
	}
	every(ctx, checkEvery, func() {
		m.book.Expire()
		m.expireOrigins()
		m.connect()
	})
}

// every calls f again and again until ctx ends, from a random moment on.
func every(ctx context.Context, interval time.Duration, f func()) {
	timer := time.NewTimer(rand.N(interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			f()
			timer.Reset(interval)
		}
	}
}

// SetSeeds replaces the seeds after a reload.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	m.seeds = seeds
	m.mu.Unlock()
}

// notify tells the processes that read from this one of a new state, or of one
// that is confirmed again.
func (m *Mesh) notify() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.incoming {
		select {
		case s.notice <- struct{}{}:
		default:
		}
	}
}

// mayFetch reports whether no other link is fetching the state just now.
func (m *Mesh) mayFetch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := monotonic.Now()
	if now.Sub(m.fetchedAt) < fetchTimeout {
		return false
	}
	m.fetchedAt = now
	return true
}

func (m *Mesh) fetched() {
	m.mu.Lock()
	m.fetchedAt = -monotonic.Time(fetchTimeout)
	m.mu.Unlock()
}

// Silence returns how long each linked process has not answered on its link.
func (m *Mesh) Silence() map[string]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	silence := make(map[string]time.Duration, len(m.links))
	for address, l := range m.links {
		silence[address] = monotonic.Since(l.heardAt())
	}
	return silence
}

// Stats are counts for the metrics.
type Stats struct {
	LinksByRole            map[string]int // by role
	LinksUp                int            // of these, those that are up
	UnreachableDataCentres int            // data centres of which no relay answers
	LongestSilence         time.Duration  // silence on a link
}

// Stats counts the links.
func (m *Mesh) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := Stats{LinksByRole: make(map[string]int), UnreachableDataCentres: len(m.far) - len(m.relays)}
	for _, l := range m.links {
		f.LinksByRole[linkRole(l.role.Load()).String()]++
		if l.isUp() {
			f.LinksUp++
		}
		f.LongestSilence = max(f.LongestSilence, monotonic.Since(l.heardAt()))
	}
	return f
}

// SeedsSynced reports whether every seed has told the processes that it knows. A
// seed tells them to each process that it hears of.
func (m *Mesh) SeedsSynced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, address := range m.seeds {
		if address != m.options.Self.Address && !m.heard[address] {
			return false
		}
	}
	return true
}

// EntryCount returns how many entries are known, this one included.
func (m *Mesh) EntryCount() int {
	n := 0
	for _, p := range m.directory.Processes() {
		if p.Entry {
			n++
		}
	}
	return n
}
