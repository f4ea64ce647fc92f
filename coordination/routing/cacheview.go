package routing

import (
	"sync"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	maxCacheBlocks = 1 << 16 // per endpoint; further blocks are not tracked
	gapDecay       = 0.5     // factor on a block's weight for each gap since its last event
	maxBlockGaps   = 3       // gaps after which a block is dropped; until then, a new event restores its weight
	minBlockWeight = 0.5     // blocks of a lower weight do not count as cached
)

// CacheView is an estimate of the content of an endpoint's prefix cache, built
// from cache events. Events arrive late and with gaps. Each gap lowers the
// weight of older blocks, as their eviction may have been missed.
type CacheView struct {
	mu       sync.RWMutex
	boot     string
	sequence uint64
	gaps     uint32
	blocks   map[uint64]uint32 // block hash to the value of gaps at the block's last event
}

// NewCacheView returns an empty view.
func NewCacheView() *CacheView { return &CacheView{blocks: make(map[uint64]uint32)} }

// Observe applies the cache events of a report. A restart of the endpoint
// empties the view.
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
		c.recordGap()
		c.sequence = report.CacheSequence
	}
}

func (c *CacheView) apply(event *wire.CacheEvent) {
	if event.Sequence <= c.sequence {
		return
	}
	if event.Sequence != c.sequence+1 {
		c.recordGap()
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

// recordGap counts a gap in the events and drops the blocks that have become
// too uncertain.
func (c *CacheView) recordGap() {
	c.gaps++
	for block, gapsAtEvent := range c.blocks {
		if c.gaps-gapsAtEvent >= maxBlockGaps {
			delete(c.blocks, block)
		}
	}
}

// ExpectedReuse returns how many leading blocks of the prompt the endpoint is
// expected to have cached, multiplied by the weight of the last one.
func (c *CacheView) ExpectedReuse(prefix []uint64) float64 {
	if len(prefix) == 0 {
		return 0
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	if len(c.blocks) == 0 {
		return 0
	}
	low, high := 0, len(prefix) // binary search: a block is cached only together with all before it
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
	if weight < minBlockWeight {
		return 0
	}
	return weight * float64(low)
}
