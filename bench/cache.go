package bench

import (
	"context"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// blockCache holds an engine's prefix blocks; the oldest gives way.
type blockCache struct {
	size   int
	used   map[uint64]int // block to the number of its last use
	count  int
	events []*wire.CacheEvent // not delivered yet
	last   uint64
}

func newBlockCache(size int) blockCache { return blockCache{size: size, used: make(map[uint64]int)} }

// held counts the leading blocks that are cached and marks them as used.
func (c *blockCache) held(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.used[b]; !ok {
			return i
		}
		c.touch(b)
	}
	return len(blocks)
}

func (c *blockCache) touch(block uint64) {
	c.count++
	c.used[block] = c.count
}

func (c *blockCache) store(blocks []uint64) {
	var added []uint64
	for _, b := range blocks {
		if _, ok := c.used[b]; !ok {
			added = append(added, b)
		}
		c.touch(b)
	}
	if len(added) > 0 {
		c.tell(&wire.CacheEvent{Blocks: added})
	}
	for len(c.used) > c.size {
		oldest := c.oldest()
		delete(c.used, oldest)
		c.tell(&wire.CacheEvent{Blocks: []uint64{oldest}, Evicted: true})
	}
}

func (c *blockCache) oldest() uint64 {
	var oldest uint64
	least := c.count + 1
	for b, at := range c.used {
		if at < least {
			oldest, least = b, at
		}
	}
	return oldest
}

func (c *blockCache) tell(event *wire.CacheEvent) {
	c.last++
	event.Sequence = c.last
	c.events = append(c.events, event)
}

// deliver passes cache events on late and with gaps.
func (e *Engine) deliver(ctx context.Context, g *gate.Gate) {
	for round := 1; ctx.Err() == nil; round++ {
		sleep(ctx, eventEvery)
		e.mu.Lock()
		events, last := e.cache.events, e.cache.last
		e.cache.events = nil
		e.mu.Unlock()
		if round%eventGapEvery != 0 && len(events) > 0 {
			g.AddCacheEvents(events, last)
		}
	}
}
