package quota

import (
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const slotRetry = 200 * time.Millisecond // advised when no concurrency slot is free

type slotLease struct {
	count   uint32
	wanted  uint32
	expires time.Time
}

// slots leases the concurrency of one contract to entries.
type slots struct{ leases map[string]slotLease }

func newSlots() *slots { return &slots{leases: make(map[string]slotLease)} }

// lease returns the total slots that the entry now has. Slots in use are never
// taken away, even when the contract shrank; growth is limited to free ones and
// to the entry's part of the demand.
func (s *slots) lease(now time.Time, entry string, demand *wire.QuotaDemand, limit uint32, young bool) uint32 {
	s.expire(now)
	others, wantedByAll := uint64(0), uint64(demand.ConcurrencyWanted)
	for name, l := range s.leases {
		if name != entry {
			others += uint64(l.count)
			wantedByAll += uint64(l.wanted)
		}
	}
	held := demand.ConcurrencyHeld
	count := held
	if !young {
		free := uint32(max(0, int64(limit)-int64(others)))
		target := fairPart(demand.ConcurrencyWanted, wantedByAll, limit)
		count = max(held, min(demand.ConcurrencyWanted, target, free))
	}
	s.leases[entry] = slotLease{count: count, wanted: demand.ConcurrencyWanted, expires: now.Add(Life)}
	return count
}

func (s *slots) expire(now time.Time) {
	for entry, l := range s.leases {
		if !l.expires.After(now) {
			delete(s.leases, entry)
		}
	}
}

// fairPart is an entry's part of the limit in proportion to what it wants, rounded up.
func fairPart(wanted uint32, wantedByAll uint64, limit uint32) uint32 {
	if wantedByAll <= uint64(limit) {
		return wanted
	}
	return uint32(math.Ceil(float64(limit) * float64(wanted) / float64(wantedByAll)))
}
