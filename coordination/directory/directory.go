// Package directory keeps the records of all known processes and endpoints. Records
// merge to the same result in any order, unless different ones have the same sequence
// number: the newest incarnation wins, and within it the highest sequence number (of
// a process: revision). An incarnation of an endpoint that drains is never ready again, and
// gone is final.
package directory

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

const (
	// goneRetention is how long the record of a gone endpoint is kept, counted from
	// HeardAt, so that a late announcement can't bring the endpoint back. It exceeds
	// silentRetention, as other processes may send on an earlier record for that long.
	goneRetention = 5 * time.Minute
	// maxAnnouncementDelay is how late an announcement is assumed to arrive at most;
	// later ones aren't rejected. It is used where a leave names no incarnation: the
	// leave ends an incarnation that was last heard from at most this long after it,
	// and one heard from later was started since.
	maxAnnouncementDelay = 10 * time.Second
	// silentRetention is how long an endpoint that is not gone is kept after its last
	// announcement.
	silentRetention = 2 * time.Minute
	// refreshEvery: announcements that change nothing are published to the other
	// processes only if their sequence number is a multiple of it. The others are
	// merged here only.
	refreshEvery = 2
)

// Endpoint is the merged record of one incarnation of an endpoint.
type Endpoint struct {
	ID         string
	BornMs     uint64
	Sequence   uint64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Condition  wire.EndpointCondition
	ColdUntil  monotonic.Time
	HeardAt    monotonic.Time // last time any process heard from it, as far as known
	HeardIndex uint64         // log index of the newest state of a process that heard from it, at that time
	Key        uint64         // identifies this incarnation to the scheduler
	changedAt  monotonic.Time // of the last change as merge reports it
}

// KeyOf returns the key of one incarnation of an endpoint.
func KeyOf(id string, bornMs uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write(binary.LittleEndian.AppendUint64(nil, bornMs))
	return h.Sum64()
}

// Cold reports whether the endpoint is still in the cold start that it announced.
func (e *Endpoint) Cold(now monotonic.Time) bool { return now < e.ColdUntil }

// Directory holds the process and endpoint records that one process knows. It is safe
// for concurrent use.
type Directory struct {
	logger *logs.Logger
	now    func() monotonic.Time

	mu        sync.Mutex
	processes map[string]*process    // by address
	byKey     map[uint64]*Endpoint   // of all endpoints
	endpoints map[string]*Endpoint   // by ID
	byService map[string][]*Endpoint // one per address, gone ones left out; nil when reindex is due
	publish   func(records []*wire.EndpointRecord, urgent bool)
	state     func() *catalogue.State
}

// New returns an empty directory.
func New() *Directory { return NewWithClock(monotonic.Now) }

// NewWithClock returns an empty directory that tells the time by a clock.
func NewWithClock(now func() monotonic.Time) *Directory {
	return &Directory{
		logger:    logs.For("directory"),
		now:       now,
		processes: make(map[string]*process),
		endpoints: make(map[string]*Endpoint),
		byKey:     make(map[uint64]*Endpoint),
		publish:   func([]*wire.EndpointRecord, bool) {},
		state:     func() *catalogue.State { return &catalogue.State{} },
	}
}

// SetStateLookup sets the function that returns the newest replicated state of this
// process. It must be called before the directory is in use.
func (d *Directory) SetStateLookup(f func() *catalogue.State) { d.state = f }

// HeardSinceReturn reports whether an endpoint has been heard from since its data centre
// was last put back into service: by a process that had already received that order. Until
// then it may have become cold while it got no requests.
func (d *Directory) HeardSinceReturn(e *Endpoint) bool {
	return e.HeardIndex >= d.state().ReturnIndex(e.DataCentre)
}

// OnUpdate sets the function that publishes to other processes what this one has
// learnt from an endpoint itself. Its argument urgent is false when the records are ready
// and merge has found no change in them. It must be called before the directory is in use.
func (d *Directory) OnUpdate(f func(records []*wire.EndpointRecord, urgent bool)) { d.publish = f }

// Announce merges an announcement that this process received from the endpoint itself and
// publishes it, as announce says. It enters the index of this process's state in the record.
func (d *Directory) Announce(r *wire.EndpointRecord) {
	r.HeardIndex = d.state().Index
	d.announce(r)
}

// announce merges an announcement, or a record that this process made of what the endpoint
// told it otherwise, and publishes it to the other processes if it is a change. A record
// that is no change, be it newer or not, is published only by the rule of refreshEvery. That
// the endpoint is not ready is always published: it may be said only once more, and the
// process that heard it first may have ended before it told others.
func (d *Directory) announce(r *wire.EndpointRecord) {
	_, stateChanged := d.merge(r)
	urgent := stateChanged || r.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_READY
	if urgent || r.Sequence%refreshEvery == 0 {
		d.publish([]*wire.EndpointRecord{r}, urgent)
	}
}

// Leave marks an incarnation of an endpoint as gone that has said so itself. If bornMs is
// 0, it is the one known here, or any if none is known. A leave of an incarnation before
// the known one changes nothing.
func (d *Directory) Leave(id string, bornMs uint64) {
	d.mu.Lock()
	known := d.endpoints[id]
	d.mu.Unlock()
	r := &wire.EndpointRecord{Id: id, BornMs: bornMs}
	if known != nil && (bornMs == 0 || bornMs == known.BornMs) {
		r = known.record(d.now())
	}
	r.Condition = wire.EndpointCondition_ENDPOINT_CONDITION_GONE
	d.announce(r)
}

// Incarnation returns the start of the known incarnation of an endpoint, as in
// EndpointRecord.BornMs; 0 if none is known.
func (d *Directory) Incarnation(id string) (bornMs uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.endpoints[id]; e != nil {
		return e.BornMs
	}
	return 0
}

// MarkDraining records and publishes that an endpoint is draining. It stays so whatever
// this incarnation announces later.
func (d *Directory) MarkDraining(e *Endpoint) {
	r := e.record(d.now())
	r.Condition = wire.EndpointCondition_ENDPOINT_CONDITION_DRAINING
	r.Sequence++ // processes of earlier builds take a condition only from a newer record
	d.announce(r)
}

// MergeEndpoints merges records from another process. It returns those that are newer
// than the known ones, and whether any is a change as merge reports it.
func (d *Directory) MergeEndpoints(records []*wire.EndpointRecord) (accepted []*wire.EndpointRecord, stateChanged bool) {
	for _, r := range records {
		newest, changed := d.merge(r)
		if newest {
			accepted = append(accepted, r)
		}
		stateChanged = stateChanged || changed
	}
	return accepted, stateChanged
}

// merge stores the record if it is the first one of its endpoint or newer than the
// known one, and reports whether it did. A leave that names no incarnation marks the
// known record as gone. stateChanged is true for the first record, for one with another
// incarnation, condition or address, when old and new disagree on whether the endpoint is
// cold now, and for the first one since its data centre was put back into service. Other
// fields, such as the slots, are stored but don't count.
func (d *Directory) merge(r *wire.EndpointRecord) (newest, stateChanged bool) {
	now := d.now()
	next := fromRecord(r, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.endpoints[r.Id]
	if old != nil && !newer(old, next) {
		if !old.learnsOfDraining(next) {
			return false, false
		}
		next = old.asDraining()
	}
	if old != nil && next.isLeaveOfAnyIncarnation() {
		next = old.asGone(next.HeardAt)
	}
	next.changedAt = now
	if old != nil && old.BornMs == next.BornMs {
		next.Condition = max(next.Condition, old.Condition)
		next.HeardAt = max(next.HeardAt, old.HeardAt)
		next.HeardIndex = max(next.HeardIndex, old.HeardIndex)
	}
	if old != nil {
		delete(d.byKey, old.Key)
	}
	d.endpoints[r.Id], d.byKey[next.Key] = next, next
	d.byService = nil
	if old != nil && old.BornMs == next.BornMs && old.Condition == next.Condition && old.Address == next.Address && old.Cold(now) == next.Cold(now) && d.HeardSinceReturn(old) == d.HeardSinceReturn(next) {
		next.changedAt = old.changedAt
		return true, false
	}
	d.logger.Info().Str("endpoint", next.ID).Uint64("born_ms", next.BornMs).Str("address", next.Address).
		Str("data_centre", next.DataCentre).Str("condition", conditionName(next.Condition)).
		Uint32("cold_ms", r.ColdMs).Uint32("age_ms", r.HeardAgeMs).
		Uint64("heard_index", next.HeardIndex).Bool("heard_since_return", d.HeardSinceReturn(next)).Msg("An endpoint was added or has changed.")
	return true, true
}

func conditionName(c wire.EndpointCondition) string {
	return strings.ToLower(strings.TrimPrefix(c.String(), "ENDPOINT_CONDITION_"))
}

// isLeaveOfAnyIncarnation reports whether this record marks an endpoint as gone
// without naming an incarnation. A process that knew none, as after its restart,
// publishes such a record; it ends the incarnation that runs at that time.
func (e *Endpoint) isLeaveOfAnyIncarnation() bool {
	return e.BornMs == 0 && e.Condition == wire.EndpointCondition_ENDPOINT_CONDITION_GONE
}

// asGone returns a copy of the same incarnation, marked as gone.
func (e *Endpoint) asGone(at monotonic.Time) *Endpoint {
	gone := *e
	gone.Condition, gone.HeardAt = wire.EndpointCondition_ENDPOINT_CONDITION_GONE, at
	return &gone
}

// learnsOfDraining reports whether an older record says that the incarnation drains, which
// this record, of a process that had not heard of it, doesn't.
func (e *Endpoint) learnsOfDraining(older *Endpoint) bool {
	return e.BornMs == older.BornMs && e.Condition < older.Condition && older.Condition == wire.EndpointCondition_ENDPOINT_CONDITION_DRAINING
}

// asDraining returns a copy of the same record, marked as draining.
func (e *Endpoint) asDraining() *Endpoint {
	draining := *e
	draining.Condition = wire.EndpointCondition_ENDPOINT_CONDITION_DRAINING
	return &draining
}

// newer reports whether next replaces old. Within one incarnation, gone is final.
func newer(old, next *Endpoint) bool {
	switch {
	case next.isLeaveOfAnyIncarnation():
		// The leave doesn't end an incarnation heard from more than
		// maxAnnouncementDelay after it, which was started since.
		return old.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_GONE && old.HeardAt.Sub(next.HeardAt) <= maxAnnouncementDelay
	case old.isLeaveOfAnyIncarnation() && next.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_GONE:
		return next.HeardAt.Sub(old.HeardAt) > maxAnnouncementDelay
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

func fromRecord(r *wire.EndpointRecord, now monotonic.Time) *Endpoint {
	heard := now.Add(-time.Duration(r.HeardAgeMs) * time.Millisecond)
	return &Endpoint{
		ID: r.Id, BornMs: r.BornMs, Sequence: r.Sequence, Service: r.Service, Address: r.Address,
		DataCentre: r.DataCentre, Slots: int(r.Slots), Condition: r.Condition,
		ColdUntil: heard.Add(time.Duration(r.ColdMs) * time.Millisecond), HeardAt: heard, HeardIndex: r.HeardIndex,
		Key: KeyOf(r.Id, r.BornMs),
	}
}

func (e *Endpoint) record(now monotonic.Time) *wire.EndpointRecord {
	return &wire.EndpointRecord{
		Id: e.ID, BornMs: e.BornMs, Sequence: e.Sequence, Service: e.Service, Address: e.Address,
		DataCentre: e.DataCentre, Slots: uint32(e.Slots), Condition: e.Condition,
		ColdMs:     uint32(max(0, e.ColdUntil.Sub(e.HeardAt)).Milliseconds()),
		HeardAgeMs: uint32(max(0, now.Sub(e.HeardAt)).Milliseconds()),
		HeardIndex: e.HeardIndex,
	}
}

// Endpoints returns the endpoints of a service that are not gone, ordered by ID. The
// caller must not change the list.
func (d *Directory) Endpoints(service string) []*Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byService == nil {
		d.reindex()
	}
	return d.byService[service]
}

// KeysIn returns the keys of the endpoints of a data centre that are not gone.
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

// ServiceOf returns the service of an endpoint, empty when the key is unknown.
func (d *Directory) ServiceOf(key uint64) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.byKey[key]; e != nil {
		return e.Service
	}
	return ""
}

// IsSuperseded reports whether another incarnation is known that was started after this one
// under the same ID or at the same address.
func (d *Directory) IsSuperseded(e *Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, other := range d.endpoints {
		if (id == e.ID || other.Address == e.Address) && other.BornMs > e.BornMs {
			return true
		}
	}
	return false
}

// Silence returns the time since any process last heard from an incarnation of an endpoint,
// as far as known.
func (d *Directory) Silence(e *Endpoint) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.byKey[e.Key]; known != nil {
		e = known
	}
	return d.now().Sub(e.HeardAt)
}

// reindex groups the endpoints by service and deletes expired ones, which happens
// nowhere else. Of several endpoints with one address, only the one born last is kept in
// the index, as it has taken over the address.
func (d *Directory) reindex() {
	now := d.now()
	d.byService = make(map[string][]*Endpoint)
	holders := make(map[string]*Endpoint)
	for id, e := range d.endpoints {
		silent := now.Sub(e.HeardAt)
		if silent > goneRetention || silent > silentRetention && e.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_GONE {
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

// CountEndpoints returns the number of endpoints that are not gone.
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
