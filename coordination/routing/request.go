package routing

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/state/fleet"
)

// Request holds the properties of a request that a decision depends on.
type Request struct {
	View              *fleet.View
	Model             string // empty for a request to a service
	Service           string // empty for a request to a model
	PromptTokens      uint64 // estimated
	MaxOutputTokens   uint64
	PrefixBlocks      []uint64      // hashes of the prompt's leading blocks
	FirstTokenTimeout time.Duration // time left to the first token; 0 for no limit
	Excluded          []string      // endpoints that refused or failed this request
	Now               time.Time

	longThreshold uint64 // prompts above it are long
}

func (r *Request) excludes(endpoint string) bool { return slices.Contains(r.Excluded, endpoint) }
