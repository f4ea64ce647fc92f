package mesh

import (
	"math/rand/v2"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// publishProcesses sends process records to all linked processes.
func (m *Mesh) publishProcesses(records []*wire.ProcessRecord) {
	if len(records) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.enqueueUrgent(&wire.MeshFrame{Processes: records})
	}
}

// publishEndpoints sends endpoint records, which this process got from the endpoints
// themselves, to all processes. Records that are not urgent are sent with the next ping.
func (m *Mesh) publishEndpoints(records []*wire.EndpointRecord, urgent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		switch {
		case l.hasRole(roleNear):
			l.enqueue(&wire.MeshFrame{Endpoints: records}, urgent)
		case l.hasRole(roleRelay), l.hasRole(roleSpare) && urgent:
			// Spare relays get urgent records too, so that a draining endpoint is known at
			// once even if the relay in use is down.
			l.enqueue(&wire.MeshFrame{Relayed: []*wire.Relayed{{DataCentre: l.dataCentre, Endpoints: records}}}, urgent)
		}
	}
	for _, dataCentre := range m.remote {
		if m.relays[dataCentre] == nil {
			m.sendToDataCentre(&wire.Relayed{DataCentre: dataCentre, Endpoints: records})
		}
	}
}

// publishWork sends an event of this entry's work to the entries in the audience.
func (m *Mesh) publishWork(e *wire.WorkEvent, audience placement.Scope) {
	events := []*wire.WorkEvent{e}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.workEvents++
	for _, l := range m.links {
		if l.hasRole(roleNear) && l.entry.Load() {
			l.enqueueUrgent(&wire.MeshFrame{Work: events})
		}
	}
	if audience != placement.AllDataCentres {
		return
	}
	for _, dataCentre := range m.remote {
		m.sendToDataCentre(&wire.Relayed{DataCentre: dataCentre, Work: m.originWork(events, false)})
	}
}

// publishParts sends what this entry has seen of parts of prompts to all entries.
func (m *Mesh) publishParts(events []*wire.PartEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.hasRole(roleNear) && l.entry.Load() {
			l.enqueueUrgent(&wire.MeshFrame{Parts: events})
		}
	}
	for _, dataCentre := range m.remote {
		m.sendToDataCentre(&wire.Relayed{DataCentre: dataCentre, Parts: events})
	}
}

// repeatParts sends the reports of this entry on suspect parts again.
func (m *Mesh) repeatParts() {
	if events := m.parts.OwnEvents(); len(events) > 0 {
		m.publishParts(events)
	}
}

// originWork returns a message with events of this entry's work and the number of the
// latest event, by which receivers order them. full means a full update, whose events
// describe all open work; the field is named Whole. The caller holds m.mu.
func (m *Mesh) originWork(events []*wire.WorkEvent, full bool) *wire.OriginWork {
	return &wire.OriginWork{Origin: m.self.Incarnation, Number: m.workEvents, Whole: full, Events: events}
}

// sendToDataCentre sends an update for all processes of another data centre to the relay
// there. While no relay there answers, it sends it to the relay of a third data centre,
// which forwards it. The caller holds m.mu.
func (m *Mesh) sendToDataCentre(update *wire.Relayed) {
	if l := m.relays[update.DataCentre]; l != nil {
		l.enqueueUrgent(&wire.MeshFrame{Relayed: []*wire.Relayed{update}})
		return
	}
	if update.Detour {
		return // an update makes at most one detour
	}
	for _, dataCentre := range m.remote {
		if l := m.relays[dataCentre]; l != nil {
			update.Detour = true
			l.enqueueUrgent(&wire.MeshFrame{Relayed: []*wire.Relayed{update}})
			return
		}
	}
}

// fullWork returns a full update with all open work of this entry that is published to other
// data centres. Its number is taken before its events: an event published in between then
// has a higher number, and receivers accept it also after the full update.
func (m *Mesh) fullWork() *wire.OriginWork {
	m.mu.Lock()
	work := m.originWork(nil, true)
	m.mu.Unlock()
	work.Events = m.scheduler.OwnCrossDataCentreEvents()
	return work
}

// syncRelay sends all endpoint records and the work of this entry to a relay that comes
// into use, as its predecessor may have failed before it forwarded the latest updates.
func (m *Mesh) syncRelay(l *outLink) {
	m.mu.Lock()
	dataCentre := l.dataCentre
	m.mu.Unlock()
	updates := []*wire.Relayed{{DataCentre: dataCentre, Endpoints: m.directory.EndpointRecords()}}
	if m.options.Self.Entry {
		updates = append(updates, &wire.Relayed{DataCentre: dataCentre, Work: m.fullWork(), Parts: m.parts.Events()})
	}
	l.enqueueUrgent(&wire.MeshFrame{Relayed: updates})
}

// remoteDataCentres returns the data centres that are reached through relays.
func (m *Mesh) remoteDataCentres() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.remote
}

// publishFullWork sends the other data centres all open work of this entry that is
// published to them, which corrects for lost events.
func (m *Mesh) publishFullWork() {
	remote := m.remoteDataCentres()
	if len(remote) == 0 {
		return
	}
	work := m.fullWork()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, dataCentre := range remote {
		m.sendToDataCentre(&wire.Relayed{DataCentre: dataCentre, Work: work})
	}
}

// publishLoadReport sends the other data centres a load report, which sums up the work
// here whose events are not published to them. One entry of a data centre reports for all.
func (m *Mesh) publishLoadReport() {
	remote := m.remoteDataCentres()
	if len(remote) == 0 || !m.isReporter() {
		return
	}
	here := m.options.Self.DataCentre
	local := make(map[uint64]bool)
	for _, p := range m.directory.Processes() {
		local[p.Incarnation] = p.DataCentre == here
	}
	report := m.scheduler.BuildReport(here, m.directory.KeysIn(here), func(sender uint64) bool { return local[sender] })
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, dataCentre := range remote {
		m.sendToDataCentre(&wire.Relayed{DataCentre: dataCentre, Load: report})
	}
}

// isReporter reports whether this entry sends the load reports of its data centre: no
// entry with a lower address answers there.
func (m *Mesh) isReporter() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, l := range m.links {
		if address < m.options.Self.Address && m.isLocal(l) && l.entry.Load() && l.isUp() {
			return false
		}
	}
	return true
}

// isLocal reports whether a link has the role near and leads to a process of this data
// centre. The caller holds m.mu.
func (m *Mesh) isLocal(l *outLink) bool {
	return l.hasRole(roleNear) && l.dataCentre == m.options.Self.DataCentre
}

// gossip sends one process of this data centre all process records, the records of the
// endpoints that changed lately and a part of the others, in turn. It corrects for updates
// that a relay did not forward. Only one goroutine calls it.
func (m *Mesh) gossip() {
	if l := m.randomLocalLink(); l != nil {
		m.gossipRound++
		l.enqueueUrgent(&wire.MeshFrame{Processes: m.directory.ProcessRecords(), Endpoints: m.directory.GossipRecords(m.gossipRound)})
	}
}

// randomLocalLink returns a random local link that is up, nil when there is none.
func (m *Mesh) randomLocalLink() *outLink {
	m.mu.Lock()
	defer m.mu.Unlock()
	var up []*outLink
	for _, l := range m.links {
		if m.isLocal(l) && l.isUp() {
			up = append(up, l)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[rand.IntN(len(up))]
}
