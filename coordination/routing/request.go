package routing

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/state/fleet"
)

// Request is what a decision needs to know of a request.
type Request struct {
	View              *fleet.View
	Model             string // empty for a plain service
	Service           string // empty for a model
	PromptTokens      uint64 // estimated prompt length
	MaxOutputTokens   uint64 // upper bound
	PrefixBlocks      []uint64
	FirstTokenTimeout time.Duration // time left to the first token; 0 for no limit
	Excluded          []string      // endpoints that refused or failed this request
	Now               time.Time

	boundary uint64 // prompts above it are long
}

func (r *Request) excludes(endpoint string) bool { return slices.Contains(r.Excluded, endpoint) }
