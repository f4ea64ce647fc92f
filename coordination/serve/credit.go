package serve

import (
	"math"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// creditExponent is the power of the prefill time in the credit of a request. The
	// credit is the weight that the scheduler gives to serving the request on time,
	// against that of other requests. It grows more slowly than the prefill time, so
	// that long prompts neither starve nor crowd out short ones: with an exponent of
	// 0 all requests weigh the same, with 1 they weigh as much as they take.
	creditExponent = 0.62
	// urgencyRatio is the ratio between the credits of two requests whose
	// priorities differ by one. Between the most and the least urgent priority the
	// ratio is 1.5^9, about 38.
	urgencyRatio = 1.5
	// routeRankRatio is the ratio between the credits of two requests whose routes are
	// neighbours in the order of priority of their service. With 3, a prompt that takes a
	// hundred times as long to prefill as another one and is two ranks less urgent weighs
	// twice as much instead of seventeen times, so that it is not placed where it makes
	// several more urgent answers late.
	routeRankRatio = 3
	// plainCredit is the credit of a request to a service without an engine.
	plainCredit = 1
)

// credit returns the weight of serving the request on time, against that of other requests.
func (r *run) credit(engine *catalogue.Engine) float64 {
	work := max(1, enginemodel.PrefillMs(engine, r.request.PromptTokens, 1))
	return math.Pow(work, creditExponent) * math.Pow(urgencyRatio, -float64(r.priority)) * math.Pow(routeRankRatio, -float64(r.routeRank))
}
