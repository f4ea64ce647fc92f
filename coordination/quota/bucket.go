package quota

import (
	"math"
	"slices"
	"time"
)

// rateLimit is the limit on one quantity of a contract: its rate per second and its
// burst.
type rateLimit struct{ rate, burst float64 }

// bucketDemand is one entry's demand for one quantity, with what it reports of its
// holding.
type bucketDemand struct {
	entry         string
	wanted        float64
	held          float64 // unspent, and kept by the entry
	returned      float64 // unspent, and handed back
	inGracePeriod bool    // of a new leader, which does not know the holdings yet
}

// entryShare is one entry's part of a bucket.
type entryShare struct {
	entry    string
	holding  float64 // the most that it may still spend
	expires  time.Time
	unmet    float64 // what it last demanded and did not get
	reserved float64 // part of the level that is reserved for its unmet demand
	unmetAt  time.Time
}

// bucket is a central token bucket from which entries lease tokens. The level and
// all holdings together never exceed the burst.
type bucket struct {
	level    float64
	filledAt time.Time    // if it lies in the future, the bucket is not filled until then
	shares   []entryShare // of the entries that hold or want tokens; a few
}

// newBucket returns an empty bucket that is filled from start on.
func newBucket(start time.Time) *bucket { return &bucket{filledAt: start} }

// lease renews an entry's lease on its holding and grants more. Tokens reserved for
// the unmet demand of other entries are not granted. It returns the amount granted and
// a Retry-After, which is 0 when all was granted. The Retry-After is an estimate: the
// time in which the rate yields the unmet demand of all entries. It does not consider
// that a part of the demand may already be reserved in the level, or that holdings may
// leave no room to fill.
func (b *bucket) lease(now time.Time, d bucketDemand, l rateLimit) (float64, time.Duration) {
	b.expireDemands(now)
	b.fill(now, l)
	b.dropIdleShares()
	s := b.shareOf(d.entry)
	b.renew(s, d)
	s.expires = now.Add(LeaseTTL)
	s.unmet, s.reserved = 0, 0
	wanted := sanitize(d.wanted)
	granted := max(0, min(wanted, b.level-b.totalReserved()))
	b.level -= granted
	s.holding += granted
	missing := wanted - granted
	if missing <= 0 {
		return granted, 0
	}
	s.unmet, s.unmetAt = missing, now
	return granted, refillTime(b.totalUnmet(), l.rate)
}

// shareOf returns the share of an entry, adding one if needed. The pointer is valid
// until the next call.
func (b *bucket) shareOf(entry string) *entryShare {
	for i := range b.shares {
		if b.shares[i].entry == entry {
			return &b.shares[i]
		}
	}
	b.shares = append(b.shares, entryShare{entry: entry})
	return &b.shares[len(b.shares)-1]
}

// sanitize replaces an amount from another process that is no finite positive
// number with 0.
func sanitize(amount float64) float64 {
	if math.IsNaN(amount) || math.IsInf(amount, 0) {
		return 0
	}
	return max(0, amount)
}

// refillTime is the time in which the rate yields missing tokens, between 1 ms and
// maxRetryAfter. It is maxRetryAfter for a rate of 0, with which the quotient is
// infinite, and for NaN, with which no comparison is true.
func refillTime(missing, rate float64) time.Duration {
	seconds := missing / rate
	if !(seconds < maxRetryAfter.Seconds()) {
		return maxRetryAfter
	}
	return max(time.Millisecond, time.Duration(seconds*float64(time.Second)))
}

// fill fills the bucket up to now. It expires holdings one by one in order of time: a
// failed entry may have spent its holding until it expired, so the room that the
// holding leaves is filled at the rate and only from then on.
func (b *bucket) fill(now time.Time, l rateLimit) {
	for s := b.firstExpired(now); s != nil; s = b.firstExpired(now) {
		b.fillTo(s.expires, l)
		s.holding = 0
	}
	b.fillTo(now, l)
}

// firstExpired returns the share whose holding expired first before now, or nil.
func (b *bucket) firstExpired(now time.Time) *entryShare {
	var first *entryShare
	for i := range b.shares {
		s := &b.shares[i]
		if s.holding > 0 && s.expires.Before(now) && (first == nil || s.expires.Before(first.expires)) {
			first = s
		}
	}
	return first
}

// fillTo fills the bucket up to t at the rate, within the room that the holdings
// leave in the burst.
func (b *bucket) fillTo(t time.Time, l rateLimit) {
	room := max(0, l.burst-b.totalHolding())
	if elapsed := t.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.add(max(0, min(elapsed*l.rate, room-b.level)))
		b.filledAt = t
	}
	if b.level > room {
		b.shrink(room)
	}
}

// add raises the level and reserves the amount for the entries with unmet demand,
// in proportion to that demand.
func (b *bucket) add(amount float64) {
	b.level += amount
	demand := b.totalUnmet()
	if demand == 0 {
		return
	}
	for i := range b.shares {
		s := &b.shares[i]
		s.reserved = min(s.unmet, s.reserved+amount*s.unmet/demand)
	}
}

// shrink lowers the level and all reserved parts in proportion.
func (b *bucket) shrink(level float64) {
	for i := range b.shares {
		b.shares[i].reserved *= level / b.level
	}
	b.level = level
}

// renew applies the amounts that the entry keeps and hands back, up to the holding
// on record. In the grace period of a new leader the entry's own report is the
// record, as earlier leaders made the grants.
func (b *bucket) renew(s *entryShare, d bucketDemand) {
	if d.inGracePeriod {
		s.holding = sanitize(d.held)
		return
	}
	kept := min(sanitize(d.held), s.holding)
	returned := min(sanitize(d.returned), s.holding-kept)
	s.holding = kept
	b.add(returned)
}

// expireDemands drops unmet demands older than demandTTL.
func (b *bucket) expireDemands(now time.Time) {
	for i := range b.shares {
		if s := &b.shares[i]; now.Sub(s.unmetAt) > demandTTL {
			s.unmet, s.reserved = 0, 0
		}
	}
}

// dropIdleShares drops the shares of entries that neither hold nor want tokens.
func (b *bucket) dropIdleShares() {
	b.shares = slices.DeleteFunc(b.shares, func(s entryShare) bool { return s.holding == 0 && s.unmet == 0 })
}

func (b *bucket) totalHolding() float64 {
	sum := 0.0
	for i := range b.shares {
		sum += b.shares[i].holding
	}
	return sum
}

func (b *bucket) totalUnmet() float64 {
	sum := 0.0
	for i := range b.shares {
		sum += b.shares[i].unmet
	}
	return sum
}

func (b *bucket) totalReserved() float64 {
	sum := 0.0
	for i := range b.shares {
		sum += b.shares[i].reserved
	}
	return sum
}
