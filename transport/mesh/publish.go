package mesh

import (
	"math/rand/v2"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// tellProcesses tells every linked process of others.
func (m *Mesh) tellProcesses(news []*wire.ProcessRecord) {
	if len(news) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.enqueue(&wire.MeshFrame{Processes: news})
	}
}

// tellEndpoints tells all processes what this one learnt from endpoints. What is
// no news goes with the next ping.
func (m *Mesh) tellEndpoints(records []*wire.EndpointRecord, news bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		switch {
		case l.hasRole(roleNear):
			l.add(&wire.MeshFrame{Endpoints: records}, news)
		case l.hasRole(roleRelay), l.hasRole(roleSpare) && news:
			// That an endpoint drains may not wait until a lost relay is replaced.
			l.add(&wire.MeshFrame{Relayed: []*wire.Relayed{{DataCentre: l.dataCentre, Endpoints: records}}}, news)
		}
	}
	for _, dataCentre := range m.far {
		if m.relays[dataCentre] == nil {
			m.relay(&wire.Relayed{DataCentre: dataCentre, Endpoints: records})
		}
	}
}

// tellWork tells the entries of this one's work.
func (m *Mesh) tellWork(e *wire.WorkEvent, audience placement.Scope) {
	events := []*wire.WorkEvent{e}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events++
	for _, l := range m.links {
		if l.hasRole(roleNear) && l.entry.Load() {
			l.enqueue(&wire.MeshFrame{Work: events})
		}
	}
	if audience != placement.AllDataCentres {
		return
	}
	for _, dataCentre := range m.far {
		m.relay(&wire.Relayed{DataCentre: dataCentre, Work: m.originWork(events, false)})
	}
}

// originWork numbers news of this entry's work. The caller holds the lock.
func (m *Mesh) originWork(events []*wire.WorkEvent, whole bool) *wire.OriginWork {
	return &wire.OriginWork{Origin: m.self.Incarnation, Number: m.events, Whole: whole, Events: events}
}

// relay sends news for all processes of another data centre to the relay there,
// or by way of a third data centre while none there answers. The caller holds
// the lock.
func (m *Mesh) relay(news *wire.Relayed) {
	if l := m.relays[news.DataCentre]; l != nil {
		l.enqueue(&wire.MeshFrame{Relayed: []*wire.Relayed{news}})
		return
	}
	if news.Detour {
		return // it has come by way of a third one already
	}
	for _, dataCentre := range m.far {
		if l := m.relays[dataCentre]; l != nil {
			news.Detour = true
			l.enqueue(&wire.MeshFrame{Relayed: []*wire.Relayed{news}})
			return
		}
	}
}

// wholeWork is all open work of this entry that other data centres are to know.
func (m *Mesh) wholeWork() *wire.OriginWork {
	m.mu.Lock()
	work := m.originWork(nil, true)
	m.mu.Unlock()
	work.Events = m.book.OwnCrossDataCentreEvents()
	return work
}

// tellRelay tells a relay that was not in use before what the earlier one may
// have kept to itself.
func (m *Mesh) tellRelay(l *outLink) {
	news := []*wire.Relayed{{DataCentre: l.dataCentre, Endpoints: m.directory.EndpointRecords()}}
	if m.options.Self.Entry {
		news = append(news, &wire.Relayed{DataCentre: l.dataCentre, Work: m.wholeWork()})
	}
	l.enqueue(&wire.MeshFrame{Relayed: news})
}

// farAway returns the data centres that are told through relays.
func (m *Mesh) farAway() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.far
}

// tellWhole tells the other data centres all of this entry's open work that they
// are to know, which mends what was lost on the way.
func (m *Mesh) tellWhole() {
	far := m.farAway()
	if len(far) == 0 {
		return
	}
	work := m.wholeWork()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, dataCentre := range far {
		m.relay(&wire.Relayed{DataCentre: dataCentre, Work: work})
	}
}

// tellReports tells the other data centres the sums of the work here that they
// are not told of. One entry of a data centre does so for all.
func (m *Mesh) tellReports() {
	far := m.farAway()
	if len(far) == 0 || !m.reports() {
		return
	}
	here := m.options.Self.DataCentre
	peers := make(map[uint64]bool)
	for _, p := range m.directory.Processes() {
		peers[p.Incarnation] = p.DataCentre == here
	}
	report := m.book.BuildReport(here, m.directory.KeysIn(here), func(sender uint64) bool { return peers[sender] })
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, dataCentre := range far {
		m.relay(&wire.Relayed{DataCentre: dataCentre, Load: report})
	}
}

// reports tells whether this entry is the first of its data centre that answers.
func (m *Mesh) reports() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, l := range m.links {
		if address < m.options.Self.Address && m.isHere(l) && l.entry.Load() && l.isUp() {
			return false
		}
	}
	return true
}

// isHere reports whether a link leads to a process of this data centre. The
// caller holds the lock.
func (m *Mesh) isHere(l *outLink) bool {
	return l.hasRole(roleNear) && l.dataCentre == m.options.Self.DataCentre
}

// gossip tells one process of this data centre what is known of processes and of
// endpoints that have changed lately, and of the others in turn. It mends what a
// relay kept to itself. One goroutine calls it.
func (m *Mesh) gossip() {
	if l := m.someNear(); l != nil {
		m.gossips++
		l.enqueue(&wire.MeshFrame{Processes: m.directory.ProcessRecords(), Endpoints: m.directory.GossipRecords(m.gossips)})
	}
}

// someNear returns one near link that is up, by lot, nil when there is none.
func (m *Mesh) someNear() *outLink {
	m.mu.Lock()
	defer m.mu.Unlock()
	var up []*outLink
	for _, l := range m.links {
		if m.isHere(l) && l.isUp() {
			up = append(up, l)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[rand.IntN(len(up))]
}
