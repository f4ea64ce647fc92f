package gate

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	probeBusy     = 250 * time.Millisecond // between probes that nobody asked for
	probeIdle     = 500 * time.Millisecond // the same while nothing runs
	probeTimeout  = time.Second
	probeMinPause = time.Millisecond
	probeMaxPause = 20 * time.Millisecond
	loadBusy      = 100 * time.Millisecond // between load reports
	loadIdle      = 500 * time.Millisecond
	tickInterval  = 50 * time.Millisecond
	tickIdle      = 200 * time.Millisecond
)

// Run keeps the gate's picture of its endpoint until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	go g.probeLoop(ctx)
	go g.loadLoop(ctx)
	go g.leaseLoop(ctx)
	go g.orderLoop(ctx)
	for ctx.Err() == nil {
		g.tick(ctx)
		wait.For(ctx, g.pace(tickInterval, tickIdle))
	}
}

// loadLoop asks for load reports, seldom while nothing runs.
func (g *Gate) loadLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.pollLoad(ctx)
		wait.For(ctx, g.pace(loadBusy, loadIdle))
	}
}

// pace is an interval that depends on whether anything runs or waits.
func (g *Gate) pace(busy, idle time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.running)+len(g.foreign)+len(g.queue.items) > 0 {
		return busy
	}
	return idle
}

func every(ctx context.Context, interval time.Duration, do func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// probeLoop probes on demand, again while dispatches stay unconfirmed, and at
// the least every probeBusy or probeIdle.
func (g *Gate) probeLoop(ctx context.Context) {
	pause := probeMinPause
	for ctx.Err() == nil {
		if g.probeOnce(ctx) {
			pause = probeMinPause
			g.awaitProbe(ctx, g.pace(probeBusy, probeIdle))
			continue
		}
		wait.For(ctx, pause)
		pause = min(2*pause, probeMaxPause)
	}
}

func (g *Gate) awaitProbe(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-g.probe:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// probeOnce asks the endpoint for its boot and attempts; it reports whether
// nothing is left to confirm.
func (g *Gate) probeOnce(ctx context.Context) bool {
	if g.EndpointName() == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := time.Now()
	listing, err := g.options.Endpoint.List(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.doubt()
		return true
	}
	g.applyListing(listing, sentAt)
	return g.unconfirmed() == 0
}

// doubt makes the endpoint count as cold with nothing admitted until a probe
// that is sent from now on has answered. The caller holds mu.
func (g *Gate) doubt() {
	g.doubtedAt = time.Now()
	if g.ramp.boot == "" {
		return
	}
	g.logDoubt()
	g.lastBoot = g.ramp.boot
	g.ramp.restart("")
	notify(g.probe)
	notify(g.changed)
}

// applyListing takes the answer to a probe that was sent at sentAt.
func (g *Gate) applyListing(listing *Listing, sentAt time.Time) {
	if sentAt.Before(g.doubtedAt) || listing.BootID == "" {
		notify(g.probe)
		return
	}
	if listing.BootID != g.ramp.boot {
		g.rebooted(listing.BootID)
	}
	listed := make(map[string]struct{}, len(listing.Attempts))
	for _, id := range listing.Attempts {
		listed[id] = struct{}{}
	}
	g.confirm(listed, sentAt)
	g.countForeign(listed)
	g.sweepBlocks(listing.Blocks)
	g.pump()
}

// rebooted takes a boot id that was not in force. All that ran on another boot
// is lost. The caller holds mu.
func (g *Gate) rebooted(boot string) {
	if g.lastBoot != boot {
		g.loseRunning(boot)
	}
	g.lastBoot = boot
	g.ramp.restart(boot)
	notify(g.changed)
}

// loseRunning ends every attempt that was not sent to the new boot. Those that
// a probe had confirmed on the old boot are gone; the others may yet arrive at
// the new one, so they are withdrawn and count until that is done.
func (g *Gate) loseRunning(boot string) {
	for id, a := range g.running {
		if a.boot == boot {
			continue
		}
		failure := fault.New(fault.EndpointFailed, "endpoint %s was restarted", g.info.Endpoint)
		a.close(&wire.End{Status: uint32(failure.Kind.Status()), Failure: fault.ToWire(failure), MayHaveRun: true}, nil)
		a.cancel(errRestarted)
		if a.confirmed {
			delete(g.running, id)
			g.memory.give(id)
			g.unuse(a)
		} else {
			go g.withdraw(a)
		}
	}
}

// confirm marks the dispatches that the probe was sent after. A model engine
// must list the attempt or have answered it.
func (g *Gate) confirm(listed map[string]struct{}, sentAt time.Time) {
	for id, a := range g.running {
		if a.written.IsZero() || !sentAt.After(a.written) || a.boot != g.ramp.boot {
			continue
		}
		_, seen := listed[id]
		seen = seen || a.namesAny(listed)
		if seen || a.answered || g.info.Service != "" {
			a.confirmed = true
		}
	}
}

// countForeign counts listed attempts that this gate does not run, and cancels
// them: a gate before this one sent them.
func (g *Gate) countForeign(listed map[string]struct{}) {
	clear(g.foreign)
	for id := range listed {
		if g.runs(id) {
			continue
		}
		g.foreign[id] = struct{}{}
		if _, busy := g.cancelling[id]; !busy {
			g.cancelling[id] = struct{}{}
			go g.cancelForeign(id)
		}
	}
}

// runs says whether a listed identity belongs to an attempt of this gate.
func (g *Gate) runs(id string) bool {
	if _, ok := g.running[id]; ok {
		return true
	}
	for _, a := range g.running {
		if a.names(id) {
			return true
		}
	}
	return false
}

func (g *Gate) cancelForeign(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawWait)
	defer cancel()
	_ = g.options.Endpoint.Cancel(ctx, id) // listed again, it is cancelled again
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cancelling, id)
	notify(g.probe)
}

// answered takes the head of an answer.
func (g *Gate) answered(a *Attempt, answer *Response) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.answered = true
	if a.written.IsZero() {
		a.written = time.Now()
	}
	if answer.BootID == "" || answer.BootID == a.boot {
		return
	}
	a.boot = answer.BootID // it runs on a boot that was not known when it left
	a.confirmed = false
	if answer.BootID != g.ramp.boot {
		g.doubt()
	}
}

// pollLoad asks for the endpoint's load report.
func (g *Gate) pollLoad(ctx context.Context) {
	if g.EndpointName() == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := g.options.Endpoint.Load(ctx)
	if err != nil {
		return // the probe judges whether the endpoint is there
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load = load.Report
	g.loadAt = time.Now()
	g.ramp.report(load.BootID, load.Admissible)
	if load.Report.GetPrefillTokensPerSecond() > 0 {
		g.info.PrefillTokensPerSecond = load.Report.PrefillTokensPerSecond
	}
	g.pump()
}

// IsEngine reports whether a model engine has announced itself here.
func (g *Gate) IsEngine() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.info.Endpoint != "" && g.info.Service == ""
}
