package endpoint

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	cacheWait    = time.Second // long poll
	cacheTimeout = 3 * time.Second
	cachePause   = 250 * time.Millisecond
)

type cacheAnswer struct {
	Sequence uint64       `json:"sequence"`
	Events   []cacheEvent `json:"events"`
}

type cacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Kind     string   `json:"kind"`
	Blocks   []string `json:"blocks"`
}

// FollowCache passes the endpoint's cache events on until ctx ends. Gaps in
// the sequence stay visible to the receiver. It asks only while has says that
// the endpoint has a cache: to a plain service the question would be a call.
func (c *Client) FollowCache(ctx context.Context, has func() bool, receive func([]*wire.CacheEvent, uint64)) {
	var after uint64
	for ctx.Err() == nil {
		if !has() {
			pause(ctx)
			continue
		}
		answer, err := c.cacheAfter(ctx, after)
		if err != nil {
			pause(ctx)
			continue
		}
		if answer.Sequence < after {
			after = 0 // the endpoint was restarted and counts anew
			pause(ctx)
			continue
		}
		after = answer.Sequence
		receive(toWire(answer.Events), answer.Sequence)
		if len(answer.Events) == 0 {
			pause(ctx)
		}
	}
}

func (c *Client) cacheAfter(ctx context.Context, after uint64) (*cacheAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	path := "/cache/events?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(cacheWait.Milliseconds(), 10)
	answer := &cacheAnswer{}
	return answer, c.call(ctx, http.MethodGet, path, nil, answer)
}

func toWire(events []cacheEvent) []*wire.CacheEvent {
	list := make([]*wire.CacheEvent, 0, len(events))
	for _, e := range events {
		event := &wire.CacheEvent{Sequence: e.Sequence, Evicted: e.Kind == "evicted", Cleared: e.Kind == "cleared"}
		for _, name := range e.Blocks {
			if block, err := strconv.ParseUint(name, 16, 64); err == nil {
				event.Blocks = append(event.Blocks, block)
			}
		}
		list = append(list, event)
	}
	return list
}

func pause(ctx context.Context) {
	timer := time.NewTimer(cachePause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
