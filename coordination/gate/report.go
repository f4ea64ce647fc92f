package gate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	maxCacheEvents = 256 // kept for reports
	maxSeen        = 256 // attempts named in a report
	// loadFor is how long an endpoint's load report is passed on.
	loadFor = 5 * time.Second
)

// AddCacheEvents takes cache events of the endpoint and the sequence of the
// last one, which may lie beyond them.
func (g *Gate) AddCacheEvents(events []*wire.CacheEvent, sequence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cacheSeq = max(g.cacheSeq, sequence)
	g.cache = append(g.cache, events...)
	if extra := len(g.cache) - maxCacheEvents; extra > 0 {
		g.cache = append([]*wire.CacheEvent(nil), g.cache[extra:]...)
	}
}

// Report describes the gate and its endpoint, with the cache events above
// cacheAfter; nil before the endpoint has announced itself.
func (g *Gate) Report(cacheAfter uint64) *wire.GateReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.announcedAt.IsZero() {
		return nil
	}
	g.reports++
	report := &wire.GateReport{
		Sequence: g.reports, GateInstance: g.instance, GateAddress: g.options.Address,
		Endpoint: g.info.Endpoint, DataCentre: g.options.DataCentre, Service: g.info.Service,
		Models: g.info.Models, Role: g.info.Role, Load: g.loadReport(),
		Cold: g.ramp.isCold(), Leaving: g.leaving,
		Ready:    g.ready(time.Now()),
		Revision: g.options.Configuration.Revision(), AdmitLimit: uint32(g.ramp.limit()),
		CacheSequence: g.cacheSeq, EndpointBoot: g.ramp.boot,
	}
	for _, e := range g.cache {
		if e.Sequence > cacheAfter {
			report.CacheEvents = append(report.CacheEvents, e)
		}
	}
	return report
}

func (g *Gate) loadReport() *wire.EndpointLoad {
	load := &wire.EndpointLoad{
		MemoryTokensTotal:      g.info.MemoryTokens,
		PrefillTokensPerSecond: g.info.PrefillTokensPerSecond,
		DecodeMsPerToken:       g.info.DecodeMsPerToken,
	}
	if since := time.Since(g.loadAt); g.load != nil && since < loadFor {
		load = proto.CloneOf(g.load)
		load.AgeMs += uint64(since.Milliseconds())
	}
	load.GateRunning = uint32(len(g.running) + len(g.foreign))
	load.GateWaiting = uint32(len(g.queue.items))
	load.GatePrefillTokens = 0
	load.AttemptsSeen = nil
	load.GatePrefillClasses = make([]uint64, prompt.Classes)
	for _, a := range g.running {
		g.countIn(load, a)
	}
	for _, w := range g.queue.items {
		g.countIn(load, w.attempt)
	}
	return load
}

func (g *Gate) countIn(load *wire.EndpointLoad, a *Attempt) {
	if !a.firstSeen {
		load.GatePrefillTokens += a.open.PromptTokens
		load.GatePrefillClasses[prompt.Class(a.open.PromptTokens)] += a.open.PromptTokens
	}
	if len(load.AttemptsSeen) < maxSeen {
		load.AttemptsSeen = append(load.AttemptsSeen, a.open.Attempt)
	}
}
