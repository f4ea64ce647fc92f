package endpoint

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	cacheLongPollWait = time.Second            // time for which the endpoint holds a poll without events
	cachePollTimeout  = 3 * time.Second        // of the whole poll
	cachePollPause    = 250 * time.Millisecond // before the next poll or call of hasCache, unless the last poll had events
)

type cacheResponse struct {
	Sequence uint64       `json:"sequence"`
	Events   []cacheEvent `json:"events"`
}

type cacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Kind     string   `json:"kind"`
	Blocks   []string `json:"blocks"`
}

// FollowCache polls the endpoint's prefix cache events and passes them to receive, with
// the sequence number of the last one, until ctx ends. The receiver can see gaps in the
// sequence numbers. FollowCache polls only while hasCache returns true, because a plain
// service would handle the poll as an ordinary request. It also pauses after a poll without
// events, so that an endpoint that answers at once is not polled in a tight loop.
func (c *Client) FollowCache(ctx context.Context, hasCache func() bool, receive func([]*wire.CacheEvent, uint64)) {
	var after uint64
	for ctx.Err() == nil {
		if !hasCache() {
			wait.For(ctx, cachePollPause)
			continue
		}
		answer, err := c.fetchCacheEvents(ctx, after)
		if err != nil {
			wait.For(ctx, cachePollPause)
			continue
		}
		if answer.Sequence < after {
			after = 0 // the endpoint numbers its events from 1 again, for example after a restart
			wait.For(ctx, cachePollPause)
			continue
		}
		after = answer.Sequence
		receive(toWire(answer.Events), answer.Sequence)
		if len(answer.Events) == 0 {
			wait.For(ctx, cachePollPause)
		}
	}
}

// fetchCacheEvents returns the events after a sequence number.
func (c *Client) fetchCacheEvents(ctx context.Context, after uint64) (*cacheResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, cachePollTimeout)
	defer cancel()
	path := "/cache/events?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(cacheLongPollWait.Milliseconds(), 10)
	answer := &cacheResponse{}
	return answer, c.call(ctx, http.MethodGet, path, nil, answer)
}

// toWire converts events, whose blocks are written in hexadecimal. Malformed blocks are
// left out.
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
