// Package gate decides what reaches an endpoint. A gate is the only way to its
// endpoint: it admits or refuses attempts, bounds the load while the endpoint
// is in cold start, keeps the ledger of its memory and buffers answers until
// they are acknowledged. It reaches the endpoint through the Endpoint interface.
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
	// announceFor is how long an endpoint counts as there after it announced itself.
	announceFor = 3 * time.Second
	retrySoon   = 500 * time.Millisecond
	retryLater  = 2 * time.Second
)

// Options are the settings of a gate.
type Options struct {
	DataCentre    string
	Address       string // gRPC address that entries reach the gate at
	Configuration Configuration
	Endpoint      Endpoint
	Leases        Leases
	Orders        OrderReporter
	ReplayBytes   int               // of unacknowledged answers, DefaultReplayBytes when 0
	Metrics       *metrics.Registry // a new one when nil
}

// Gate guards one endpoint.
type Gate struct {
	options  Options
	instance string
	budget   *budget
	probe    chan struct{} // asks for a probe
	changed  chan struct{} // ready, cold or leaving may have changed

	mu          sync.Mutex
	info        EndpointInfo
	announcedAt time.Time // zero before the first announcement
	lease       lease
	ramp        ramp
	lastBoot    string // last boot id known, kept while the boot is in doubt
	doubtedAt   time.Time
	memory      memory
	queue       queue
	flow        flow
	records     records
	running     map[string]*Attempt // at the endpoint, as far as is known
	foreign     map[string]struct{} // at the endpoint, not sent by this gate
	cancelling  map[string]struct{} // foreign attempts being cancelled
	strays      int                 // KV blocks at the endpoint that no reservation names
	sweeping    map[string]struct{} // of them, those being deleted
	bodyBytes   uint64
	leaving     bool
	load        *wire.EndpointLoad
	loadAt      time.Time
	cache       []*wire.CacheEvent
	cacheSeq    uint64
	lastOrder   uint64
	weightsSent time.Time // when an order that loads weights was last sent; of the order loop alone
	reports     uint64
	toldReady   bool // as last reported
	toldCold    bool
}

// New returns a gate with a random instance name. It admits nothing before the
// endpoint has announced itself and the lease is held.
func New(options Options) *Gate {
	if options.Metrics == nil {
		options.Metrics = metrics.New()
	}
	return &Gate{
		options:    options,
		instance:   rand.Text(),
		budget:     newBudget(options.ReplayBytes),
		probe:      make(chan struct{}, 1),
		changed:    make(chan struct{}, 1),
		memory:     newMemory(),
		records:    newRecords(),
		running:    make(map[string]*Attempt),
		foreign:    make(map[string]struct{}),
		cancelling: make(map[string]struct{}),
		sweeping:   make(map[string]struct{}),
	}
}

// Instance names this start of the gate.
func (g *Gate) Instance() string { return g.instance }

// ReportDue receives a value when a report is due at once.
func (g *Gate) ReportDue() <-chan struct{} { return g.changed }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Announce takes an announcement of the endpoint. The first one binds the gate
// to that endpoint's name; one of another name is refused.
func (g *Gate) Announce(info EndpointInfo) error {
	if info.Endpoint == "" || info.Address == "" {
		return fault.New(fault.InvalidRequest, "announcement lacks endpoint or address")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.announcedAt.IsZero() && g.info.Endpoint != info.Endpoint {
		return fault.New(fault.Conflict, "this gate serves endpoint %s", g.info.Endpoint)
	}
	if g.announcedAt.IsZero() {
		notify(g.changed)
	}
	g.info = info
	g.announcedAt = time.Now()
	g.ramp.configure(info)
	g.memory.total = info.MemoryTokens
	if info.BootID != g.ramp.boot {
		notify(g.probe) // the probe decides: an announcement may be late
	}
	return nil
}

// EndpointName is the name of the announced endpoint, empty before.
func (g *Gate) EndpointName() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.info.Endpoint
}

// available says whether new work may be dispatched at this moment. It is
// asked on arrival, after waiting and right before dispatch.
func (g *Gate) available(now time.Time) *fault.Error {
	view, err := g.options.Configuration.Current()
	if err != nil {
		return fault.From(err)
	}
	switch {
	case g.leaving:
		return outOfService("gate is shutting down")
	case g.announcedAt.IsZero() || now.Sub(g.announcedAt) > announceFor:
		return outOfService("endpoint does not announce itself")
	case view.DataCentreOut(g.options.DataCentre):
		return outOfService("data centre is out of service")
	case view.EndpointState(g.info.Endpoint) != wire.EndpointState_ENDPOINT_STATE_IN:
		return outOfService("endpoint is out of service or leaving")
	case !g.lease.held(now):
		return outOfService("gate does not hold the lease of its endpoint")
	}
	return nil
}

func outOfService(what string) *fault.Error {
	return fault.New(fault.OutOfService, "%s", what).After(retryLater)
}

// unconfirmed counts dispatches that no later probe has confirmed.
func (g *Gate) unconfirmed() int {
	n := 0
	for _, a := range g.running {
		if !a.confirmed {
			n++
		}
	}
	return n
}

// hasRoom says whether one more attempt may be at the endpoint.
func (g *Gate) hasRoom() bool {
	if len(g.running)+len(g.foreign) >= g.ramp.limit() {
		return false
	}
	return g.strays == 0 && g.unconfirmed() < g.ramp.cold
}

// pump dispatches waiting attempts while there is room. The caller holds mu.
func (g *Gate) pump() {
	now := time.Now()
	if g.available(now) != nil {
		return
	}
	for len(g.queue.items) > 0 && g.hasRoom() {
		a := g.queue.next(now, g.reserve, g.passes)
		if a == nil {
			return
		}
		a.stage = stageDispatched
		a.boot = g.ramp.boot
		g.running[a.open.Attempt] = a
		close(a.start)
	}
	if len(g.queue.items) > 0 {
		notify(g.probe)
	}
}

// reserve takes the memory of an attempt; false when it is not free.
func (g *Gate) reserve(a *Attempt) bool {
	if a.open.Reservation != "" || g.info.Service != "" {
		return true // held already, or none needed
	}
	return g.memory.take(a.open.Attempt, a.tokens())
}

// passes says whether an attempt may go before one that waits for memory: those
// that passed must leave enough of the whole for it.
func (g *Gate) passes(blocked, a *Attempt) bool {
	passing := a.tokens()
	for _, r := range g.running {
		if r.passing {
			passing += r.tokens()
		}
	}
	return blocked.tokens()+passing <= g.memory.total
}

// remove ends an attempt's claim on the endpoint. The caller holds mu.
func (g *Gate) remove(a *Attempt) {
	if g.running[a.open.Attempt] == a {
		delete(g.running, a.open.Attempt)
	}
	g.memory.give(a.open.Attempt)
	g.unuse(a)
	g.pump()
}

func (g *Gate) unuse(a *Attempt) {
	if a.usesGroup {
		a.usesGroup = false
		g.memory.unuse(a.open.Reservation)
	}
}

// StopAdmitting makes the gate refuse new work; what runs goes on.
func (g *Gate) StopAdmitting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.refuseWaiting()
	notify(g.changed)
}

// ActiveAttempts counts the attempts that are not ended.
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

// ReservedTokens is the memory in the ledger, in tokens.
func (g *Gate) ReservedTokens() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.memory.used
}
