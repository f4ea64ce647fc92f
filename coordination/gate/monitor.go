package gate

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	busyProbeInterval = 250 * time.Millisecond // between probes that were not requested
	idleProbeInterval = 500 * time.Millisecond // the same while no attempt is active
	probeTimeout      = time.Second            // of one probe or load report request
	// minConfirmPause is the first pause between probes while dispatches are
	// unconfirmed. It doubles up to maxConfirmPause, and starts short because
	// unconfirmed dispatches keep others waiting.
	minConfirmPause  = time.Millisecond
	maxConfirmPause  = 20 * time.Millisecond
	busyLoadInterval = 100 * time.Millisecond // between load report requests
	idleLoadInterval = 500 * time.Millisecond // the same while no attempt is active
	busyTickInterval = 50 * time.Millisecond  // between calls of tick
	idleTickInterval = 200 * time.Millisecond // the same while no attempt is active
)

// Run monitors the endpoint, holds the lease and executes orders until ctx
// ends.
func (g *Gate) Run(ctx context.Context) {
	go g.probeLoop(ctx)
	go g.loadLoop(ctx)
	go g.leaseLoop(ctx)
	go g.orderLoop(ctx)
	for ctx.Err() == nil {
		g.tick(ctx)
		wait.For(ctx, g.pollInterval(busyTickInterval, idleTickInterval))
	}
}

// loadLoop requests load reports, less often while no attempt is active.
func (g *Gate) loadLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.pollLoad(ctx)
		wait.For(ctx, g.pollInterval(busyLoadInterval, idleLoadInterval))
	}
}

// pollInterval returns busy while attempts run or are queued, and idle
// otherwise.
func (g *Gate) pollInterval(busy, idle time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.running)+len(g.foreign)+len(g.queue.items) > 0 {
		return busy
	}
	return idle
}

// runEvery calls do at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, do func(context.Context)) {
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

// probeLoop probes on request, repeatedly while dispatches are unconfirmed, and
// at least at the probe interval.
func (g *Gate) probeLoop(ctx context.Context) {
	pause := minConfirmPause
	for ctx.Err() == nil {
		if g.probeOnce(ctx) {
			pause = minConfirmPause
			g.waitForProbe(ctx, g.pollInterval(busyProbeInterval, idleProbeInterval))
			continue
		}
		wait.For(ctx, pause)
		pause = min(2*pause, maxConfirmPause)
	}
}

func (g *Gate) waitForProbe(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-g.probeDue:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// probeOnce asks the endpoint for its boot ID and attempts. It reports whether
// no further probe is needed at once.
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
		g.suspectRestart()
		return true
	}
	g.applyListing(listing, sentAt)
	return g.unconfirmed() == 0
}

// suspectRestart makes the boot ID unknown, so that nothing is dispatched until
// a probe sent after this call has succeeded. The caller holds mu.
func (g *Gate) suspectRestart() {
	g.suspectedAt = time.Now()
	if g.slowStart.boot == "" {
		return
	}
	g.logSuspectedRestart()
	g.lastBoot = g.slowStart.boot
	g.slowStart.restart("")
	notify(g.probeDue)
	notify(g.reportDue)
}

// applyListing applies the response to a probe that was sent at sentAt.
func (g *Gate) applyListing(listing *Listing, sentAt time.Time) {
	if sentAt.Before(g.suspectedAt) || listing.BootID == "" {
		notify(g.probeDue)
		return
	}
	if listing.BootID != g.slowStart.boot {
		g.setBoot(listing.BootID)
	}
	listed := make(map[string]struct{}, len(listing.Attempts))
	for _, id := range listing.Attempts {
		listed[id] = struct{}{}
	}
	g.confirmDispatches(listed, sentAt)
	g.updateForeign(listed)
	g.deleteOrphanBlocks(listing.Blocks)
	g.dispatchWaiting()
}

// setBoot applies a boot ID that differs from the current one. All attempts
// that ran on another boot are lost. The caller holds mu.
func (g *Gate) setBoot(boot string) {
	if g.lastBoot != boot {
		g.endLostAttempts(boot)
	}
	g.lastBoot = boot
	g.slowStart.restart(boot)
	notify(g.reportDue)
}

// endLostAttempts ends every attempt that was not sent to the new boot. Those
// that a probe had confirmed on the old boot are gone. The others may still
// arrive at the new boot, so they are cancelled and count as running until that
// is confirmed.
func (g *Gate) endLostAttempts(boot string) {
	for id, a := range g.running {
		if a.boot == boot {
			continue
		}
		failure := fault.New(fault.EndpointFailed, "endpoint %s was restarted", g.info.Endpoint)
		a.close(&wire.End{Status: uint32(failure.Kind.Status()), Failure: fault.ToWire(failure), MayHaveRun: true}, nil)
		a.cancel(errRestarted)
		if a.confirmed {
			delete(g.running, id)
			g.memory.release(id)
			g.removeGroupUser(a)
		} else {
			go g.cancelAtEndpoint(a)
		}
	}
}

// confirmDispatches confirms the attempts on the current boot that were written
// before the probe was sent. A model engine must also list the attempt or have
// responded to it; a service need not.
func (g *Gate) confirmDispatches(listed map[string]struct{}, sentAt time.Time) {
	for id, a := range g.running {
		if a.written.IsZero() || !sentAt.After(a.written) || a.boot != g.slowStart.boot {
			continue
		}
		_, seen := listed[id]
		seen = seen || a.matchesAnyKVWork(listed)
		if seen || a.responded || g.info.Service != "" {
			a.confirmed = true
		}
	}
}

// updateForeign counts the listed attempts that this gate does not run, and
// cancels them: an earlier gate sent them.
func (g *Gate) updateForeign(listed map[string]struct{}) {
	clear(g.foreign)
	for id := range listed {
		if g.isRunning(id) {
			continue
		}
		g.foreign[id] = struct{}{}
		if _, busy := g.cancelling[id]; !busy {
			g.cancelling[id] = struct{}{}
			go g.cancelForeign(id)
		}
	}
}

// isRunning reports whether a listed ID belongs to an attempt of this gate.
func (g *Gate) isRunning(id string) bool {
	if _, ok := g.running[id]; ok {
		return true
	}
	for _, a := range g.running {
		if a.matchesKVWork(id) {
			return true
		}
	}
	return false
}

func (g *Gate) cancelForeign(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = g.options.Endpoint.Cancel(ctx, id) // after a failure, the next listing triggers a retry
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cancelling, id)
	notify(g.probeDue)
}

// markResponded records that the response headers of an attempt have been
// received.
func (g *Gate) markResponded(a *Attempt, response *Response) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.responded = true
	if a.written.IsZero() {
		a.written = time.Now()
	}
	if response.BootID == "" || response.BootID == a.boot {
		return
	}
	a.boot = response.BootID // the endpoint restarted before the request arrived
	a.confirmed = false
	if response.BootID != g.slowStart.boot {
		g.suspectRestart()
	}
}

// pollLoad requests the load report of the endpoint.
func (g *Gate) pollLoad(ctx context.Context) {
	if g.EndpointName() == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := g.options.Endpoint.Load(ctx)
	if err != nil {
		return // only a probe decides whether the endpoint is reachable
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load = load.Report
	g.loadAt = time.Now()
	g.slowStart.setAdmissible(load.BootID, load.Admissible)
	if load.Report.GetPrefillTokensPerSecond() > 0 {
		g.info.PrefillTokensPerSecond = load.Report.PrefillTokensPerSecond
	}
	g.dispatchWaiting()
}

// IsEngine reports whether a model engine has announced itself to this gate.
func (g *Gate) IsEngine() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.info.Endpoint != "" && g.info.Service == ""
}
