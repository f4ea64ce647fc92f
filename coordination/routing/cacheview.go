package routing

import (
	"sync"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	maxCacheBlocks  = 1 << 16
	gapDecay        = 0.5 // weight of a block that is older than one gap
	forgottenAfter  = 3   // gaps after which a block is dropped
	certainBoundary = 0.5 // least weight at which a block counts
)

// CacheView is what is known of an endpoint's prefix cache. Events come late
// and with gaps: after a gap, older blocks weigh less, as their eviction may
// have been missed.
type CacheView struct {
	mu       sync.RWMutex
	boot     string
	sequence uint64
	gaps     uint32
	blocks   map[uint64]uint32 // name to the number of gaps at its last event
}

// NewCacheView returns an empty view.
func NewCacheView() *CacheView { return &CacheView{blocks: make(map[uint64]uint32)} }

// Observe takes the cache events of a report.
func (c *CacheView) Observe(report *wire.GateReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if report.EndpointBoot != c.boot {
		c.boot = report.EndpointBoot
		c.sequence = 0
		clear(c.blocks)
	}
	for _, event := range report.CacheEvents {
		c.apply(event)
	}
	if report.CacheSequence > c.sequence {
		c.gap()
		c.sequence = report.CacheSequence
	}
}

func (c *CacheView) apply(event *wire.CacheEvent) {
	if event.Sequence <= c.sequence {
		return
	}
	if event.Sequence != c.sequence+1 {
		c.gap()
	}
	c.sequence = event.Sequence
	if event.Cleared {
		clear(c.blocks)
	}
	for _, block := range event.Blocks {
		if event.Evicted {
			delete(c.blocks, block)
		} else if len(c.blocks) < maxCacheBlocks {
			c.blocks[block] = c.gaps
		}
	}
}

// gap lowers the weight of every block and drops those that are too uncertain.
func (c *CacheView) gap() {
	c.gaps++
	for block, at := range c.blocks {
		if c.gaps-at >= forgottenAfter {
			delete(c.blocks, block)
		}
	}
}

// ExpectedReuse returns how many of the prompt's leading blocks the endpoint is
// expected to hold, weighed by how certain that is.
func (c *CacheView) ExpectedReuse(prefix []uint64) float64 {
	if len(prefix) == 0 {
		return 0
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	if len(c.blocks) == 0 {
		return 0
	}
	low, high := 0, len(prefix) // a block is held only with all before it
	for low < high {
		middle := (low + high + 1) / 2
		if _, ok := c.blocks[prefix[middle-1]]; ok {
			low = middle
		} else {
			high = middle - 1
		}
	}
	if low == 0 {
		return 0
	}
	weight := 1.0
	for range c.gaps - c.blocks[prefix[low-1]] {
		weight *= gapDecay
	}
	if weight < certainBoundary {
		return 0
	}
	return weight * float64(low)
}
