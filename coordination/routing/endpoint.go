package routing

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Endpoint is an endpoint as its gate last reported it, together with the
// attempts that this entry has sent to it.
type Endpoint struct {
	Report     *wire.GateReport
	ReceivedAt time.Time
	Cache      *CacheView
	InFlight   *InFlight
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.Report.Endpoint }

func (e *Endpoint) serves(r *Request) bool {
	if r.Service != "" {
		return e.Report.Service == r.Service
	}
	return e.Report.Service == "" && slices.Contains(e.Report.Models, r.Model)
}

// queuedTokens returns the prompt tokens that wait for prefill: the greater of
// the engine's count, which lags, and the gate's, plus what no report counts
// yet.
func (e *Endpoint) queuedTokens() uint64 {
	load := e.Report.GetLoad()
	return max(load.GetQueuedPrefillTokens(), load.GetGatePrefillTokens()) + e.InFlight.UnreportedTokens()
}

// aheadTokens returns the prompt tokens to prefill before a new prompt of the
// given length. Gates and engines run shorter prompts first, so longer prompts
// do not count.
func (e *Endpoint) aheadTokens(tokens uint64) uint64 {
	class, classes := prompt.LengthClass(tokens), e.Report.GetLoad().GetGatePrefillClasses()
	if len(classes) == 0 {
		return e.queuedTokens()
	}
	ahead := e.InFlight.UnreportedTokensUpTo(class)
	for _, queued := range classes[:min(class+1, len(classes))] {
		ahead += queued
	}
	return ahead
}

// outstanding returns the number of attempts that run or wait at the endpoint.
func (e *Endpoint) outstanding() uint64 {
	load := e.Report.GetLoad()
	return uint64(load.GetGateRunning()) + uint64(load.GetGateWaiting()) + e.InFlight.UnreportedAttempts()
}

// defaultPrefillTokensPerSecond is used for an endpoint that reports no rate.
const defaultPrefillTokensPerSecond = 10_000

func (e *Endpoint) prefillTokensPerSecond() float64 {
	if rate := e.Report.GetLoad().GetPrefillTokensPerSecond(); rate > 0 {
		return rate
	}
	return defaultPrefillTokensPerSecond
}
