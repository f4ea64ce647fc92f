package fakeendpoint

import (
	"container/list"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
)

// prefixCache holds the prompt prefix blocks used last, within its memory.
type prefixCache struct {
	capacity int // in blocks
	byName   map[uint64]*list.Element
	order    *list.List // least recently used in front
	events   *eventLog
}

func newPrefixCache(tokens uint64, events *eventLog) *prefixCache {
	return &prefixCache{
		capacity: int(tokens / prompt.BlockTokens),
		byName:   make(map[uint64]*list.Element),
		order:    list.New(),
		events:   events,
	}
}

// use returns the tokens of the longest cached prefix and marks it as used.
func (c *prefixCache) use(prefix []uint64) float64 {
	tokens := 0
	for _, block := range prefix {
		element, ok := c.byName[block]
		if !ok {
			break
		}
		c.order.MoveToBack(element)
		tokens += prompt.BlockTokens
	}
	return float64(tokens)
}

// store adds the blocks of a prompt and evicts those used least recently.
func (c *prefixCache) store(prefix []uint64) {
	var stored []uint64
	for _, block := range prefix {
		if _, ok := c.byName[block]; ok {
			continue
		}
		c.byName[block] = c.order.PushBack(block)
		stored = append(stored, block)
	}
	if len(stored) > 0 {
		c.events.add(eventStored, stored)
	}
	c.evict()
}

func (c *prefixCache) evict() {
	var evicted []uint64
	for c.order.Len() > c.capacity {
		oldest := c.order.Front()
		block := c.order.Remove(oldest).(uint64)
		delete(c.byName, block)
		evicted = append(evicted, block)
	}
	if len(evicted) > 0 {
		c.events.add(eventEvicted, evicted)
	}
}
