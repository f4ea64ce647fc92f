package quota

import (
	"math"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// slotRetryAfter is the shortest Retry-After when an entry gets fewer concurrency slots
// than it wants: because none is free, because of its fair share, or in the grace period
// of a new leader. Until then the entry refuses requests beyond its holdings, with the
// rest of the time as their Retry-After. With a smaller one callers retry more often for
// nothing; with a larger one a slot that becomes free may stay unused for longer.
const slotRetryAfter = 200 * time.Millisecond

// slotGrant is a number of slots that an entry may use until it expires.
type slotGrant struct {
	count   uint32
	expires time.Time
}

// slotLease is the grants that one entry may be using. The response with the latest
// grant may have been lost, so earlier and larger grants count until they expire.
type slotLease struct {
	entry  string
	grants []slotGrant // in descending order of count and ascending order of expiry
	wanted uint32
}

// count returns the most slots that the entry may be using.
func (l slotLease) count() uint32 {
	if len(l.grants) == 0 {
		return 0
	}
	return l.grants[0].count
}

// renew adds a grant. An entry gives up the slots beyond wanted when it sends its
// request, so earlier grants are lowered to wanted. Those that are still larger than
// the new grant stay until they expire, as the response with the new one may be lost.
func (l *slotLease) renew(grant slotGrant, wanted uint32) {
	l.wanted = wanted
	for i := range l.grants {
		l.grants[i].count = min(l.grants[i].count, wanted)
	}
	l.grants = slices.DeleteFunc(l.grants, func(g slotGrant) bool { return g.count <= grant.count })
	l.grants = append(l.grants, grant)
}

// slots leases the concurrency of one contract to entries.
type slots struct{ leases []slotLease }

// lease renews an entry's lease and returns the total number of slots that it has
// now. Slots in use are never taken away, even when the contract's limit was
// lowered. The entry gets more only from the free slots and up to its fair share.
func (s *slots) lease(now time.Time, entry string, demand *wire.QuotaDemand, limit uint32, inGracePeriod bool) uint32 {
	s.expire(now)
	held := demand.ConcurrencyHeld
	wanted := max(held, demand.ConcurrencyWanted)
	others, wantedByAll := uint64(0), uint64(wanted)
	for _, l := range s.leases {
		if l.entry != entry {
			others += uint64(l.count())
			wantedByAll += uint64(l.wanted)
		}
	}
	count := held
	if !inGracePeriod {
		free := uint32(max(0, int64(limit)-int64(others)))
		count = max(held, min(fairShare(wanted, wantedByAll, limit), free))
	}
	s.leaseOf(entry).renew(slotGrant{count, now.Add(LeaseTTL)}, wanted)
	return count
}

// leaseOf returns the lease of an entry, adding one if needed. The pointer is valid
// until the next call.
func (s *slots) leaseOf(entry string) *slotLease {
	for i := range s.leases {
		if s.leases[i].entry == entry {
			return &s.leases[i]
		}
	}
	s.leases = append(s.leases, slotLease{entry: entry})
	return &s.leases[len(s.leases)-1]
}

// expire drops expired grants, and leases without grants.
func (s *slots) expire(now time.Time) {
	for i := range s.leases {
		l := &s.leases[i]
		l.grants = slices.DeleteFunc(l.grants, func(g slotGrant) bool { return g.expires.Before(now) })
	}
	s.leases = slices.DeleteFunc(s.leases, func(l slotLease) bool { return len(l.grants) == 0 })
}

// fairShare returns an entry's share of the limit in proportion to what it wants,
// rounded up, or all that it wants when the limit suffices for all entries.
func fairShare(wanted uint32, wantedByAll uint64, limit uint32) uint32 {
	if wantedByAll <= uint64(limit) {
		return wanted
	}
	return uint32(math.Ceil(float64(limit) * float64(wanted) / float64(wantedByAll)))
}
