// Package enginemodel predicts the prefill and decode times of an endpoint's engine
// from the figures that its service publishes. An engine works in passes: while
// answers are being decoded, one pass runs StepsPerPass decode steps for the whole
// batch and prefills waiting prompt chunks; it emits its events at the end. Without
// answers to decode, the engine prefills one chunk per step. Times are in
// milliseconds.
package enginemodel

import (
	"math"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

const (
	// attentionPairsUnit is the number of token pairs that
	// Engine.AttentionMsPerMillionPairs is given for.
	attentionPairsUnit = 1e6
	// contextTokensUnit is the number of context tokens that Engine.StepPerContextMs
	// is given for.
	contextTokensUnit = 1e3
)

// PrefillMs returns the time in ms to prefill a prompt, without the StepMs of the steps
// that run its chunks. When several endpoints prefill equal parts of it, it is the time
// of each part. Besides the linear term, each token costs attention over all earlier
// ones, n²/2 pairs in all.
func PrefillMs(e *catalogue.Engine, tokens, endpoints int) float64 {
	if e.PrefillTokensPerMs <= 0 || tokens <= 0 {
		return 0
	}
	n := float64(tokens)
	pairs := n * n / 2
	whole := n/e.PrefillTokensPerMs + pairs/attentionPairsUnit*e.AttentionMsPerMillionPairs
	return whole / float64(max(1, endpoints))
}

// DecodeStepMs returns the time in ms of one decode step for a batch of the given size
// and total context.
func DecodeStepMs(e *catalogue.Engine, batchSize, contextTokens int) float64 {
	return e.StepMs + float64(batchSize)*e.StepPerSequenceMs + float64(contextTokens)/contextTokensUnit*e.StepPerContextMs
}

// DecodeMs returns the time in ms that decoding takes in one pass.
func DecodeMs(e *catalogue.Engine, batchSize, contextTokens int) float64 {
	return float64(max(1, e.StepsPerPass)) * DecodeStepMs(e, batchSize, contextTokens)
}

// AnswerMs returns the time in ms that an endpoint takes to decode that many tokens of
// one answer when all its slots hold prompts of the usual length.
func AnswerMs(e *catalogue.Engine, tokens int) float64 {
	passes := math.Ceil(float64(tokens) / float64(max(1, e.StepsPerPass)))
	return passes * DecodeMs(e, e.Slots, e.Slots*int(e.MeanPromptTokens))
}

// Prefill is an amount of prefill, as time and as prompt tokens.
type Prefill struct {
	Ms     float64 // as returned by PrefillMs, without the StepMs of its steps
	Tokens float64
}
