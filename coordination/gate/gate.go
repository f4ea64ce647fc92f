// Package gate implements the gate in front of one endpoint. Every attempt for
// that endpoint passes through it: it admits or refuses attempts, limits
// concurrency while the endpoint is in cold start, accounts for the endpoint's
// memory in tokens, and buffers answers until their readers have acknowledged
// them. It reaches the endpoint through the Endpoint interface.
package gate

import (
	"crypto/rand"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

const (
	// announcementTTL is how long an announcement keeps the endpoint available.
	announcementTTL = 3 * time.Second
	// shortRetryAfter is the Retry-After of conditions that end soon, such as a
	// full queue.
	shortRetryAfter = 500 * time.Millisecond
	// longRetryAfter is the Retry-After while the endpoint is out of service.
	longRetryAfter = 2 * time.Second
)

// Options configures a gate.
type Options struct {
	DataCentre    string
	Address       string // gRPC address at which entries reach the gate
	Configuration Configuration
	Endpoint      Endpoint
	Leases        Leases
	Orders        OrderReporter
	ReplayBytes   int               // limit of unacknowledged answer bytes; DefaultReplayBytes when 0
	Metrics       *metrics.Registry // a new registry when nil
}

// Gate controls access to one endpoint.
type Gate struct {
	options   Options
	instance  string
	budget    *replayBudget
	probeDue  chan struct{} // requests a probe
	reportDue chan struct{} // readiness, cold start or draining may have changed

	mu                sync.Mutex
	info              EndpointInfo
	announcedAt       time.Time // zero before the first announcement
	lease             lease
	slowStart         slowStart
	lastBoot          string // last known boot ID, kept while a restart is suspected
	suspectedAt       time.Time
	memory            memoryLedger
	queue             queue
	arrivals          arrivalRate
	records           records
	running           map[string]*Attempt // dispatched attempts that may still be at the endpoint, by attempt ID
	foreign           map[string]struct{} // attempts at the endpoint that this gate did not send
	cancelling        map[string]struct{} // foreign attempts whose cancel call is in progress
	orphanBlocks      int                 // KV blocks at the endpoint that belong to no group reservation
	deletingBlocks    map[string]struct{} // orphan blocks whose delete call is in progress
	bodyBytes         uint64
	draining          bool
	load              *wire.EndpointLoad
	loadAt            time.Time
	cacheEvents       []*wire.CacheEvent
	cacheSequence     uint64
	lastOrder         uint64    // highest number of a claimed order
	weightOrderSentAt time.Time // when an order that loads weights was last sent; used only by the order loop
	reportSequence    uint64
	reportedReady     bool // value at the last change that made a report due
	reportedCold      bool
}

// New returns a gate with a random instance ID. The gate admits nothing until
// the endpoint has announced itself and the gate holds its lease.
func New(options Options) *Gate {
	if options.Metrics == nil {
		options.Metrics = metrics.New()
	}
	return &Gate{
		options:        options,
		instance:       rand.Text(),
		budget:         newReplayBudget(options.ReplayBytes),
		probeDue:       make(chan struct{}, 1),
		reportDue:      make(chan struct{}, 1),
		memory:         newMemoryLedger(),
		records:        newRecords(),
		running:        make(map[string]*Attempt),
		foreign:        make(map[string]struct{}),
		cancelling:     make(map[string]struct{}),
		deletingBlocks: make(map[string]struct{}),
	}
}

// Instance returns the ID of this gate instance. It changes with every start.
func (g *Gate) Instance() string { return g.instance }

// ReportDue returns a channel that receives a value when a report should be
// sent immediately.
func (g *Gate) ReportDue() <-chan struct{} { return g.reportDue }

// notify sends to c without blocking; a pending notification is enough.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Announce applies an announcement of the endpoint. The first one binds the
// gate to the name of that endpoint; later announcements under another name are
// rejected with Conflict.
func (g *Gate) Announce(info EndpointInfo) error {
	if info.Endpoint == "" || info.Address == "" {
		return fault.New(fault.InvalidRequest, "announcement has no endpoint name or no address")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.announcedAt.IsZero() && g.info.Endpoint != info.Endpoint {
		return fault.New(fault.Conflict, "this gate serves endpoint %s", g.info.Endpoint)
	}
	if g.announcedAt.IsZero() {
		notify(g.reportDue)
	}
	g.info = info
	g.announcedAt = time.Now()
	g.slowStart.configure(info)
	g.memory.total = info.MemoryTokens
	if info.BootID != g.slowStart.boot {
		notify(g.probeDue) // only a probe changes the boot ID: an announcement may be delayed
	}
	return nil
}

// EndpointName returns the name of the announced endpoint, or "" before the
// first announcement.
func (g *Gate) EndpointName() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.info.Endpoint
}

// checkAvailable returns an error unless new work may be dispatched at the time
// now. It is called on arrival, after queueing and immediately before dispatch.
func (g *Gate) checkAvailable(now time.Time) *fault.Error {
	view, err := g.options.Configuration.Current()
	if err != nil {
		return fault.From(err)
	}
	switch {
	case g.draining:
		return outOfService("gate is draining")
	case g.announcedAt.IsZero() || now.Sub(g.announcedAt) > announcementTTL:
		return outOfService("endpoint has not announced itself recently")
	case view.DataCentreOut(g.options.DataCentre):
		return outOfService("data centre is out of service")
	case view.EndpointState(g.info.Endpoint) != wire.EndpointState_ENDPOINT_STATE_IN:
		return outOfService("endpoint is out of service or draining")
	case !g.lease.held(now):
		return outOfService("gate does not hold the lease of its endpoint")
	}
	return nil
}

func outOfService(what string) *fault.Error {
	return fault.New(fault.OutOfService, "%s", what).WithRetryAfter(longRetryAfter)
}

// unconfirmed counts the dispatched attempts that no later probe has confirmed.
func (g *Gate) unconfirmed() int {
	n := 0
	for _, a := range g.running {
		if !a.confirmed {
			n++
		}
	}
	return n
}

// hasCapacity reports whether one more attempt may be sent to the endpoint.
func (g *Gate) hasCapacity() bool {
	if len(g.running)+len(g.foreign) >= g.slowStart.limit() {
		return false
	}
	return g.orphanBlocks == 0 && g.unconfirmed() < g.slowStart.coldLimit
}

// dispatchWaiting dispatches queued attempts while the endpoint has capacity.
// The caller holds mu.
func (g *Gate) dispatchWaiting() {
	now := time.Now()
	if g.checkAvailable(now) != nil {
		return
	}
	for len(g.queue.items) > 0 && g.hasCapacity() {
		a := g.queue.takeNext(now, g.reserveMemory, g.mayOvertake)
		if a == nil {
			return
		}
		a.stage = stageDispatched
		a.boot = g.slowStart.boot
		g.running[a.open.Attempt] = a
		close(a.dispatched)
	}
	if len(g.queue.items) > 0 {
		notify(g.probeDue)
	}
}

// reserveMemory reserves the memory of an attempt and returns false when it is
// not free.
func (g *Gate) reserveMemory(a *Attempt) bool {
	if a.open.Reservation != "" || g.info.Service != "" {
		return true // covered by a group reservation, or a service, which needs none
	}
	return g.memory.reserve(a.open.Attempt, a.tokens())
}

// mayOvertake reports whether attempt a may be dispatched before blocked, which
// waits for memory: a and all running attempts that overtook must leave enough
// of the total memory for blocked.
func (g *Gate) mayOvertake(blocked, a *Attempt) bool {
	overtaking := a.tokens()
	for _, r := range g.running {
		if r.overtook {
			overtaking += r.tokens()
		}
	}
	return blocked.tokens()+overtaking <= g.memory.total
}

// removeRunning removes an attempt from the running ones and releases its
// memory. The caller holds mu.
func (g *Gate) removeRunning(a *Attempt) {
	if g.running[a.open.Attempt] == a {
		delete(g.running, a.open.Attempt)
	}
	g.memory.release(a.open.Attempt)
	g.removeGroupUser(a)
	g.dispatchWaiting()
}

func (g *Gate) removeGroupUser(a *Attempt) {
	if a.usesGroup {
		a.usesGroup = false
		g.memory.removeGroupUser(a.open.Reservation)
	}
}

// StopAdmitting makes the gate refuse new and queued attempts; dispatched
// attempts continue.
func (g *Gate) StopAdmitting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.refuseWaiting()
	notify(g.reportDue)
}

// ActiveAttempts returns the number of queued attempts and of dispatched
// attempts that have not ended.
func (g *Gate) ActiveAttempts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(g.queue.items)
	for _, a := range g.running {
		if a.stage != stageEnded {
			n++
		}
	}
	return n
}

// ReservedTokens returns the reserved memory of the endpoint, in tokens.
func (g *Gate) ReservedTokens() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.memory.used
}
