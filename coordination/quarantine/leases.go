package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
)

const (
	// maxLeaseTime bounds a lease whose end is never reported, as its entry has ended. A
	// request that takes longer may run beside a second one.
	maxLeaseTime = 5 * time.Second
	// leaseRetry is when an entry that got no lease is to ask again.
	leaseRetry = 100 * time.Millisecond
	// probePrecedence is how long a probe that waits for other leases to end prevents new
	// ones.
	probePrecedence = 500 * time.Millisecond
)

// lease allows one request with suspect parts.
type lease struct {
	parts []uint64
	probe bool // of a quarantined part
	until monotonic.Time
}

// leases grants leases, one at a time for each part. A probe is the only request with a
// lease while it runs: the endpoint must not end under another one beside it. It is safe
// for concurrent use.
type leases struct {
	now func() monotonic.Time

	mu            sync.Mutex
	held          map[uint64]lease // by ID
	precedenceEnd monotonic.Time   // until when a probe takes precedence
}

func newLeases(now func() monotonic.Time) *leases {
	return &leases{now: now, held: make(map[uint64]lease)}
}

// take returns the ID of a lease for a request that lasts a time at most. It returns 0 while
// one of the parts is leased, or a probe excludes the lease.
func (l *leases) take(parts []uint64, lasts time.Duration, probe bool) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for id, other := range l.held {
		if other.until <= now {
			delete(l.held, id)
			continue
		}
		if probe {
			l.precedenceEnd = now.Add(probePrecedence)
		}
		if probe || other.probe || slices.ContainsFunc(other.parts, func(p uint64) bool { return slices.Contains(parts, p) }) {
			return 0
		}
	}
	if !probe && now < l.precedenceEnd {
		return 0
	}
	if probe {
		l.precedenceEnd = 0
	}
	id := rand.Uint64() | 1 // never 0
	l.held[id] = lease{parts: parts, probe: probe, until: now.Add(min(lasts, maxLeaseTime))}
	return id
}

func (l *leases) end(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, id)
}
