package fakeendpoint

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

type eventKind string

const (
	eventStored  eventKind = "stored"
	eventEvicted eventKind = "evicted"
	eventCleared eventKind = "cleared"
)

type cacheEvent struct {
	Sequence uint64    `json:"sequence"`
	Kind     eventKind `json:"kind"`
	Blocks   []string  `json:"blocks,omitempty"`

	visibleAt time.Time
}

type cacheEvents struct {
	Sequence uint64       `json:"sequence"`
	Events   []cacheEvent `json:"events"`
}

// eventLog publishes the events of the prefix cache with a random delay and with gaps in
// the sequence numbers.
type eventLog struct {
	mu       sync.Mutex
	random   *rand.Rand
	sequence uint64
	events   []cacheEvent
}

func newEventLog(seed uint64) *eventLog {
	return &eventLog{random: rand.New(rand.NewPCG(seed, 0))}
}

// add numbers an event and appends it to the log, unless it is one of those lost at random.
// An event of any kind may be lost, eventCleared included.
func (l *eventLog) add(kind eventKind, blocks []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	if l.random.Float64() < cacheEventLossRate {
		return
	}
	names := make([]string, len(blocks))
	for i, block := range blocks {
		names[i] = fmt.Sprintf("%016x", block)
	}
	delay := meanCacheEventDelay/2 + time.Duration(l.random.Int64N(int64(meanCacheEventDelay)))
	l.events = append(l.events, cacheEvent{
		Sequence:  l.sequence,
		Kind:      kind,
		Blocks:    names,
		visibleAt: time.Now().Add(delay),
	})
	if extra := len(l.events) - maxCacheEvents; extra > 0 {
		l.events = append([]cacheEvent(nil), l.events[extra:]...)
	}
}

// after returns the visible events above a sequence number. Events become visible in
// order: one that is not yet visible holds back those after it.
func (l *eventLog) after(sequence uint64, now time.Time) cacheEvents {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := cacheEvents{Sequence: sequence, Events: []cacheEvent{}}
	for _, event := range l.events {
		if event.visibleAt.After(now) {
			break
		}
		if event.Sequence > sequence {
			found.Events = append(found.Events, event)
			found.Sequence = event.Sequence
		}
	}
	return found
}

// await returns once events above a sequence number are visible or the wait is over. It
// looks at the log at the interval of the load samples. Events that became visible after
// the last look are left to the next call.
func (l *eventLog) await(ctx context.Context, sequence uint64, wait time.Duration) cacheEvents {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		found := l.after(sequence, time.Now())
		if len(found.Events) > 0 {
			return found
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return found
		}
	}
}

func (e *Endpoint) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	sequence := uint64(queryInt(r, "after"))
	wait := min(time.Duration(queryInt(r, "wait_ms"))*time.Millisecond, maxCacheEventWait)
	writeJSON(w, http.StatusOK, e.events.await(r.Context(), sequence, wait))
}
