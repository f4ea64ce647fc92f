// Package passes predicts how an endpoint's engine reads and writes, from the
// figures that its service publishes. Times are in milliseconds.
package passes

import (
	"math"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	pairsUnit   = 1e6
	contextUnit = 1e3
)

// ReadMs is the time that an idle engine takes to read a prompt, or its share
// when so many endpoints read even parts of it.
func ReadMs(e *catalogue.Engine, tokens, endpoints int) float64 {
	if e.ReadTokensPerMs <= 0 || tokens <= 0 {
		return 0
	}
	n := float64(tokens)
	pairs := n * n / 2
	whole := n/e.ReadTokensPerMs + pairs/pairsUnit*e.PairsMsPerMillion
	return whole / float64(max(1, endpoints))
}

// StepMs is one token step beside so many writers with a context in tokens.
func StepMs(e *catalogue.Engine, writers, contextTokens int) float64 {
	return e.StepMs + float64(writers)*e.StepPerWriterMs + float64(contextTokens)/contextUnit*e.StepPerContextMs
}

// WriteMs is the part of a pass that writes.
func WriteMs(e *catalogue.Engine, writers, contextTokens int) float64 {
	return float64(max(1, e.StepsPerPass)) * StepMs(e, writers, contextTokens)
}

// Reading is prompt work that an endpoint has yet to do.
type Reading struct {
	Ms     float64
	Tokens float64
}

// Add returns the sum of two readings.
func (r Reading) Add(o Reading) Reading { return Reading{Ms: r.Ms + o.Ms, Tokens: r.Tokens + o.Tokens} }

// inPass is the part of the reading that one pass with writers takes in.
func inPass(e *catalogue.Engine, r Reading) float64 {
	most := float64(max(1, e.StepsPerPass) * e.ChunkTokens)
	if r.Tokens <= most {
		return r.Ms
	}
	return r.Ms * most / r.Tokens
}

// PassMs is a whole pass beside so many writers while so much reading waits.
func PassMs(e *catalogue.Engine, writers, contextTokens int, waiting Reading) float64 {
	return WriteMs(e, writers, contextTokens) + inPass(e, waiting)
}

// FirstMs is the time from arrival to the first event of a prompt, behind other
// reading. With writers, the reading runs in passes that also write.
func FirstMs(e *catalogue.Engine, writers, contextTokens int, ahead, own Reading) float64 {
	write := WriteMs(e, writers, contextTokens)
	all := ahead.Add(own)
	if writers == 0 {
		return all.Ms + write
	}
	further := math.Floor(all.Tokens / float64(max(1, e.StepsPerPass*e.ChunkTokens)))
	return write/2 + all.Ms + write*(1+further)
}
