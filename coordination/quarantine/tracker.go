// Package quarantine keeps the requests away from endpoints whose prompts would end them.
// A prompt consists of parts, which other prompts may share. When an endpoint ends under a
// request before its answer goes on, the parts of its prompt become suspects, at all
// entries; an answer that goes on clears its parts. A request with a suspect is sent only
// with a lease, one at a time over all entries. A part under which endpoints end again and
// again is quarantined: requests with it are refused, and the control group records that.
package quarantine

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

const (
	// MaxParts is the number of a prompt's parts that are looked at.
	MaxParts = 128
	// maxReports bounds the reports that are kept; the oldest are forgotten first.
	maxReports = 256
	// maxRememberedParts is the number of parts of one prompt that enter the history, so
	// that one request can't push out the others.
	maxRememberedParts = 16
	// maxLoggedParts bounds the parts in one log line.
	maxLoggedParts = 8
	// soundBefore is the age up to which an answer that went on counts when a quarantine
	// arrives from the control group.
	soundBefore = 10 * time.Second
)

// Key returns the key of a part of the prompts of a service.
func Key(service, part string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(service)))) // a hash write never fails
	_, _ = hash.Write([]byte(service))
	_, _ = hash.Write([]byte(part))
	return hash.Sum64()
}

// Keys returns the sorted keys of the first MaxParts parts.
func Keys(service string, parts []string) []uint64 {
	keys := make([]uint64, 0, min(len(parts), MaxParts))
	for _, part := range parts[:min(len(parts), MaxParts)] {
		keys = append(keys, Key(service, part))
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// Standing says whether a request with certain parts may be sent.
type Standing int

const (
	// Clear stands for parts that no endpoint has ended under.
	Clear Standing = iota
	// Unclear stands for parts that may be the cause of an end. A request needs a lease.
	Unclear
	// Postponed stands for a quarantined part beside a suspect one. A trial would not show
	// which of them is the cause.
	Postponed
	// Quarantined stands for parts that end endpoints.
	Quarantined
)

// Tracker holds what this entry and the others have seen of parts. It is safe for
// concurrent use.
type Tracker struct {
	now       func() monotonic.Time
	logger    *logs.Logger
	suspected atomic.Int64 // number of suspects, to be read without the lock

	mu       sync.Mutex
	suspects map[uint64]*suspect
	// quarantined holds those of the suspects that are quarantined.
	quarantined map[uint64]*suspect
	reports     []*report       // the oldest first
	clearings   []*clearing     // by answers of this entry that went on, the oldest first
	sound       *history        // when an answer last went on, by part
	soundOwn    *history        // the same by request, for the answers of this entry
	ended       *history        // when an endpoint ended, by its key
	runTimes    *history        // shortest reported time from the send of a request to the end, by the report's hash
	recorded    map[uint64]bool // quarantines of the control group, and whether they are final
	publish     func([]*wire.PartEvent)
	onProof     func(own bool)
	counts      Counts
}

// Counts are totals since the start of the process, for the metrics.
type Counts struct {
	Suspects    int // now
	Quarantined int // now
	Ends        int // reports of endpoints that ended
	Cleared     int // suspects
	Proved      int // suspects
}

// NewTracker returns a tracker without suspects.
func NewTracker(now func() monotonic.Time) *Tracker {
	return &Tracker{
		now: now, logger: logs.For("quarantine"),
		suspects: make(map[uint64]*suspect), quarantined: make(map[uint64]*suspect),
		sound: newHistory(), soundOwn: newHistory(), ended: newHistory(), runTimes: newHistory(),
		publish: func([]*wire.PartEvent) {}, onProof: func(bool) {},
	}
}

// OnEvents sets the function that publishes events to the other entries. It must not block
// and must be set before the tracker is in use.
func (t *Tracker) OnEvents(f func([]*wire.PartEvent)) { t.publish = f }

// OnProof sets the function that is called when parts are quarantined; own says whether
// the last endpoint ended under a request of this entry. It must not block or call the
// tracker, and must be set before the tracker is in use.
func (t *Tracker) OnProof(f func(own bool)) { t.onProof = f }

// Now returns the time by the tracker's clock.
func (t *Tracker) Now() monotonic.Time { return t.now() }

// Counts returns the current counts.
func (t *Tracker) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	counts.Suspects, counts.Quarantined = len(t.suspects), len(t.quarantined)
	return counts
}

// Check returns the standing of a request with these parts, and the part that decided it.
func (t *Tracker) Check(parts []uint64) (Standing, uint64) {
	if len(parts) == 0 || t.suspected.Load() == 0 {
		return Clear, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	decisive, quarantined, unclear, suspected := uint64(0), 0, 0, 0
	for _, p := range parts {
		s := t.suspects[p]
		if s == nil {
			continue
		}
		suspected++
		if !s.needsLease() {
			continue
		}
		decisive = p
		unclear++
		if s.quarantined {
			quarantined++
		}
		if s.final || quarantined > 1 {
			return Quarantined, p
		}
	}
	switch {
	case unclear == 0:
		return Clear, 0
	case quarantined > 0 && suspected > 1:
		return Postponed, decisive
	}
	return Unclear, decisive
}

// unclear returns those of the parts for which a request needs a lease, and a quarantined
// one among them, 0 if there is none.
func (t *Tracker) unclear(parts []uint64) (unclear []uint64, quarantined uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		s := t.suspects[p]
		if s == nil || !s.needsLease() {
			continue
		}
		unclear = append(unclear, p)
		if s.quarantined {
			quarantined = p
		}
	}
	return unclear, quarantined
}

// End is an end of an endpoint under a request of this entry, before its answer went on.
type End struct {
	Service  string
	Parts    []string // IDs of the shared parts of the prompt
	Request  uint64   // key of the request, 0 if it has none
	Path     string   // of the request, for the operators
	Endpoint uint64   // key of the incarnation
	SentAt   monotonic.Time
	Lease    *Lease // with which the request was sent, nil if without
}

// RecordEnd records the end of an endpoint, and publishes it.
func (t *Tracker) RecordEnd(e End) {
	parts := Keys(e.Service, e.Parts)
	if len(parts) == 0 && e.Request == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &report{endpoint: e.Endpoint, parts: parts, request: e.Request, at: t.now(), sentAt: e.SentAt, own: true}
	r.probed = e.Lease.probedPart()
	t.addReport(r)
	for _, id := range e.Parts[:min(len(e.Parts), MaxParts)] {
		t.name(Key(e.Service, id), e.Service, id[:min(len(id), maxIDBytes)])
	}
	t.name(e.Request, e.Service, requestName(e.Path))
	t.publish([]*wire.PartEvent{t.event(r)})
}

// name keeps the name of a suspect. The caller holds the lock.
func (t *Tracker) name(key uint64, service, id string) {
	if s := t.suspects[key]; s != nil {
		s.service, s.id = service, id
	}
}

// RecordSound records that an answer of this entry went on, and publishes which suspects
// among its parts that clears.
func (t *Tracker) RecordSound(parts []uint64) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, p := range parts[:min(len(parts), maxRememberedParts)] {
		t.sound.putLatest(p, now)
	}
	t.publishCleared(parts, now)
}

// RecordRequestSound records that an answer of this entry to a request went on, and
// publishes whether that clears the request. Requests have a history of their own, as they
// are as many as answers and would push the parts out.
func (t *Tracker) RecordRequestSound(request uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.soundOwn.putLatest(request, now)
	if t.suspects[request] != nil {
		t.sound.putLatest(request, now)
		t.publishCleared([]uint64{request}, now)
	}
}

// publishCleared clears the suspects among the keys and publishes that. The caller holds
// the lock.
func (t *Tracker) publishCleared(parts []uint64, now monotonic.Time) {
	if len(t.suspects) == 0 {
		return
	}
	if cleared := t.clear(parts, now); len(cleared) > 0 {
		t.rememberClearing(&clearing{parts: cleared, at: now})
		t.publish([]*wire.PartEvent{{Parts: cleared}})
	}
}

// addReport adds a report, unless it is known, to the parts that aren't known to be sound
// since then. The caller holds the lock.
func (t *Tracker) addReport(r *report) {
	if known := t.recordSend(r); known {
		return
	}
	r.alone = r.alone || t.otherPartsAreSound(r)
	t.counts.Ends++
	blamed, ends, proved := t.addToSuspects(r)
	t.suspected.Store(int64(len(t.suspects)))
	t.logger.Warn().Uint64("endpoint", r.endpoint).Uints64("suspect_parts", firstParts(blamed)).Int("suspects", len(blamed)).Int("parts", len(r.parts)).
		Int("ends", ends).Bool("own", r.own).Dur("age", t.now().Sub(r.at)).Msg("An endpoint ended under a request before its answer went on.")
	if len(blamed) == 0 {
		return
	}
	t.reports = append(t.reports, r)
	t.confirmAll()
	if len(t.reports) > maxReports {
		t.forget(t.reports[0])
	}
	if proved {
		t.onProof(r.own)
	}
}

// logQuarantine records and logs a quarantine that is new or has become final. The caller
// holds the lock.
func (t *Tracker) logQuarantine(part uint64, s *suspect) {
	if t.quarantined[part] == nil {
		t.quarantined[part], s.quarantinedAt = s, t.now()
		t.counts.Proved++
	}
	t.logger.Error().Uint64("part", part).Str("service", s.service).Str("id", s.id).Int("ends", s.ends()).Int("endpoints", len(s.reports)).
		Bool("final", s.final).Msg("A part of prompts ends endpoints and is quarantined.")
}

// clear removes the suspects among the parts for which an answer went on at a time, and
// returns them. The caller holds the lock.
func (t *Tracker) clear(parts []uint64, at monotonic.Time) []uint64 {
	var cleared []uint64
	for _, p := range parts {
		s := t.suspects[p]
		if s == nil {
			continue
		}
		s.drop(func(r *report) bool { return r.at <= at })
		if len(s.reports) > 0 || at <= s.quarantinedAt {
			continue
		}
		t.remove(p)
		t.counts.Cleared++
		cleared = append(cleared, p)
	}
	if len(cleared) > 0 {
		t.logger.Info().Uints64("cleared_parts", firstParts(cleared)).Int("cleared", len(cleared)).Int("suspects", len(t.suspects)).
			Dur("age", t.now().Sub(at)).Msg("Suspect parts of a prompt are cleared, as an answer went on.")
	}
	t.dropUnusedReports()
	if len(cleared) > 0 {
		t.confirmAll()
	}
	return cleared
}

// remove removes a suspect. The caller holds the lock.
func (t *Tracker) remove(part uint64) {
	t.suspects[part].drop(func(*report) bool { return true })
	delete(t.suspects, part)
	delete(t.quarantined, part)
	t.suspected.Store(int64(len(t.suspects)))
}

// forget removes a report. A suspect without reports is removed too, unless it is
// quarantined. The caller holds the lock.
func (t *Tracker) forget(old *report) {
	for _, p := range old.keys() {
		s := t.suspects[p]
		if s == nil {
			continue
		}
		s.drop(func(r *report) bool { return r == old })
		if len(s.reports) == 0 && !s.quarantined {
			t.remove(p)
		}
	}
	t.dropUnusedReports()
}

// dropUnusedReports drops the reports that no suspect holds. The caller holds the lock.
func (t *Tracker) dropUnusedReports() {
	t.reports = slices.DeleteFunc(t.reports, func(r *report) bool { return r.holders == 0 })
}

// firstParts returns the first parts, for a log line.
func firstParts(parts []uint64) []uint64 { return parts[:min(len(parts), maxLoggedParts)] }
