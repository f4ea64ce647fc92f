package routing

import (
	"math/bits"
	"sync/atomic"
)

const (
	// MinThresholdTokens is the prompt length in tokens up to which prompts are always short.
	MinThresholdTokens = 4096
	mostBoundary       = 1 << 16
	lengthClasses      = 40
	decayEvery         = 4096 // prompts after which all counts are halved
	shortShare         = 0.9  // share of prompts that the boundary aims to leave short
)

// LengthThreshold separates short prompts from long ones. It follows the lengths that
// are seen, in powers of two.
type LengthThreshold struct {
	counts [lengthClasses]atomic.Int64
	total  atomic.Int64
	value  atomic.Uint64
}

// Tokens is the boundary now.
func (b *LengthThreshold) Tokens() uint64 { return max(MinThresholdTokens, b.value.Load()) }

// Observe takes the length of one prompt.
func (b *LengthThreshold) Observe(tokens uint64) {
	b.counts[min(bits.Len64(tokens), lengthClasses-1)].Add(1)
	total := b.total.Add(1)
	if total%64 == 0 {
		b.move(total)
	}
	if total >= decayEvery {
		b.halve()
	}
}

func (b *LengthThreshold) move(total int64) {
	below := int64(0)
	for class := range b.counts {
		below += b.counts[class].Load()
		if float64(below) >= shortShare*float64(total) {
			b.value.Store(min(mostBoundary, uint64(1)<<class))
			return
		}
	}
}

func (b *LengthThreshold) halve() {
	sum := int64(0)
	for class := range b.counts {
		half := b.counts[class].Load() / 2
		b.counts[class].Store(half)
		sum += half
	}
	b.total.Store(sum)
}
