package mesh

import (
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// originState describes the updates that relays forwarded for the work of one entry.
type originState struct {
	lastEvent  uint64         // number of the latest event received
	lastFull   uint64         // number of the latest event included in a full update
	receivedAt monotonic.Time // when the latest update was received
}

// applyRelayed handles an update in which this process acts as a relay or that a relay has
// forwarded to it. An update for another data centre is only forwarded; one for this data
// centre is applied and forwarded to its processes.
func (m *Mesh) applyRelayed(update *wire.Relayed) {
	here := m.options.Self.DataCentre
	if update.DataCentre != "" && update.DataCentre != here {
		m.mu.Lock()
		m.sendToDataCentre(update)
		m.mu.Unlock()
		return
	}
	newer, changed := m.directory.MergeEndpoints(update.Endpoints)
	if update.DataCentre == here && here != "" {
		m.forwardLocally(&wire.Relayed{Endpoints: newer, Work: update.Work, Load: update.Load, Parts: update.Parts}, changed)
	}
	if update.Work != nil {
		m.applyWork(update.Work)
	}
	m.parts.Apply(update.Parts)
	if update.Load != nil {
		m.scheduler.ApplyReport(update.Load)
	}
}

// forwardLocally sends an update to the processes of this data centre. Only entries get
// work and load reports. Records that are not urgent are sent with the next ping.
func (m *Mesh) forwardLocally(update *wire.Relayed, urgent bool) {
	records := &wire.Relayed{Endpoints: update.Endpoints}
	forEntries := update.Work != nil || update.Load != nil || len(update.Parts) > 0
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if !m.isLocal(l) {
			continue
		}
		switch {
		case forEntries && l.entry.Load():
			l.enqueue(&wire.MeshFrame{Relayed: []*wire.Relayed{update}}, true)
		case len(records.Endpoints) > 0:
			l.enqueue(&wire.MeshFrame{Relayed: []*wire.Relayed{records}}, urgent)
		}
	}
}

// applyWork applies an update of another entry's work, unless it is outdated.
func (m *Mesh) applyWork(work *wire.OriginWork) {
	if work.Origin == m.options.Self.Incarnation || !m.acceptWork(work) {
		return
	}
	if work.Whole {
		m.scheduler.ReplaceRemote(work.Origin, work.Events)
	} else {
		m.scheduler.ApplyRemote(work.Origin, work.Events)
	}
}

// acceptWork reports whether an update is not outdated, and records it. A full update, with
// the field Whole, is outdated if a later event has arrived. Any other update is outdated if
// a full update with the same or a higher number has arrived, which included its events.
func (m *Mesh) acceptWork(work *wire.OriginWork) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.origins[work.Origin]
	if o == nil {
		o = &originState{}
		m.origins[work.Origin] = o
	}
	o.receivedAt = monotonic.Now()
	if work.Whole && work.Number < o.lastEvent || !work.Whole && work.Number <= o.lastFull {
		return false
	}
	o.lastEvent = max(o.lastEvent, work.Number)
	if work.Whole {
		o.lastFull = work.Number
	}
	return true
}

// expireOrigins removes the work of entries for which relays have forwarded nothing for
// relayedWorkTimeout, or for lostLinkWorkTimeout if the entry is gone.
func (m *Mesh) expireOrigins() {
	var expired []uint64
	running := make(map[uint64]bool)
	for _, p := range m.directory.Processes() {
		running[p.Incarnation] = true
	}
	now := monotonic.Now()
	m.mu.Lock()
	for incarnation, o := range m.origins {
		if age := now.Sub(o.receivedAt); age <= lostLinkWorkTimeout || running[incarnation] && age <= relayedWorkTimeout {
			continue
		}
		delete(m.origins, incarnation)
		if s := m.inStreams[incarnation]; s == nil || !s.direct {
			expired = append(expired, incarnation)
		}
	}
	m.mu.Unlock()
	for _, incarnation := range expired {
		m.scheduler.RemoveRemote(incarnation)
	}
}

// isRelayed reports whether relays forward an entry's work. The caller holds m.mu.
func (m *Mesh) isRelayed(incarnation uint64) bool {
	o := m.origins[incarnation]
	return o != nil && monotonic.Since(o.receivedAt) <= relayedWorkTimeout
}
