package gate

import (
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

var log = logs.For("gate")

// logRefusal traces one refused attempt.
func logRefusal(open *wire.AttemptOpen, why *fault.Error) {
	log.Debug().Str("request", open.Request).Str("attempt", open.Attempt).
		Str("organisation", open.Organisation).Str("kind", string(why.Kind)).
		Msg("gate: An attempt was refused.")
}

// logFailure tells of a sent attempt without a whole answer. Lines of one kind
// are limited; one that its caller gave up is only traced.
func (a *Attempt) logFailure(why *fault.Error) {
	entry := log.Debug()
	if why.Kind != fault.Cancelled {
		entry = log.Repeated(string(why.Kind))
	}
	entry.Str("request", a.open.Request).Str("attempt", a.open.Attempt).
		Str("organisation", a.open.Organisation).Str("kind", string(why.Kind)).
		Msg("gate: An attempt failed.")
}

// logDoubt tells that the endpoint counts as cold until it answers again.
func (g *Gate) logDoubt() {
	log.Repeated("doubt").Str("endpoint", g.info.Endpoint).Str("boot", g.ramp.boot).
		Msg("gate: The endpoint may have restarted.")
}

// logOrder tells what became of an order.
func logOrder(done *wire.OrderDoneRequest) {
	log.Info().Str("endpoint", done.Endpoint).Uint64("order", done.Number).Bool("failed", done.Failed).
		Msg("gate: An order was carried out.")
}
