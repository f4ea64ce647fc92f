package routing

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Endpoint is an endpoint as its gate last reported it, with the work that this
// entry has sent to it since.
type Endpoint struct {
	Report     *wire.GateReport
	ReceivedAt time.Time
	Cache      *CacheView
	InFlight   *InFlight
}

// Name is the endpoint's name.
func (e *Endpoint) Name() string { return e.Report.Endpoint }

func (e *Endpoint) serves(r *Request) bool {
	if r.Service != "" {
		return e.Report.Service == r.Service
	}
	return e.Report.Service == "" && slices.Contains(e.Report.Models, r.Model)
}

// queuedTokens is the prefill work ahead of a new prompt: the greater of the
// engine's late count and the gate's own, and what the gate has not counted yet.
func (e *Endpoint) queuedTokens() uint64 {
	load := e.Report.GetLoad()
	return max(load.GetQueuedPrefillTokens(), load.GetGatePrefillTokens()) + e.InFlight.UnreportedTokens()
}

// aheadTokens is the prefill work that goes before a new prompt. Gates and
// engines take shorter prompts first, so longer ones do not count.
func (e *Endpoint) aheadTokens(tokens uint64) uint64 {
	class, classes := prompt.Class(tokens), e.Report.GetLoad().GetGatePrefillClasses()
	if len(classes) == 0 {
		return e.queuedTokens()
	}
	ahead := e.InFlight.UnreportedTokensUpTo(class)
	for _, queued := range classes[:min(class+1, len(classes))] {
		ahead += queued
	}
	return ahead
}

// outstanding is the number of attempts that run or wait at the endpoint.
func (e *Endpoint) outstanding() uint64 {
	load := e.Report.GetLoad()
	return uint64(load.GetGateRunning()) + uint64(load.GetGateWaiting()) + e.InFlight.UnreportedAttempts()
}

// defaultPrefillRate stands in for an endpoint that reports none, in tokens per second.
const defaultPrefillRate = 10_000

func (e *Endpoint) prefillRate() float64 {
	if rate := e.Report.GetLoad().GetPrefillTokensPerSecond(); rate > 0 {
		return rate
	}
	return defaultPrefillRate
}
