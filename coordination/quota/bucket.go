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

type unmet struct {
	amount float64
	at     time.Time
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

// lease renews what an entry holds and grants more in proportion to its part of
// the demand. It returns the grant and the time until the rest is there.
func (b *bucket) lease(now time.Time, a ask, l limit) (float64, time.Duration) {
	b.fill(now, l)
	b.renew(now, a)
	a.wanted = sane(a.wanted)
	demand := b.demand(now, a)
	granted := a.wanted
	if demand > b.level {
		granted = b.level * a.wanted / demand
	}
	if a.young {
		granted = 0
	}
	b.level -= granted
	b.hold(now, a.entry, granted)
	missing := a.wanted - granted
	if missing <= 0 {
		delete(b.demands, a.entry)
		return granted, 0
	}
	b.demands[a.entry] = unmet{missing, now}
	return granted, refillTime(missing*demand/a.wanted, l.rate)
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
		if !h.expires.After(now) {
			list = append(list, entry)
		}
	}
	slices.SortFunc(list, func(x, y string) int {
		return cmp.Or(b.holdings[x].expires.Compare(b.holdings[y].expires), cmp.Compare(x, y))
	})
	return list
}

func (b *bucket) fillTo(t time.Time, l limit) {
	if elapsed := t.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.level += elapsed * l.rate
		b.filledAt = t
	}
	b.level = min(b.level, max(0, l.burst-b.outstanding()))
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
		b.level += min(sane(a.returned), known-kept)
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

// demand is what is wanted now by this entry and was lately left unmet to others.
func (b *bucket) demand(now time.Time, a ask) float64 {
	sum := a.wanted
	for entry, d := range b.demands {
		if now.Sub(d.at) > demandMemory {
			delete(b.demands, entry)
			continue
		}
		if entry != a.entry {
			sum += d.amount
		}
	}
	return sum
}
