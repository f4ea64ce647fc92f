// Package bodybudget bounds the memory that request bodies and buffered answers take in
// one process. Bytes are charged as they arrive. When they don't fit, unfinished bodies are
// evicted: first those without progress, then the newest large ones.
package bodybudget

import (
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

const (
	// DefaultBytes is the budget of a process whose memory isn't known.
	DefaultBytes = 64 << 20
	// memoryDivisor makes the budget a sixth of the process's memory. The runtime's soft
	// limit is 0.6 of it, and the entry of a fleet of 300 hosts needs most of that itself.
	memoryDivisor = 6
	// largeBodyBytes is the size from which a body is large: many times the usual one, and
	// a small part of the budget of a small process.
	largeBodyBytes = 256 << 10
	// largeQuarters and bodyQuarters are the quarters of the budget up to which bytes are
	// charged for large bodies and for all bodies. The rest stays free for ordinary bodies,
	// and for the answers of running requests.
	largeQuarters = 2
	bodyQuarters  = 3
	// stalledAfter is the time without progress after which a body is evicted before
	// others.
	stalledAfter = 250 * time.Millisecond
	// retryAfter is the Retry-After of refusals. Unfinished bodies without progress end within
	// progressWindow, so that there is room soon.
	retryAfter = time.Second
)

// Budget counts the bytes of one process. Its methods may be called concurrently.
type Budget struct {
	mu           sync.Mutex // guards the fields up to counts
	changed      *sync.Cond // signalled when bytes are released or a body is evicted
	totalBytes   int64
	maxBodyBytes int64 // MaxBytes of the last body that began
	heldBytes    int64
	evictedBytes int64 // part of heldBytes that evicted bodies hold until their readers return
	bodies       map[*unfinishedBody]struct{}
	counts       Counts
	logger       *logs.Logger

	joining sync.Mutex // held while a large body is copied to one buffer
}

// Counts are the bodies and reservations that a budget refused, by cause.
type Counts struct {
	Evicted  int64 // unfinished bodies, without progress or the newest, while the budget was short
	NoRoom   int64 // bodies and reservations for which evictions would not make room
	TimedOut int64 // bodies that made too little progress
	TooLarge int64 // bodies over the limit
}

// New returns a budget of totalBytes.
func New(totalBytes int64) *Budget {
	b := &Budget{totalBytes: totalBytes, bodies: make(map[*unfinishedBody]struct{}), logger: logs.For("bodies")}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// ShareOf returns the budget of a process by its memory, DefaultBytes if that is unknown (0).
func ShareOf(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return DefaultBytes
	}
	return memoryBytes / memoryDivisor
}

// SetTotal changes the budget. What is held stays held.
func (b *Budget) SetTotal(totalBytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.totalBytes = totalBytes
	b.changed.Broadcast()
}

// Reserve charges n bytes of an answer that is buffered. If they don't fit, it evicts
// unfinished bodies and waits until their readers have returned. It returns an Overloaded
// error if that can't make room.
func (b *Budget) Reserve(n int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.charge(nil, int64(n))
}

// Release returns n bytes that Reserve charged.
func (b *Budget) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(int64(n))
}

// Capacity returns the most that can be charged for answers.
func (b *Budget) Capacity() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit(false, false)
}

// HeldBytes returns the bytes that are charged now.
func (b *Budget) HeldBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heldBytes
}

// Counts returns how many bodies and reservations were refused.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// EvictStalled evicts the unfinished body that has made no progress for the longest time, at
// least stalledAfter, and reports whether there was one. It is for use when connections are
// short.
func (b *Budget) EvictStalled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	victim := b.longestStalled(0)
	if victim == nil {
		return false
	}
	b.evict(victim)
	return true
}

// charge charges n bytes for a body, or for an answer if u is nil. It waits, with the lock
// released, while the bytes of evicted bodies will make enough room. The caller holds the lock.
func (b *Budget) charge(u *unfinishedBody, n int64) error {
	large := u != nil && u.chargedBytes+n > largeBodyBytes
	for {
		if u != nil && u.evicted.Load() {
			return errEvicted()
		}
		limit := b.limit(u != nil, large)
		if b.heldBytes+n <= limit {
			break
		}
		if b.heldBytes-b.evictedBytes+n <= limit {
			b.changed.Wait()
			continue
		}
		if !b.canMakeRoom(u, b.heldBytes-b.evictedBytes+n-limit, large) {
			b.counts.NoRoom++
			return fault.New(fault.Overloaded, "the memory for request bodies and answers is used up").WithRetryAfter(retryAfter)
		}
		b.evict(b.victim(large))
	}
	b.heldBytes += n
	if u != nil {
		u.chargedBytes += n
	}
	return nil
}

func (b *Budget) release(n int64) {
	b.heldBytes -= n
	b.changed.Broadcast()
}

// limit returns how many bytes may be charged in all when a body, a large one or not, or an
// answer needs more. Of the budget, one maxBodyBytes is left out for the copy of the one large
// body that is joined. A body of maxBodyBytes fits in any budget.
func (b *Budget) limit(body, large bool) int64 {
	limit := max(b.totalBytes-b.maxBodyBytes, (b.maxBodyBytes+segmentBytes)*4/largeQuarters)
	switch {
	case large:
		return limit * largeQuarters / 4
	case body:
		return limit * bodyQuarters / 4
	}
	return limit
}

// canMakeRoom reports whether the evictions of other bodies than u can release n bytes.
func (b *Budget) canMakeRoom(u *unfinishedBody, n int64, forLarge bool) bool {
	now := time.Now()
	for other := range b.bodies {
		if other != u && other.isEvictable(forLarge, now) {
			n -= other.chargedBytes
		}
	}
	return n <= 0
}

// isEvictable reports whether victim may return a body.
func (u *unfinishedBody) isEvictable(forLarge bool, now time.Time) bool {
	if u.evicted.Load() || u.chargedBytes == 0 {
		return false
	}
	return !forLarge || u.isLarge() || u.isStalled(now)
}

func (u *unfinishedBody) isStalled(now time.Time) bool { return now.Sub(u.progressAt) >= stalledAfter }

// victim returns the unfinished body to evict: the one without progress for the longest time,
// else the newest large one, else the newest. For a large body no small one is evicted, unless
// it makes no progress. It returns nil if there is none.
func (b *Budget) victim(forLarge bool) *unfinishedBody {
	if u := b.longestStalled(1); u != nil {
		return u
	}
	var newest *unfinishedBody
	now := time.Now()
	for u := range b.bodies {
		if !u.isEvictable(forLarge, now) {
			continue
		}
		if newest == nil || u.evictBefore(newest) {
			newest = u
		}
	}
	return newest
}

// evictBefore reports whether a body with progress is evicted before another one.
func (u *unfinishedBody) evictBefore(other *unfinishedBody) bool {
	if u.isLarge() != other.isLarge() {
		return u.isLarge()
	}
	return u.began.After(other.began)
}

// longestStalled returns the body that has made no progress for the longest time, at least
// stalledAfter, of those that are charged minBytes or more. It returns nil if there is none.
func (b *Budget) longestStalled(minBytes int64) *unfinishedBody {
	var longest *unfinishedBody
	now := time.Now()
	for u := range b.bodies {
		if u.evicted.Load() || u.chargedBytes < minBytes || !u.isStalled(now) {
			continue
		}
		if longest == nil || u.progressAt.Before(longest.progressAt) {
			longest = u
		}
	}
	return longest
}

// evict makes the reader of a body return. Its bytes stay charged until then.
func (b *Budget) evict(u *unfinishedBody) {
	u.evicted.Store(true)
	b.evictedBytes += u.chargedBytes
	b.counts.Evicted++
	u.interrupt()
	b.changed.Broadcast()
}

func errEvicted() error {
	return fault.New(fault.Overloaded, "the memory for request bodies is used up and the body has not arrived yet").WithRetryAfter(retryAfter)
}
