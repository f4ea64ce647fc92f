package quota

import (
	"math"
	"slices"
	"time"
)

// limit is the rate per second and the burst of one quantity of a contract.
type limit struct{ rate, burst float64 }

// ask is one entry's demand for one quantity.
type ask struct {
	entry    string
	wanted   float64
	held     float64 // unspent and kept
	returned float64
	young    bool // the leader does not yet know what all entries hold
}

// party is one entry's part in a bucket.
type party struct {
	entry    string
	holding  float64 // what it may still spend, at most
	expires  time.Time
	unmet    float64 // what it lately wanted and did not get
	reserved float64 // part of the level that is kept for it
	unmetAt  time.Time
}

// bucket is a central token bucket. Its level and all holdings never exceed the
// burst together.
type bucket struct {
	level    float64
	filledAt time.Time // may lie ahead: nothing is added before it
	parties  []party   // few: one for each entry that was heard of lately
}

func newBucket(start time.Time) *bucket { return &bucket{filledAt: start} }

// lease renews what an entry holds and grants more. What others wait for is
// divided by demand as the bucket fills, and is not granted here. The duration
// is the time until the rest is there.
func (b *bucket) lease(now time.Time, a ask, l limit) (float64, time.Duration) {
	b.forgetDemands(now)
	b.fill(now, l)
	b.forgetParties()
	p := b.party(a.entry)
	b.renew(p, a)
	p.expires = now.Add(LeaseTTL)
	p.unmet, p.reserved = 0, 0
	wanted := sane(a.wanted)
	granted := max(0, min(wanted, b.level-b.reserved()))
	b.level -= granted
	p.holding += granted
	missing := wanted - granted
	if missing <= 0 {
		return granted, 0
	}
	p.unmet, p.unmetAt = missing, now
	return granted, refillTime(b.demand(), l.rate)
}

// party returns the part of an entry, which is valid until the next call.
func (b *bucket) party(entry string) *party {
	for i := range b.parties {
		if b.parties[i].entry == entry {
			return &b.parties[i]
		}
	}
	b.parties = append(b.parties, party{entry: entry})
	return &b.parties[len(b.parties)-1]
}

// sane bounds what another process sent.
func sane(amount float64) float64 {
	if math.IsNaN(amount) || math.IsInf(amount, 0) {
		return 0
	}
	return max(0, amount)
}

func refillTime(missing, rate float64) time.Duration {
	seconds := missing / rate
	if !(seconds < maxRetry.Seconds()) {
		return maxRetry
	}
	return max(time.Millisecond, time.Duration(seconds*float64(time.Second)))
}

// fill moves the bucket to now. Holdings end one by one on the way, since the
// room that each leaves is filled at the rate only.
func (b *bucket) fill(now time.Time, l limit) {
	for p := b.firstExpired(now); p != nil; p = b.firstExpired(now) {
		b.fillTo(p.expires, l)
		p.holding = 0
	}
	b.fillTo(now, l)
}

func (b *bucket) firstExpired(now time.Time) *party {
	var first *party
	for i := range b.parties {
		p := &b.parties[i]
		if p.holding > 0 && p.expires.Before(now) && (first == nil || p.expires.Before(first.expires)) {
			first = p
		}
	}
	return first
}

func (b *bucket) fillTo(t time.Time, l limit) {
	room := max(0, l.burst-b.outstanding())
	if elapsed := t.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.add(max(0, min(elapsed*l.rate, room-b.level)))
		b.filledAt = t
	}
	if b.level > room {
		b.shrink(room)
	}
}

// add raises the level and reserves what came for those that wait, in
// proportion to what they want.
func (b *bucket) add(amount float64) {
	b.level += amount
	demand := b.demand()
	if demand == 0 {
		return
	}
	for i := range b.parties {
		p := &b.parties[i]
		p.reserved = min(p.unmet, p.reserved+amount*p.unmet/demand)
	}
}

func (b *bucket) shrink(level float64) {
	for i := range b.parties {
		b.parties[i].reserved *= level / b.level
	}
	b.level = level
}

// renew takes what the entry says that it kept and handed back, up to what this
// ledger knows it to hold. A young ledger believes what earlier leaders granted.
func (b *bucket) renew(p *party, a ask) {
	if a.young {
		p.holding = sane(a.held)
		return
	}
	kept := min(sane(a.held), p.holding)
	returned := min(sane(a.returned), p.holding-kept)
	p.holding = kept
	b.add(returned)
}

func (b *bucket) forgetDemands(now time.Time) {
	for i := range b.parties {
		if p := &b.parties[i]; now.Sub(p.unmetAt) > demandMemory {
			p.unmet, p.reserved = 0, 0
		}
	}
}

// forgetParties drops the entries that neither hold nor want anything.
func (b *bucket) forgetParties() {
	b.parties = slices.DeleteFunc(b.parties, func(p party) bool { return p.holding == 0 && p.unmet == 0 })
}

func (b *bucket) outstanding() float64 {
	sum := 0.0
	for i := range b.parties {
		sum += b.parties[i].holding
	}
	return sum
}

func (b *bucket) demand() float64 {
	sum := 0.0
	for i := range b.parties {
		sum += b.parties[i].unmet
	}
	return sum
}

func (b *bucket) reserved() float64 {
	sum := 0.0
	for i := range b.parties {
		sum += b.parties[i].reserved
	}
	return sum
}
