package bench

import (
	"strconv"
	"strings"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
)

// ShortPool reserves the first endpoints of a fleet for short prompts. It is a
// routing.Scorer.
type ShortPool struct {
	Endpoints int    // how many are reserved, 0 for none
	MaxTokens uint64 // longest prompt that they take
}

// reservedCost, in seconds, is above any difference that the other scorers make.
const reservedCost = 1e6

// scorers returns the pool as a scorer, or none when nothing is reserved.
func (p ShortPool) scorers() []routing.Scorer {
	if p.Endpoints == 0 {
		return nil
	}
	return []routing.Scorer{p}
}

// Name implements routing.Scorer. The scorer of the pool of endpoints for short
// prompts is named "lane".
func (ShortPool) Name() string { return "lane" }

// Cost implements routing.Scorer. The number in an endpoint's name tells whether
// it is reserved.
func (p ShortPool) Cost(r *routing.Request, e *routing.Endpoint) float64 {
	number, _ := strconv.Atoi(strings.TrimPrefix(e.Name(), "e"))
	if r.PromptTokens > p.MaxTokens && number < p.Endpoints {
		return reservedCost
	}
	return 0
}
