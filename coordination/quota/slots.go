package quota

import (
	"math"
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
func (l slotLease) renew(grant slotGrant, wanted uint32) slotLease {
	next := slotLease{wanted: wanted}
	for _, g := range l.grants {
		if g.count = min(g.count, wanted); g.count > grant.count {
			next.grants = append(next.grants, g)
		}
	}
	next.grants = append(next.grants, grant)
	return next
}

// slots leases the concurrency of one contract to entries.
type slots struct{ leases map[string]slotLease }

func newSlots() *slots { return &slots{leases: make(map[string]slotLease)} }

// lease returns the total slots that the entry now has. Slots in use are never
// taken away, even when the contract shrank; growth is limited to free ones and
// to the entry's part of the demand.
func (s *slots) lease(now time.Time, entry string, demand *wire.QuotaDemand, limit uint32, young bool) uint32 {
	s.expire(now)
	held := demand.ConcurrencyHeld
	wanted := max(held, demand.ConcurrencyWanted)
	others, wantedByAll := uint64(0), uint64(wanted)
	for name, l := range s.leases {
		if name != entry {
			others += uint64(l.count())
			wantedByAll += uint64(l.wanted)
		}
	}
	count := held
	if !young {
		free := uint32(max(0, int64(limit)-int64(others)))
		count = max(held, min(fairPart(wanted, wantedByAll, limit), free))
	}
	s.leases[entry] = s.leases[entry].renew(slotGrant{count, now.Add(Life)}, wanted)
	return count
}

func (s *slots) expire(now time.Time) {
	for entry, l := range s.leases {
		for len(l.grants) > 0 && l.grants[0].expires.Before(now) {
			l.grants = l.grants[1:]
		}
		if len(l.grants) == 0 {
			delete(s.leases, entry)
			continue
		}
		s.leases[entry] = l
	}
}

// fairPart is an entry's part of the limit in proportion to what it wants, rounded up.
func fairPart(wanted uint32, wantedByAll uint64, limit uint32) uint32 {
	if wantedByAll <= uint64(limit) {
		return wanted
	}
	return uint32(math.Ceil(float64(limit) * float64(wanted) / float64(wantedByAll)))
}
