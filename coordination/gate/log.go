package gate

import (
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

var log = logs.For("gate")

// logRefusal logs one refused attempt at debug level.
func logRefusal(open *wire.AttemptOpen, why *fault.Error) {
	log.Debug().Str("request", open.Request).Str("attempt", open.Attempt).
		Str("organisation", open.Organisation).Str("kind", string(why.Kind)).
		Msg("An attempt was refused.")
}

// logFailure logs a dispatched attempt that ended without a complete answer, as
// a warning that is rate-limited by kind of failure. An attempt that its caller
// cancelled is logged at debug level.
func (a *Attempt) logFailure(why *fault.Error) {
	entry := log.Debug()
	if why.Kind != fault.Cancelled {
		entry = log.RateLimitedWarn(string(why.Kind))
	}
	entry.Str("request", a.open.Request).Str("attempt", a.open.Attempt).
		Str("organisation", a.open.Organisation).Str("kind", string(why.Kind)).
		Msg("An attempt failed.")
}

// logSuspectedRestart logs that the endpoint may have restarted.
func (g *Gate) logSuspectedRestart() {
	log.RateLimitedWarn("doubt").Str("endpoint", g.info.Endpoint).Str("boot", g.slowStart.boot).
		Msg("The endpoint may have restarted.")
}

// logOrder logs that an order has been executed or has failed.
func logOrder(done *wire.OrderDoneRequest) {
	log.Info().Str("endpoint", done.Endpoint).Uint64("order", done.Number).Bool("failed", done.Failed).
		Msg("The order has ended.")
}
