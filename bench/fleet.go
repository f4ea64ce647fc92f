// Package bench measures the decision code under load in virtual time. Real
// gates, routers, tables, budgets and quotas run against engines in memory; it
// is meant to run within testing/synctest.
package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/fleet"
)

const (
	model         = "m1"
	reportEvery   = 250 * time.Millisecond
	reportDelay   = 2 * time.Millisecond
	reportPhase   = 11770 * time.Microsecond
	changedPhase  = 1370 * time.Microsecond
	announceEvery = time.Second
	leaseTime     = 3 * time.Second
	settleTime    = 2 * time.Second
	windDown      = 20 * time.Minute // lets every timer of the gates end
)

// Options describe a fleet.
type Options struct {
	Seed           uint64
	Policy         string
	Scorers        []routing.Scorer // in place of the policy's, when set
	ShortPool      ShortPool
	IgnorePriority bool // engines pass over priorities
	Endpoints      int
	DataCentres    int
	Entries        int
}

// Fleet is gates, engines and entries in one process.
type Fleet struct {
	options Options
	view    *sharedView
	Engines []*Engine
	gates   map[string]*gate.Gate
	list    []*gate.Gate
	entries []*entry
	cancel  context.CancelFunc
	again   bool // refused callers return once
	ctx     context.Context
}

type entry struct {
	table  *routing.Table
	router *routing.Router
	budget *relay.RetryBudget
}

// sharedView is the configuration that all see at once.
type sharedView struct {
	mu   sync.Mutex
	view *fleet.View
}

// Current implements gate.Configuration.
func (v *sharedView) Current() (*fleet.View, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view, nil
}

// Revision implements gate.Configuration.
func (v *sharedView) Revision() uint64 { return 1 }

func (v *sharedView) set(config *wire.FleetConfig) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.view = fleet.NewView(config)
}

type leases struct{}

// Acquire implements gate.Leases.
func (leases) Acquire(context.Context, *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error) {
	return &wire.GateLeaseResponse{Held: true, Number: 1, ValidMs: uint32(leaseTime.Milliseconds())}, nil
}

// Done implements gate.OrderReporter.
func (leases) Done(context.Context, *wire.OrderDoneRequest) error { return nil }

// NewFleet starts a fleet and waits until its entries know it.
func NewFleet(o Options) (*Fleet, error) {
	f := &Fleet{options: o, view: &sharedView{view: fleet.NewView(&wire.FleetConfig{})}, gates: make(map[string]*gate.Gate)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	random := rand.New(rand.NewPCG(o.Seed, 2))
	for range o.Entries {
		policy, err := routing.NewSeededPolicy(o.Policy, random.IntN)
		if err != nil {
			return nil, err
		}
		if o.Scorers != nil {
			policy.Scorers = o.Scorers
		}
		policy.Scorers = append(slices.Clip(policy.Scorers), o.ShortPool.scorers()...)
		table := routing.NewTable()
		f.entries = append(f.entries, &entry{table, routing.NewRouter(table, policy), relay.NewRetryBudget()})
	}
	for i := range o.Endpoints {
		f.start(i)
	}
	time.Sleep(settleTime)
	return f, nil
}

func (f *Fleet) start(i int) {
	name := fmt.Sprintf("e%02d", i)
	e := newEngine(name, f.options.IgnorePriority)
	g := gate.New(gate.Options{DataCentre: dataCentre(i, f.options.DataCentres), Address: name,
		Configuration: f.view, Endpoint: e, Leases: leases{}, Orders: leases{}})
	f.Engines = append(f.Engines, e)
	f.list = append(f.list, g)
	f.gates[name] = g
	time.Sleep(time.Duration(i) * 137 * time.Microsecond) // gates do not tick together
	f.announceOnce(e, g)                                  // before the gate asks, so that its timers start alike
	go e.run(f.ctx)
	go e.sampleLoad(f.ctx)
	go e.deliver(f.ctx, g)
	go f.announce(e, g)
	go g.Run(f.ctx)
	go f.report(g)
}

func dataCentre(i, count int) string { return fmt.Sprintf("dc%d", i%max(1, count)+1) }

func (f *Fleet) announce(e *Engine, g *gate.Gate) {
	for f.ctx.Err() == nil {
		sleep(f.ctx, announceEvery)
		f.announceOnce(e, g)
	}
}

func (f *Fleet) announceOnce(e *Engine, g *gate.Gate) {
	e.mu.Lock()
	boot := e.bootID()
	e.mu.Unlock()
	_ = g.Announce(gate.EndpointInfo{Endpoint: e.name, Address: e.name, Models: []string{model}, BootID: boot,
		MemoryTokens: memoryTokens, Concurrency: concurrency, ColdConcurrency: coldLimit, PrefillTokensPerSecond: MaxPrefillTokensPerSecond, DecodeMsPerToken: 5})
}

// report tells the entries of a gate at intervals and when it asks for it.
func (f *Fleet) report(g *gate.Gate) {
	sleep(f.ctx, reportPhase)
	for f.ctx.Err() == nil {
		if report := g.Report(0); report != nil {
			time.Sleep(reportDelay)
			for _, e := range f.entries {
				e.table.Observe(report, time.Now())
			}
		}
		timer := time.NewTimer(reportEvery)
		select {
		case <-g.ReportDue():
			sleep(f.ctx, changedPhase)
		case <-timer.C:
		case <-f.ctx.Done():
		}
		timer.Stop()
	}
}

// SetDataCentre takes a data centre out or in again.
func (f *Fleet) SetDataCentre(name string, out bool) {
	f.view.set(&wire.FleetConfig{Revision: 2, DataCentres: []*wire.DataCentre{{Name: name, Out: out}}})
}

// RestartDataCentre turns the engines of a data centre cold.
func (f *Fleet) RestartDataCentre(name string) (restarted []*Engine) {
	for i, e := range f.Engines {
		if dataCentre(i, f.options.DataCentres) == name {
			e.restart()
			restarted = append(restarted, e)
		}
	}
	return restarted
}

// Stop ends the fleet and lets its timers run out.
func (f *Fleet) Stop() {
	f.cancel()
	time.Sleep(windDown)
}
