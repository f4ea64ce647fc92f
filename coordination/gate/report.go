package gate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	maxCacheEvents      = 256 // latest events kept for reports
	maxReportedAttempts = 256 // attempt IDs in one report
	// loadReportTTL is how long a load report of the endpoint is used.
	loadReportTTL = 5 * time.Second
)

// AddCacheEvents adds cache events of the endpoint. sequence is the number of
// the latest event at the endpoint, which may be higher than that of the last
// one given.
func (g *Gate) AddCacheEvents(events []*wire.CacheEvent, sequence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cacheSequence = max(g.cacheSequence, sequence)
	g.cacheEvents = append(g.cacheEvents, events...)
	if extra := len(g.cacheEvents) - maxCacheEvents; extra > 0 {
		g.cacheEvents = append([]*wire.CacheEvent(nil), g.cacheEvents[extra:]...)
	}
}

// Report describes the gate and its endpoint, with the cache events that have a
// sequence number above cacheAfter. It returns nil before the endpoint has
// announced itself.
func (g *Gate) Report(cacheAfter uint64) *wire.GateReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.announcedAt.IsZero() {
		return nil
	}
	g.reportSequence++
	report := &wire.GateReport{
		Sequence: g.reportSequence, GateInstance: g.instance, GateAddress: g.options.Address,
		Endpoint: g.info.Endpoint, DataCentre: g.options.DataCentre, Service: g.info.Service,
		Models: g.info.Models, Role: g.info.Role, Load: g.loadReport(),
		Cold: g.slowStart.isCold(), Leaving: g.draining,
		Ready:    g.ready(time.Now()),
		Revision: g.options.Configuration.Revision(), AdmitLimit: uint32(g.slowStart.limit()),
		CacheSequence: g.cacheSequence, EndpointBoot: g.slowStart.boot,
	}
	for _, e := range g.cacheEvents {
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
	if since := time.Since(g.loadAt); g.load != nil && since < loadReportTTL {
		load = proto.CloneOf(g.load)
		load.AgeMs += uint64(since.Milliseconds())
	}
	load.GateRunning = uint32(len(g.running) + len(g.foreign))
	load.GateWaiting = uint32(len(g.queue.items))
	load.GatePrefillTokens = 0
	load.AttemptsSeen = nil
	load.GatePrefillClasses = make([]uint64, prompt.LengthClasses)
	for _, a := range g.running {
		g.addAttemptLoad(load, a)
	}
	for _, w := range g.queue.items {
		g.addAttemptLoad(load, w.attempt)
	}
	return load
}

func (g *Gate) addAttemptLoad(load *wire.EndpointLoad, a *Attempt) {
	if !a.firstChunkSeen {
		load.GatePrefillTokens += a.open.PromptTokens
		load.GatePrefillClasses[prompt.LengthClass(a.open.PromptTokens)] += a.open.PromptTokens
	}
	if len(load.AttemptsSeen) < maxReportedAttempts {
		load.AttemptsSeen = append(load.AttemptsSeen, a.open.Attempt)
	}
}
