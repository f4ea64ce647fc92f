package routing

import (
	"math/bits"
	"sync/atomic"
)

const (
	// MinThresholdTokens is the lowest threshold: prompts of up to this length
	// always count as short.
	MinThresholdTokens = 4096
	maxThresholdTokens = 1 << 16
	lengthBuckets      = 40   // bucket i counts prompts of 2^(i-1) to 2^i-1 tokens
	decayAfterPrompts  = 4096 // sum of the counts at which all are halved, so that recent prompts weigh more
	shortPromptShare   = 0.9  // fraction of prompts that the threshold should leave short
)

// LengthThreshold separates short prompts from long ones. It adapts to the
// observed prompt lengths, in powers of two.
type LengthThreshold struct {
	counts [lengthBuckets]atomic.Int64
	total  atomic.Int64
	tokens atomic.Uint64
}

// Tokens returns the current threshold. Prompts above it are long.
func (t *LengthThreshold) Tokens() uint64 { return max(MinThresholdTokens, t.tokens.Load()) }

// Observe counts the length of one prompt.
func (t *LengthThreshold) Observe(tokens uint64) {
	t.counts[min(bits.Len64(tokens), lengthBuckets-1)].Add(1)
	total := t.total.Add(1)
	if total%64 == 0 { // the threshold is updated every 64 prompts
		t.update(total)
	}
	if total >= decayAfterPrompts {
		t.halve()
	}
}

// update sets the threshold to the lowest power of two that leaves
// shortPromptShare of the prompts short.
func (t *LengthThreshold) update(total int64) {
	below := int64(0)
	for bucket := range t.counts {
		below += t.counts[bucket].Load()
		if float64(below) >= shortPromptShare*float64(total) {
			t.tokens.Store(min(maxThresholdTokens, uint64(1)<<bucket))
			return
		}
	}
}

func (t *LengthThreshold) halve() {
	sum := int64(0)
	for bucket := range t.counts {
		half := t.counts[bucket].Load() / 2
		t.counts[bucket].Store(half)
		sum += half
	}
	t.total.Store(sum)
}
