package gate

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admission"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

const (
	metricQueue    = "gate_queue_ms"
	metricRefusals = "gate_refusals"
)

// observeQueue records the time that an attempt spent in the queue.
func (a *Attempt) observeQueue() {
	labels := metrics.Labels{Organisation: a.open.Organisation, Class: admission.LengthBand(a.open.PromptTokens)}
	a.gate.options.Metrics.ObserveDuration(metricQueue, labels, time.Since(a.submittedAt))
}

// countRefusal logs a refusal and counts it by kind.
func (g *Gate) countRefusal(open *wire.AttemptOpen, why *fault.Error) {
	logRefusal(open, why)
	g.options.Metrics.Count(metricRefusals, metrics.Labels{Organisation: open.Organisation, Class: string(why.Kind)})
}
