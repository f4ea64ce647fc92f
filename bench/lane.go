package bench

import (
	"strconv"
	"strings"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
)

// ShortPool reserves the first endpoints for short prompts, 0 for none.
type ShortPool struct {
	Endpoints int
	MaxTokens uint64 // longest prompt that the lane takes
}

// laneCost is more seconds than any other difference between endpoints.
const laneCost = 1e6

func (l ShortPool) scorers() []routing.Scorer {
	if l.Endpoints == 0 {
		return nil
	}
	return []routing.Scorer{l}
}

// Name implements routing.Scorer.
func (ShortPool) Name() string { return "lane" }

// Cost implements routing.Scorer.
func (l ShortPool) Cost(r *routing.Request, e *routing.Endpoint) float64 {
	number, _ := strconv.Atoi(strings.TrimPrefix(e.Name(), "e"))
	if r.PromptTokens > l.MaxTokens && number < l.Endpoints {
		return laneCost
	}
	return 0
}
