// Package passes predicts how an endpoint's engine reads and writes, from the
// figures that its service publishes. Times are in milliseconds.
package enginemodel

import (
	"math"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	pairsUnit   = 1e6
	contextUnit = 1e3
)

// PrefillMs is the time that an idle engine takes to read a prompt, or its share
// when so many endpoints read even parts of it.
func PrefillMs(e *catalogue.Engine, tokens, endpoints int) float64 {
	if e.ReadTokensPerMs <= 0 || tokens <= 0 {
		return 0
	}
	n := float64(tokens)
	pairs := n * n / 2
	whole := n/e.ReadTokensPerMs + pairs/pairsUnit*e.PairsMsPerMillion
	return whole / float64(max(1, endpoints))
}

// DecodeStepMs is one token step beside so many writers with a context in tokens.
func DecodeStepMs(e *catalogue.Engine, writers, contextTokens int) float64 {
	return e.StepMs + float64(writers)*e.StepPerWriterMs + float64(contextTokens)/contextUnit*e.StepPerContextMs
}

// DecodeMs is the part of a pass that writes.
func DecodeMs(e *catalogue.Engine, writers, contextTokens int) float64 {
	return float64(max(1, e.StepsPerPass)) * DecodeStepMs(e, writers, contextTokens)
}

// AnswerMs is the time that an endpoint with all slots taken by usual prompts
// takes to write so many tokens.
func AnswerMs(e *catalogue.Engine, tokens int) float64 {
	passes := math.Ceil(float64(tokens) / float64(max(1, e.StepsPerPass)))
	return passes * DecodeMs(e, e.Slots, e.Slots*int(e.UsualPrompt))
}

// Prefill is prompt work that an endpoint has yet to do.
type Prefill struct {
	Ms     float64
	Tokens float64
}
