package bench

import (
	"strconv"
	"strings"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
)

// Lane reserves the first endpoints for short prompts, 0 for none.
type Lane struct {
	Endpoints int
	Tokens    uint64 // longest prompt that the lane takes
}

// laneCost is more seconds than any other difference between endpoints.
const laneCost = 1e6

func (l Lane) scorers() []routing.Scorer {
	if l.Endpoints == 0 {
		return nil
	}
	return []routing.Scorer{l}
}

// Name implements routing.Scorer.
func (Lane) Name() string { return "lane" }

// Cost implements routing.Scorer.
func (l Lane) Cost(r *routing.Request, e *routing.Endpoint) float64 {
	number, _ := strconv.Atoi(strings.TrimPrefix(e.Name(), "e"))
	if r.PromptTokens > l.Tokens && number < l.Endpoints {
		return laneCost
	}
	return 0
}
