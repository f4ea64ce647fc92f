package permits

import (
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
)

const (
	// minPerSecond is the rate at which permits are issued for an endpoint whose limit
	// is lower, or 0. Only the response to a request tells when such a limit has ended.
	minPerSecond = 0.1
	// A bucket holds the permits of burstTime, but minBurst at least. A larger burst
	// lets more requests reach the endpoint at once; a smaller one loses permits for
	// which no entry asks in time.
	burstTime = 500 * time.Millisecond
	minBurst  = 2
	// maxTurnWait is the longest time for which an entry is told not to ask again.
	maxTurnWait = 5 * time.Second
	// bucketRetention is how long a bucket is kept after its last use. It exceeds the
	// time in which any bucket fills.
	bucketRetention = time.Minute
)

// bucket is the token bucket of one endpoint.
type bucket struct {
	level     float64 // permits that can be issued now
	perSecond float64 // the rate of the last call
	filledAt  monotonic.Time
	nextTurn  monotonic.Time // when the next entry without a permit is to ask again
}

// Issuer issues permits for the endpoints of which this process is the issuer. It is
// safe for concurrent use.
type Issuer struct {
	now func() monotonic.Time

	mu       sync.Mutex
	buckets  map[uint64]*bucket // by endpoint key
	prunedAt monotonic.Time
}

// NewIssuer returns an issuer whose buckets are empty, as another process may have issued
// permits until now.
func NewIssuer(now func() monotonic.Time) *Issuer {
	return &Issuer{now: now, buckets: make(map[uint64]*bucket), prunedAt: now()}
}

// Take issues a permit for an endpoint to which requests may be sent at a rate, in
// requests a second. If there is none, retryAfter is the turn of the entry that asked: the
// entries are told to ask again one after another, as the permits come.
func (i *Issuer) Take(key uint64, perSecond float64) (granted bool, retryAfter time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	i.prune(now)
	perSecond = max(perSecond, minPerSecond)
	b := i.buckets[key]
	if b == nil {
		b = &bucket{perSecond: perSecond, filledAt: now}
		i.buckets[key] = b
	}
	b.fill(now, perSecond)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	next := now.Add(time.Duration((1 - b.level) * float64(interval)))
	turn := min(max(next, b.nextTurn), now.Add(maxTurnWait))
	b.nextTurn = turn.Add(interval)
	return false, turn.Sub(now)
}

// fill adds the permits of the time since the last call. If the rate has changed since
// then, the lower one counts, as the time of the change isn't known.
func (b *bucket) fill(now monotonic.Time, perSecond float64) {
	burst := max(minBurst, perSecond*burstTime.Seconds())
	b.level = min(burst, b.level+min(b.perSecond, perSecond)*now.Sub(b.filledAt).Seconds())
	b.perSecond, b.filledAt = perSecond, now
}

// prune drops the buckets that were not used for bucketRetention.
func (i *Issuer) prune(now monotonic.Time) {
	if now.Sub(i.prunedAt) < bucketRetention {
		return
	}
	i.prunedAt = now
	for key, b := range i.buckets {
		if now.Sub(b.filledAt) > bucketRetention {
			delete(i.buckets, key)
		}
	}
}
