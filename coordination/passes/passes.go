// Package passes predicts how an endpoint's engine reads and writes, from the
// figures that its service publishes. Times are in milliseconds.
package passes

import (
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

// MostReadMs is the reading that fits into one pass.
func MostReadMs(e *catalogue.Engine) float64 {
	if e.ReadTokensPerMs <= 0 {
		return 0
	}
	return float64(max(1, e.StepsPerPass)) * float64(e.ChunkTokens) / e.ReadTokensPerMs
}

// PassMs is a whole pass beside so many writers while so much reading waits.
func PassMs(e *catalogue.Engine, writers, contextTokens int, readMs float64) float64 {
	return WriteMs(e, writers, contextTokens) + min(readMs, MostReadMs(e))
}

// FirstMs is the time from arrival to the first event of a prompt that takes
// readMs to read, behind ahead ms of other reading.
func FirstMs(e *catalogue.Engine, writers, contextTokens int, aheadMs, readMs float64) float64 {
	write := WriteMs(e, writers, contextTokens)
	if writers == 0 {
		return aheadMs + readMs + write
	}
	reading := aheadMs + readMs
	further := reading / max(1, MostReadMs(e)) // passes that the reading fills
	return write/2 + reading + write*(1+further)
}
