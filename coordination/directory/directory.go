// Package directory keeps what is known of processes and endpoints. Records
// merge to the same result in any order: the newest incarnation wins, and
// within it the highest sequence.
package directory

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

const (
	// goneKept is how long an endpoint that has left stays known, so that a
	// late announcement can't bring it back.
	goneKept = 5 * time.Minute
	// lateFor bounds how late an announcement may arrive.
	lateFor = 10 * time.Second
	// silentKept is how long a silent endpoint stays known.
	silentKept = 2 * time.Minute
	// gossipRecent is how long a change is part of every gossip.
	gossipRecent = 10 * time.Second
	// gossipRounds is in how many rounds all other records are part of it once.
	gossipRounds = 16
	// refreshBeats is how many announcements without news are told to the other
	// processes as one.
	refreshBeats = 2
)

// Endpoint is what is known of one incarnation of an endpoint.
type Endpoint struct {
	ID         string
	BornMs     uint64
	Sequence   uint64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Condition  wire.EndpointCondition
	ColdUntil  steady.Time
	HeardAt    steady.Time
	Key        uint64 // of this incarnation, for the ledger
	changedAt  steady.Time
}

// KeyOf returns the ledger's key of an incarnation.
func KeyOf(id string, bornMs uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write(binary.LittleEndian.AppendUint64(nil, bornMs))
	return h.Sum64()
}

// Cold reports whether the endpoint announced a cold start that still lasts.
func (e *Endpoint) Cold(now steady.Time) bool { return now < e.ColdUntil }

// Directory holds the records of one process.
type Directory struct {
	logger *logs.Logger

	mu        sync.Mutex
	processes map[string]*process    // by address
	byKey     map[uint64]*Endpoint   // of all endpoints
	endpoints map[string]*Endpoint   // by identity
	byService map[string][]*Endpoint // in use; nil after a change
	spread    func(records []*wire.EndpointRecord, news bool)
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		logger:    logs.For("directory"),
		processes: make(map[string]*process),
		endpoints: make(map[string]*Endpoint),
		byKey:     make(map[uint64]*Endpoint),
		spread:    func([]*wire.EndpointRecord, bool) {},
	}
}

// OnUpdate sets the function that tells other processes what this one learnt
// from an endpoint itself.
// news is false when the records tell only that the endpoints were heard again.
func (d *Directory) OnUpdate(f func(records []*wire.EndpointRecord, news bool)) { d.spread = f }

// Announce takes an endpoint's own announcement and spreads its news.
func (d *Directory) Announce(r *wire.EndpointRecord) {
	_, news := d.merge(r)
	if news || r.Sequence%refreshBeats == 0 {
		d.spread([]*wire.EndpointRecord{r}, news)
	}
}

// Leave takes an endpoint's farewell. bornMs is 0 when it did not say.
func (d *Directory) Leave(id string, bornMs uint64) {
	d.mu.Lock()
	known := d.endpoints[id]
	d.mu.Unlock()
	r := &wire.EndpointRecord{Id: id, BornMs: bornMs, Condition: wire.EndpointCondition_ENDPOINT_CONDITION_GONE}
	if known != nil {
		r = known.record(steady.Now())
		r.Condition = wire.EndpointCondition_ENDPOINT_CONDITION_GONE
		r.BornMs = max(r.BornMs, bornMs)
	}
	d.Announce(r)
}

// NoteDraining spreads that an endpoint was heard to leave. Its own announcements
// go on to count.
func (d *Directory) NoteDraining(e *Endpoint) {
	r := e.record(steady.Now())
	r.Condition = wire.EndpointCondition_ENDPOINT_CONDITION_DRAINING
	r.Sequence++
	d.Announce(r)
}

// MergeEndpoints takes records from another process. It returns those that are
// newer than what was known, and whether any tells more than that an endpoint was
// heard again.
func (d *Directory) MergeEndpoints(records []*wire.EndpointRecord) (taken []*wire.EndpointRecord, news bool) {
	for _, r := range records {
		newest, changed := d.merge(r)
		if newest {
			taken = append(taken, r)
		}
		news = news || changed
	}
	return taken, news
}

// merge reports whether the record is newer than what was known, and whether it
// changes more than the time last heard.
func (d *Directory) merge(r *wire.EndpointRecord) (newest, news bool) {
	now := steady.Now()
	next := fromRecord(r, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.endpoints[r.Id]
	if old != nil && !newer(old, next) {
		return false, false
	}
	if old != nil && next.isFarewellOfAny() {
		next = old.left(next.HeardAt)
	}
	next.changedAt = now
	if old != nil && old.BornMs == next.BornMs {
		next.HeardAt = max(next.HeardAt, old.HeardAt)
	}
	if old != nil {
		delete(d.byKey, old.Key)
	}
	d.endpoints[r.Id], d.byKey[next.Key] = next, next
	d.byService = nil
	if old != nil && old.BornMs == next.BornMs && old.Condition == next.Condition && old.Address == next.Address {
		changed := old.Cold(now) != next.Cold(now)
		if !changed {
			next.changedAt = old.changedAt
		}
		return true, changed
	}
	d.logger.Info().Str("endpoint", next.ID).Uint64("born_ms", next.BornMs).Str("address", next.Address).
		Str("data_centre", next.DataCentre).Str("condition", conditionName(next.Condition)).
		Uint32("cold_ms", r.ColdMs).Uint32("age_ms", r.HeardAgeMs).Msg("An endpoint is known anew.")
	return true, true
}

func conditionName(c wire.EndpointCondition) string {
	return strings.ToLower(strings.TrimPrefix(c.String(), "ENDPOINT_CONDITION_"))
}

// isFarewellOfAny reports whether this is a farewell that named no incarnation, told
// to a process that knew none, as after its restart. It ends what runs by then.
func (e *Endpoint) isFarewellOfAny() bool {
	return e.BornMs == 0 && e.Condition == wire.EndpointCondition_ENDPOINT_CONDITION_GONE
}

// left is the same incarnation after its farewell.
func (e *Endpoint) left(at steady.Time) *Endpoint {
	gone := *e
	gone.Condition, gone.HeardAt = wire.EndpointCondition_ENDPOINT_CONDITION_GONE, at
	return &gone
}

func newer(old, next *Endpoint) bool {
	switch {
	case next.isFarewellOfAny():
		// An incarnation that was heard long after the farewell is another one.
		return old.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_GONE && old.HeardAt.Sub(next.HeardAt) <= lateFor
	case old.isFarewellOfAny() && next.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_GONE:
		return next.HeardAt.Sub(old.HeardAt) > lateFor
	}
	if next.BornMs != old.BornMs {
		return next.BornMs > old.BornMs
	}
	const gone = wire.EndpointCondition_ENDPOINT_CONDITION_GONE
	if old.Condition == gone || next.Condition == gone {
		return old.Condition != gone
	}
	return next.Sequence > old.Sequence
}

func fromRecord(r *wire.EndpointRecord, now steady.Time) *Endpoint {
	heard := now.Add(-time.Duration(r.HeardAgeMs) * time.Millisecond)
	return &Endpoint{
		ID: r.Id, BornMs: r.BornMs, Sequence: r.Sequence, Service: r.Service, Address: r.Address,
		DataCentre: r.DataCentre, Slots: int(r.Slots), Condition: r.Condition,
		ColdUntil: heard.Add(time.Duration(r.ColdMs) * time.Millisecond), HeardAt: heard,
		Key: KeyOf(r.Id, r.BornMs),
	}
}

func (e *Endpoint) record(now steady.Time) *wire.EndpointRecord {
	return &wire.EndpointRecord{
		Id: e.ID, BornMs: e.BornMs, Sequence: e.Sequence, Service: e.Service, Address: e.Address,
		DataCentre: e.DataCentre, Slots: uint32(e.Slots), Condition: e.Condition,
		ColdMs:     uint32(max(0, e.ColdUntil.Sub(e.HeardAt)).Milliseconds()),
		HeardAgeMs: uint32(max(0, now.Sub(e.HeardAt)).Milliseconds()),
	}
}

// Endpoints returns the endpoints of a service that have not left, in a fixed
// order. The list must not be altered.
func (d *Directory) Endpoints(service string) []*Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byService == nil {
		d.index()
	}
	return d.byService[service]
}

// KeysIn returns the keys of the endpoints of a data centre that have not left.
func (d *Directory) KeysIn(dataCentre string) []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var keys []uint64
	for _, e := range d.endpoints {
		if e.DataCentre == dataCentre && e.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_GONE {
			keys = append(keys, e.Key)
		}
	}
	return keys
}

// ServiceOf names the service of an endpoint, empty when it isn't known.
func (d *Directory) ServiceOf(key uint64) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.byKey[key]; e != nil {
		return e.Service
	}
	return ""
}

// index groups the endpoints by service. Of two at one address the one born
// later holds it.
func (d *Directory) index() {
	now := steady.Now()
	d.byService = make(map[string][]*Endpoint)
	holders := make(map[string]*Endpoint)
	for id, e := range d.endpoints {
		silent := now.Sub(e.HeardAt)
		if silent > goneKept || silent > silentKept && e.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_GONE {
			delete(d.endpoints, id)
			delete(d.byKey, e.Key)
			continue
		}
		if h := holders[e.Address]; h == nil || e.BornMs > h.BornMs || e.BornMs == h.BornMs && e.ID > h.ID {
			holders[e.Address] = e
		}
	}
	for _, e := range holders {
		if e.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_GONE {
			d.byService[e.Service] = append(d.byService[e.Service], e)
		}
	}
	for _, list := range d.byService {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
}

// CountEndpoints returns how many endpoints have not left.
func (d *Directory) CountEndpoints() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, e := range d.endpoints {
		if e.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_GONE {
			n++
		}
	}
	return n
}

// EndpointRecords returns every endpoint's record.
func (d *Directory) EndpointRecords() []*wire.EndpointRecord {
	return d.records(func(*Endpoint, steady.Time) bool { return true })
}

// GossipRecords returns the records for one round of gossip: those that have changed
// lately or are not ready, and a part of the others, so that its size grows less
// than the fleet.
func (d *Directory) GossipRecords(round uint64) []*wire.EndpointRecord {
	return d.records(func(e *Endpoint, now steady.Time) bool {
		return e.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_READY ||
			now.Sub(e.changedAt) < gossipRecent || e.Key%gossipRounds == round%gossipRounds
	})
}

func (d *Directory) records(wanted func(e *Endpoint, now steady.Time) bool) []*wire.EndpointRecord {
	now := steady.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	records := make([]*wire.EndpointRecord, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		if wanted(e, now) {
			records = append(records, e.record(now))
		}
	}
	return records
}
