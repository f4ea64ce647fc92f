// Package mesh links the processes of a fleet that serves routes. Each process
// opens one stream to each other one, writes its news there and learns from the
// pongs whether its catalogue is current.
package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/current"
	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"google.golang.org/grpc"
)

const (
	pingInterval = 400 * time.Millisecond
	// pongTimeout is the silence after which a link is replaced.
	pongTimeout = 1200 * time.Millisecond
	// batchDelay gathers news so that a busy moment costs one frame.
	batchDelay    = 4 * time.Millisecond
	redialDelay   = 100 * time.Millisecond
	redialMost    = 1500 * time.Millisecond
	fetchTimeout  = 300 * time.Millisecond
	forgetAfter   = 30 * time.Second
	workKept      = 1500 * time.Millisecond // of an entry whose link ended
	gossipEvery   = 5 * time.Second
	expireEvery   = time.Second
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
	store     *current.Store
	directory *directory.Directory
	book      *placement.Book
	logger    *logs.Logger

	mu        sync.Mutex
	ctx       context.Context
	seeds     []string
	links     map[string]*outLink // by address
	incoming  map[uint64]*inStream
	heard     map[string]bool // addresses of processes that have told all they know
	fetchedAt steady.Time
	redial    time.Duration // before the first dial after a failure
}

// New returns a mesh that does nothing before Run.
func New(options Options, store *current.Store, dir *directory.Directory, book *placement.Book) *Mesh {
	m := &Mesh{
		options:   options,
		store:     store,
		directory: dir,
		book:      book,
		logger:    logs.For("mesh"),
		seeds:     options.Seeds,
		links:     make(map[string]*outLink),
		incoming:  make(map[uint64]*inStream),
		heard:     make(map[string]bool),
		fetchedAt: -steady.Time(fetchTimeout),
		redial:    redialDelay,
	}
	dir.MergeProcesses([]*wire.ProcessRecord{options.Self})
	dir.OnNews(m.broadcast)
	book.OnNews(m.tellWork)
	store.OnChange(func(*catalogue.State) { m.notify() })
	return m
}

// Run keeps the links until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	m.connect()
	gossip := time.NewTicker(gossipEvery)
	defer gossip.Stop()
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-gossip.C:
			m.broadcast(&wire.MeshFrame{Processes: m.directory.Processes()})
		case <-expire.C:
			m.book.Expire()
			m.connect()
		}
	}
}

// SetSeeds replaces the seeds after a reload.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	m.seeds = seeds
	m.mu.Unlock()
}

// connect opens links to processes that have none, and tells this one's work to
// seeds that turn out to be entries.
func (m *Mesh) connect() {
	for _, l := range m.openAll(m.directory.Processes()) {
		l.enqueue(&wire.MeshFrame{Work: m.book.Own()})
	}
}

// openAll returns the links that now lead to an entry and did not before.
func (m *Mesh) openAll(known []*wire.ProcessRecord) []*outLink {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil || m.ctx.Err() != nil {
		return nil
	}
	for _, address := range m.seeds {
		m.open(address)
	}
	var entries []*outLink
	for _, p := range known {
		l := m.open(p.Address)
		if l == nil {
			continue
		}
		l.known(p.Incarnation)
		if p.Entry && !l.entry.Swap(true) {
			entries = append(entries, l)
		}
	}
	return entries
}

// open returns the link to a process, nil for this one.
func (m *Mesh) open(address string) *outLink {
	if address == m.options.Self.Address {
		return nil
	}
	if l := m.links[address]; l != nil {
		return l
	}
	l := &outLink{mesh: m, address: address, wake: make(chan struct{}, 1), anew: make(chan struct{}, 1), openedAt: steady.Now()}
	m.links[address] = l
	go l.run(m.ctx)
	return l
}

// abandoned removes a link to a process that was silent for long.
func (m *Mesh) abandoned(l *outLink) {
	m.mu.Lock()
	delete(m.links, l.address)
	m.mu.Unlock()
	for _, p := range m.directory.Processes() {
		if p.Address == l.address {
			m.directory.Forget(p.Address, p.Incarnation)
		}
	}
}

// broadcast queues news for every link.
func (m *Mesh) broadcast(news *wire.MeshFrame) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.enqueue(news)
	}
}

// tellWork queues news of work for the entries, the only ones that place any.
func (m *Mesh) tellWork(e *wire.WorkEvent) {
	news := &wire.MeshFrame{Work: []*wire.WorkEvent{e}}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.entry.Load() {
			l.enqueue(news)
		}
	}
}

// notify tells the processes that read from this one of a new state.
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
	now := steady.Now()
	if now.Sub(m.fetchedAt) < fetchTimeout {
		return false
	}
	m.fetchedAt = now
	return true
}

func (m *Mesh) fetched() {
	m.mu.Lock()
	m.fetchedAt = -steady.Time(fetchTimeout)
	m.mu.Unlock()
}

// Silence returns how long each known process has not answered on its link.
func (m *Mesh) Silence() map[string]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	silence := make(map[string]time.Duration, len(m.links))
	for address, l := range m.links {
		silence[address] = steady.Since(l.heardAt())
	}
	return silence
}

// HeardSeeds reports whether every seed has told the processes that it knows. A
// seed tells them to each process that it hears of.
func (m *Mesh) HeardSeeds() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, address := range m.seeds {
		if address != m.options.Self.Address && !m.heard[address] {
			return false
		}
	}
	return true
}

// Entries returns how many entries are known, this one included.
func (m *Mesh) Entries() int {
	n := 0
	for _, p := range m.directory.Processes() {
		if p.Entry {
			n++
		}
	}
	return n
}
