// Package bench measures admission, routing and retries under load in virtual
// time. Gates (which admit work at one endpoint) and the routers, retry budgets
// and quotas of entries (which take the callers' requests) are those of the
// product; endpoints are simulated in memory. It runs within testing/synctest.
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
	model            = "m1"
	reportInterval   = 250 * time.Millisecond   // between a gate's reports, unless it asks for one earlier
	reportDelay      = 2 * time.Millisecond     // from a gate to the entries
	reportOffset     = 11770 * time.Microsecond // before a gate's first report, so that no two of its timers fire at once (as loadSampleOffset)
	reportDueDelay   = 1370 * time.Microsecond  // between a gate's request and its report
	announceInterval = time.Second              // between an engine's announcements to its gate; as in trials/fakeendpoint
	leaseDuration    = 3 * time.Second          // of a gate lease
	startupTime      = 2 * time.Second          // until the entries have a report of every gate
	shutdownTime     = 20 * time.Minute         // until every timer of the gates has fired
)

// Options describe a simulated fleet.
type Options struct {
	Seed           uint64
	Policy         string           // one of routing.PolicyNames
	Scorers        []routing.Scorer // replaces those of the policy unless nil
	ShortPool      ShortPool
	IgnorePriority bool // engines compute prompts in order of arrival
	Endpoints      int
	DataCentres    int
	Entries        int
}

// Fleet holds the engines, their gates and the entries of a simulation.
type Fleet struct {
	options      Options
	view         *sharedView
	Engines      []*Engine
	gates        map[string]*gate.Gate
	gateList     []*gate.Gate
	entries      []*entry
	cancel       context.CancelFunc
	retryRefused bool // callers retry a refused request once
	ctx          context.Context
}

// entry is the part of an entry that chooses endpoints and limits retries.
type entry struct {
	table  *routing.Table
	router *routing.Router
	budget *relay.RetryBudget
}

// sharedView is the fleet configuration; a change reaches every gate and entry
// at once.
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

// fakeControl stands in for the control replicas: it grants every gate lease and
// accepts every report that an order is done.
type fakeControl struct{}

// Acquire implements gate.Leases.
func (fakeControl) Acquire(context.Context, *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error) {
	return &wire.GateLeaseResponse{Held: true, Number: 1, ValidMs: uint32(leaseDuration.Milliseconds())}, nil
}

// Done implements gate.OrderReporter.
func (fakeControl) Done(context.Context, *wire.OrderDoneRequest) error { return nil }

// NewFleet starts a fleet and waits until its entries know every endpoint.
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
		f.startEndpoint(i)
	}
	time.Sleep(startupTime)
	return f, nil
}

func (f *Fleet) startEndpoint(i int) {
	name := fmt.Sprintf("e%02d", i)
	e := newEngine(name, f.options.IgnorePriority)
	g := gate.New(gate.Options{DataCentre: dataCentreName(i, f.options.DataCentres), Address: name,
		Configuration: f.view, Endpoint: e, Leases: fakeControl{}, Orders: fakeControl{}})
	f.Engines = append(f.Engines, e)
	f.gateList = append(f.gateList, g)
	f.gates[name] = g
	time.Sleep(time.Duration(i) * 137 * time.Microsecond) // so that no two gates act at the same moment
	f.announceOnce(e, g)                                  // before the gate runs, so that its timers start at the same moment in every run
	go e.run(f.ctx)
	go e.sampleLoad(f.ctx)
	go e.deliverCacheEvents(f.ctx, g)
	go f.announce(e, g)
	go g.Run(f.ctx)
	go f.deliverReports(g)
}

func dataCentreName(i, count int) string { return fmt.Sprintf("dc%d", i%max(1, count)+1) }

// announce announces an engine to its gate every announceInterval, as an endpoint
// does to its agent.
func (f *Fleet) announce(e *Engine, g *gate.Gate) {
	for f.ctx.Err() == nil {
		sleep(f.ctx, announceInterval)
		f.announceOnce(e, g)
	}
}

func (f *Fleet) announceOnce(e *Engine, g *gate.Gate) {
	e.mu.Lock()
	boot := e.bootID()
	e.mu.Unlock()
	_ = g.Announce(gate.EndpointInfo{Endpoint: e.name, Address: e.name, Models: []string{model}, BootID: boot,
		MemoryTokens: memoryTokens, Concurrency: concurrency, ColdConcurrency: coldConcurrency, PrefillTokensPerSecond: MaxPrefillTokensPerSecond, DecodeMsPerToken: 5})
}

// deliverReports passes a gate's reports to every entry, at intervals and when
// the gate asks for one.
func (f *Fleet) deliverReports(g *gate.Gate) {
	sleep(f.ctx, reportOffset)
	for f.ctx.Err() == nil {
		if report := g.Report(0); report != nil {
			time.Sleep(reportDelay)
			for _, e := range f.entries {
				e.table.Observe(report, time.Now())
			}
		}
		timer := time.NewTimer(reportInterval)
		select {
		case <-g.ReportDue():
			sleep(f.ctx, reportDueDelay)
		case <-timer.C:
		case <-f.ctx.Done():
		}
		timer.Stop()
	}
}

// SetDataCentre takes a data centre out of service or returns it.
func (f *Fleet) SetDataCentre(name string, out bool) {
	f.view.set(&wire.FleetConfig{Revision: 2, DataCentres: []*wire.DataCentre{{Name: name, Out: out}}})
}

// RestartDataCentre restarts the engines of a data centre, which are cold
// afterwards, and returns them.
func (f *Fleet) RestartDataCentre(name string) (restarted []*Engine) {
	for i, e := range f.Engines {
		if dataCentreName(i, f.options.DataCentres) == name {
			e.restart()
			restarted = append(restarted, e)
		}
	}
	return restarted
}

// Stop ends the fleet and waits until its timers have fired: synctest.Test
// returns only when every goroutine has ended.
func (f *Fleet) Stop() {
	f.cancel()
	time.Sleep(shutdownTime)
}
