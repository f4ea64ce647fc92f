package fakeendpoint

import (
	"container/list"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
)

// prefixCache is an LRU cache of the KV blocks of prompt prefixes, by block hash.
type prefixCache struct {
	capacityBlocks int
	elements       map[uint64]*list.Element
	recency        *list.List // least recently used in front
	events         *eventLog
}

func newPrefixCache(tokens uint64, events *eventLog) *prefixCache {
	return &prefixCache{
		capacityBlocks: int(tokens / prompt.BlockTokens),
		elements:       make(map[uint64]*list.Element),
		recency:        list.New(),
		events:         events,
	}
}

// lookup returns the number of tokens in the longest cached prefix and marks its blocks as
// used.
func (c *prefixCache) lookup(prefix []uint64) float64 {
	tokens := 0
	for _, block := range prefix {
		element, ok := c.elements[block]
		if !ok {
			break
		}
		c.recency.MoveToBack(element)
		tokens += prompt.BlockTokens
	}
	return float64(tokens)
}

// store adds the blocks of a prompt and evicts the least recently used blocks above the
// capacity.
func (c *prefixCache) store(prefix []uint64) {
	var stored []uint64
	for _, block := range prefix {
		if _, ok := c.elements[block]; ok {
			continue
		}
		c.elements[block] = c.recency.PushBack(block)
		stored = append(stored, block)
	}
	if len(stored) > 0 {
		c.events.add(eventStored, stored)
	}
	c.evict()
}

func (c *prefixCache) evict() {
	var evicted []uint64
	for c.recency.Len() > c.capacityBlocks {
		oldest := c.recency.Front()
		block := c.recency.Remove(oldest).(uint64)
		delete(c.elements, block)
		evicted = append(evicted, block)
	}
	if len(evicted) > 0 {
		c.events.add(eventEvicted, evicted)
	}
}
