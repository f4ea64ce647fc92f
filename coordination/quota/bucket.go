package quota

import (
	"cmp"
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

// holding is what an entry may still spend, at most.
type holding struct {
	amount  float64
	expires time.Time
}

// unmet is what an entry lately wanted and did not get.
type unmet struct {
	amount   float64
	reserved float64 // part of the level that is kept for it
	at       time.Time
}

// bucket is a central token bucket. Its level and all holdings never exceed the
// burst together.
type bucket struct {
	level    float64
	filledAt time.Time // may lie ahead: nothing is added before it
	holdings map[string]holding
	demands  map[string]unmet
}

func newBucket(start time.Time) *bucket {
	return &bucket{filledAt: start, holdings: make(map[string]holding), demands: make(map[string]unmet)}
}

// lease renews what an entry holds and grants more. What others wait for is
// divided by demand as the bucket fills, and is not granted here. The duration
// is the time until the rest is there.
func (b *bucket) lease(now time.Time, a ask, l limit) (float64, time.Duration) {
	b.forgetDemands(now)
	b.fill(now, l)
	b.renew(now, a)
	delete(b.demands, a.entry)
	wanted := sane(a.wanted)
	granted := max(0, min(wanted, b.level-b.reserved()))
	b.level -= granted
	b.hold(now, a.entry, granted)
	missing := wanted - granted
	if missing <= 0 {
		return granted, 0
	}
	b.demands[a.entry] = unmet{amount: missing, at: now}
	return granted, refillTime(b.demand(), l.rate)
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
	for _, entry := range b.expired(now) {
		b.fillTo(b.holdings[entry].expires, l)
		delete(b.holdings, entry)
	}
	b.fillTo(now, l)
}

func (b *bucket) expired(now time.Time) []string {
	var list []string
	for entry, h := range b.holdings {
		if h.expires.Before(now) {
			list = append(list, entry)
		}
	}
	slices.SortFunc(list, func(x, y string) int {
		return cmp.Or(b.holdings[x].expires.Compare(b.holdings[y].expires), cmp.Compare(x, y))
	})
	return list
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
	for entry, d := range b.demands {
		d.reserved = min(d.amount, d.reserved+amount*d.amount/demand)
		b.demands[entry] = d
	}
}

func (b *bucket) shrink(level float64) {
	for entry, d := range b.demands {
		d.reserved *= level / b.level
		b.demands[entry] = d
	}
	b.level = level
}

func (b *bucket) outstanding() float64 {
	sum := 0.0
	for _, h := range b.holdings {
		sum += h.amount
	}
	return sum
}

// renew takes what the entry says that it kept and handed back, up to what this
// ledger knows it to hold. A young ledger believes what earlier leaders granted.
func (b *bucket) renew(now time.Time, a ask) {
	known := b.holdings[a.entry].amount
	kept := min(sane(a.held), known)
	if a.young {
		kept = sane(a.held)
	} else {
		b.add(min(sane(a.returned), known-kept))
	}
	delete(b.holdings, a.entry)
	b.hold(now, a.entry, kept)
}

func (b *bucket) hold(now time.Time, entry string, amount float64) {
	h := b.holdings[entry]
	h.amount += amount
	h.expires = now.Add(Life)
	if h.amount > 0 {
		b.holdings[entry] = h
	}
}

func (b *bucket) forgetDemands(now time.Time) {
	for entry, d := range b.demands {
		if now.Sub(d.at) > demandMemory {
			delete(b.demands, entry)
		}
	}
}

func (b *bucket) demand() float64 {
	sum := 0.0
	for _, d := range b.demands {
		sum += d.amount
	}
	return sum
}

func (b *bucket) reserved() float64 {
	sum := 0.0
	for _, d := range b.demands {
		sum += d.reserved
	}
	return sum
}
