package bench

import (
	"context"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// blockCache is the prefix cache of an engine. When it is full, the least
// recently used block is evicted.
type blockCache struct {
	size         int
	lastUse      map[uint64]int     // by block: the clock at its last use
	clock        int                // counts uses
	pending      []*wire.CacheEvent // not delivered yet
	lastSequence uint64             // number of the latest event
}

// newBlockCache returns an empty cache for size blocks.
func newBlockCache(size int) blockCache { return blockCache{size: size, lastUse: make(map[uint64]int)} }

// cachedPrefix returns how many of the leading blocks are cached and marks them
// as used.
func (c *blockCache) cachedPrefix(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.lastUse[b]; !ok {
			return i
		}
		c.touch(b)
	}
	return len(blocks)
}

func (c *blockCache) touch(block uint64) {
	c.clock++
	c.lastUse[block] = c.clock
}

// store adds the blocks of a prompt that was prefilled.
func (c *blockCache) store(blocks []uint64) {
	var added []uint64
	for _, b := range blocks {
		if _, ok := c.lastUse[b]; !ok {
			added = append(added, b)
		}
		c.touch(b)
	}
	if len(added) > 0 {
		c.addEvent(&wire.CacheEvent{Blocks: added})
	}
	for len(c.lastUse) > c.size {
		oldest := c.leastRecentlyUsed()
		delete(c.lastUse, oldest)
		c.addEvent(&wire.CacheEvent{Blocks: []uint64{oldest}, Evicted: true})
	}
}

func (c *blockCache) leastRecentlyUsed() uint64 {
	var oldest uint64
	least := c.clock + 1
	for b, at := range c.lastUse {
		if at < least {
			oldest, least = b, at
		}
	}
	return oldest
}

func (c *blockCache) addEvent(event *wire.CacheEvent) {
	c.lastSequence++
	event.Sequence = c.lastSequence
	c.pending = append(c.pending, event)
}

// deliverCacheEvents passes cache events to the gate, delayed and with gaps: one
// delivery of cacheEventLossPeriod is dropped.
func (e *Engine) deliverCacheEvents(ctx context.Context, g *gate.Gate) {
	for round := 1; ctx.Err() == nil; round++ {
		sleep(ctx, cacheEventInterval)
		e.mu.Lock()
		events, last := e.cache.pending, e.cache.lastSequence
		e.cache.pending = nil
		e.mu.Unlock()
		if round%cacheEventLossPeriod != 0 && len(events) > 0 {
			g.AddCacheEvents(events, last)
		}
	}
}
