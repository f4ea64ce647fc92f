// Package mesh connects the processes of a fleet that serves routes. A process opens
// streams to the processes of its data centre and to relays in the others, and publishes
// its updates on them: records of processes and endpoints, the work in flight that it has
// placed (if it is an entry, which receives the callers' requests), and load reports. A
// relay is an entry that forwards the updates within its data centre. Pongs tell a process
// whether its copy of the catalogue, called the state, is the newest. The state is fresh
// while that was confirmed recently. Package fanout plans the links.
package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"google.golang.org/grpc"
)

const (
	pingInterval = 400 * time.Millisecond
	// idlePingInterval is the interval on links that carry no updates.
	idlePingInterval = 1200 * time.Millisecond
	// maxMissedPings is the number of ping intervals without a pong after which a link is
	// replaced.
	maxMissedPings = 3
	// batchDelay is the time for which updates are collected, so that a burst is sent in
	// one frame.
	batchDelay     = 4 * time.Millisecond
	minRedialDelay = 100 * time.Millisecond // doubles with each failure up to maxRedialDelay
	maxRedialDelay = 1500 * time.Millisecond
	// stateFetchTimeout is the time that a requested state may take to arrive, after which
	// it may be requested again on any link.
	stateFetchTimeout = 300 * time.Millisecond
	// goneTimeout is the silence after which a process is marked as gone.
	goneTimeout = 30 * time.Second
	// lostLinkWorkTimeout is the time for which the work of an entry is kept after its
	// stream has ended. If the entry opens a new stream sooner, its work is kept.
	lostLinkWorkTimeout = 1500 * time.Millisecond
	// gossipInterval is the interval at which the records of processes and endpoints are
	// sent to one random process of the data centre.
	gossipInterval = time.Second
	// fullWorkInterval is the interval at which an entry sends other data centres all the
	// open work that is published to them.
	fullWorkInterval = 2 * time.Second
	// partsInterval is the interval at which an entry repeats what it has seen of suspect
	// parts of prompts, which corrects for lost events.
	partsInterval = time.Second
	// relayedWorkTimeout is the time without updates after which the work that relays
	// forward for an entry expires.
	relayedWorkTimeout = 5 * time.Second
	// loadReportInterval is the interval at which the load report of this data centre is
	// sent to the others.
	loadReportInterval = 150 * time.Millisecond
	// unusedLinkTimeout is the time after which a link that the topology does not need is
	// closed.
	unusedLinkTimeout = 5 * time.Second
	// checkInterval is the interval at which expired work is removed and the links are
	// reconciled with the known processes.
	checkInterval = time.Second
	// maxQueuedUpdates limits the work events and the relayed updates that wait on a link
	// for the next frame. Once that many wait, further ones are dropped. The update that
	// reaches the limit is kept whole and may exceed it. Records of processes and endpoints
	// have no limit.
	maxQueuedUpdates = 4096
)

// Options configures a mesh.
type Options struct {
	Self   *wire.ProcessRecord // this process
	Seeds  []string            // mesh addresses of the processes to connect to first
	Dial   func(address string) (*grpc.ClientConn, error)
	Decode catalogue.Decode // decodes the content of a received state
}

// Mesh holds the links of one process. It implements wire.MeshServer.
type Mesh struct {
	wire.UnimplementedMeshServer

	options   Options
	store     *statecache.Store
	directory *directory.Directory
	scheduler *placement.Scheduler
	parts     *quarantine.Tracker
	logger    *logs.Logger

	mu               sync.Mutex
	ctx              context.Context
	self             *wire.ProcessRecord
	seeds            []string
	links            map[string]*outLink     // by address
	remote           []string                // data centres that are reached through relays, sorted
	relays           map[string]*outLink     // in use, by data centre
	inStreams        map[uint64]*inStream    // by incarnation of the sender
	origins          map[uint64]*originState // entries whose work relays forward, by incarnation
	workEvents       uint64                  // published events of this entry's work
	synced           map[string]bool         // addresses of processes that have sent their process list
	stateRequestedAt monotonic.Time          // when the state was last requested
	redialDelay      time.Duration           // before the first dial after a failure

	gossipRound uint64 // only used by gossip
}

// New returns a mesh that opens no links before Run. It publishes the updates of dir and
// scheduler and keeps store up to date.
func New(options Options, store *statecache.Store, dir *directory.Directory, scheduler *placement.Scheduler, parts *quarantine.Tracker) *Mesh {
	m := &Mesh{
		options:          options,
		store:            store,
		directory:        dir,
		scheduler:        scheduler,
		parts:            parts,
		logger:           logs.For("mesh"),
		self:             options.Self,
		seeds:            options.Seeds,
		links:            make(map[string]*outLink),
		relays:           make(map[string]*outLink),
		inStreams:        make(map[uint64]*inStream),
		origins:          make(map[uint64]*originState),
		synced:           make(map[string]bool),
		stateRequestedAt: -monotonic.Time(stateFetchTimeout),
		redialDelay:      minRedialDelay,
	}
	dir.MergeProcesses([]*wire.ProcessRecord{options.Self})
	dir.OnUpdate(m.publishEndpoints)
	scheduler.OnWorkEvent(m.publishWork)
	parts.OnEvents(m.publishParts)
	store.OnChange(func(*catalogue.State) { m.notifyReaders() })
	store.OnFresh(m.notifyReaders)
	return m
}

// Run maintains the links and publishes updates until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	m.reconcile()
	go runEvery(ctx, gossipInterval, m.gossip)
	if m.options.Self.Entry {
		go runEvery(ctx, fullWorkInterval, m.publishFullWork)
		go runEvery(ctx, partsInterval, m.repeatParts)
		go runEvery(ctx, loadReportInterval, m.publishLoadReport)
		go runEvery(ctx, pingInterval, m.reportHeardEntries)
	}
	runEvery(ctx, checkInterval, func() {
		m.scheduler.Expire()
		m.expireOrigins()
		m.reconcile()
	})
}

// runEvery calls f at the interval until ctx ends. The first call comes after a random
// part of the interval, so that processes started together do not act in step.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
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

// SetSeeds replaces the seeds after the settings were reloaded.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	m.seeds = seeds
	m.mu.Unlock()
}

// notifyReaders makes each incoming stream send a notice that the state is new or fresh
// again.
func (m *Mesh) notifyReaders() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.inStreams {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
}

// startStateFetch reports whether a link may request the state: no other link has a request
// in flight that is younger than stateFetchTimeout. If so, it records the request.
func (m *Mesh) startStateFetch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := monotonic.Now()
	if now.Sub(m.stateRequestedAt) < stateFetchTimeout {
		return false
	}
	m.stateRequestedAt = now
	return true
}

// endStateFetch records that a requested state has arrived.
func (m *Mesh) endStateFetch() {
	m.mu.Lock()
	m.stateRequestedAt = -monotonic.Time(stateFetchTimeout)
	m.mu.Unlock()
}

// Silence returns the time since each linked process last answered a ping, by address. For
// a process that never answered it is the age of the link.
func (m *Mesh) Silence() map[string]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	silence := make(map[string]time.Duration, len(m.links))
	for address, l := range m.links {
		silence[address] = monotonic.Since(l.lastHeardAt())
	}
	return silence
}

// Stats describes the links, for metrics.
type Stats struct {
	LinksByRole            map[string]int
	LinksUp                int
	UnreachableDataCentres int           // data centres without a relay that answers
	LongestSilence         time.Duration // largest value of Silence
}

// Stats returns the current statistics.
func (m *Mesh) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := Stats{LinksByRole: make(map[string]int), UnreachableDataCentres: len(m.remote) - len(m.relays)}
	for _, l := range m.links {
		stats.LinksByRole[linkRole(l.role.Load()).String()]++
		if l.isUp() {
			stats.LinksUp++
		}
		stats.LongestSilence = max(stats.LongestSilence, monotonic.Since(l.lastHeardAt()))
	}
	return stats
}

// SeedsSynced reports whether every seed has sent the list of the processes that it knows.
// A seed sends it on each stream that it opens or accepts.
func (m *Mesh) SeedsSynced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, address := range m.seeds {
		if address != m.options.Self.Address && !m.synced[address] {
			return false
		}
	}
	return true
}

// EntryCount returns the number of known entries that are not gone, with this process if
// it is one.
func (m *Mesh) EntryCount() int {
	n := 0
	for _, p := range m.directory.Processes() {
		if p.Entry {
			n++
		}
	}
	return n
}
