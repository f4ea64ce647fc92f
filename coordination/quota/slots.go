package quota

import (
	"math"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const slotRetry = 200 * time.Millisecond // advised when no concurrency slot is free

type slotGrant struct {
	count   uint32
	expires time.Time
}

// slotLease is what one entry may believe to have: the answer with its latest
// grant may be lost, so earlier and larger ones count until they expire.
type slotLease struct {
	entry  string
	grants []slotGrant // falling by count, rising by expiry
	wanted uint32
}

func (l slotLease) count() uint32 {
	if len(l.grants) == 0 {
		return 0
	}
	return l.grants[0].count
}

// renew adds a grant. An entry gives up what it does not want when it asks, so
// no earlier grant counts for more than that.
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

// lease returns the total slots that the entry now has. Slots in use are never
// taken away, even when the contract shrank; growth is limited to free ones and
// to the entry's part of the demand.
func (s *slots) lease(now time.Time, entry string, demand *wire.QuotaDemand, limit uint32, young bool) uint32 {
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
	if !young {
		free := uint32(max(0, int64(limit)-int64(others)))
		count = max(held, min(fairPart(wanted, wantedByAll, limit), free))
	}
	s.of(entry).renew(slotGrant{count, now.Add(LeaseTTL)}, wanted)
	return count
}

// of returns the lease of an entry, which is valid until the next call.
func (s *slots) of(entry string) *slotLease {
	for i := range s.leases {
		if s.leases[i].entry == entry {
			return &s.leases[i]
		}
	}
	s.leases = append(s.leases, slotLease{entry: entry})
	return &s.leases[len(s.leases)-1]
}

func (s *slots) expire(now time.Time) {
	for i := range s.leases {
		l := &s.leases[i]
		l.grants = slices.DeleteFunc(l.grants, func(g slotGrant) bool { return g.expires.Before(now) })
	}
	s.leases = slices.DeleteFunc(s.leases, func(l slotLease) bool { return len(l.grants) == 0 })
}

// fairPart is an entry's part of the limit in proportion to what it wants, rounded up.
func fairPart(wanted uint32, wantedByAll uint64, limit uint32) uint32 {
	if wantedByAll <= uint64(limit) {
		return wanted
	}
	return uint32(math.Ceil(float64(limit) * float64(wanted) / float64(wantedByAll)))
}
