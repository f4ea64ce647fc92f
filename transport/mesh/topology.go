package mesh

import (
	"maps"
	"slices"

	"github.com/apricotspoke/apricotspoke/coordination/fanout"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// linkRole is the purpose of a link. A later role takes precedence over an earlier one if a
// link has several purposes, except that the relay in use is not also a spare.
type linkRole int32

const (
	roleKnown linkRole = iota // to a seed or a voter that gets updates from other processes
	roleNear                  // to a process that gets all updates directly, of this data centre or, in a small fleet, of any
	roleRelay                 // to the relay in use, which forwards updates in its data centre
	roleSpare                 // to a process that can replace the relay
)

// String returns the name of the role in metrics and logs.
func (r linkRole) String() string { return [...]string{"known", "near", "relay", "spare"}[r] }

// reconcile opens and closes links as the known processes require. It sends all endpoint
// records and work on links that begin to carry updates.
func (m *Mesh) reconcile() {
	topology := fanout.Plan(m.options.Self, m.directory.Processes())
	m.scheduler.SetReportingDataCentres(slices.Collect(maps.Keys(topology.Relays)))
	near, relays := m.reconcileLinks(topology)
	for _, l := range near {
		l.enqueueUrgent(l.fullState())
	}
	for _, l := range relays {
		m.syncRelay(l)
	}
}

// reportHeardEntries tells the scheduler how many entries publish all their work to this
// process, and how many of them answer its pings.
func (m *Mesh) reportHeardEntries() {
	known, heard := 0, 0
	m.mu.Lock()
	for _, l := range m.links {
		if !l.hasRole(roleNear) || !l.entry.Load() {
			continue
		}
		known++
		if monotonic.Since(l.lastHeardAt()) <= maxMissedPings*pingInterval {
			heard++
		}
	}
	m.mu.Unlock()
	m.scheduler.SetHeardEntries(known, heard)
}

// neededLinks collects the links that the topology needs, with their roles.
type neededLinks struct {
	mesh  *Mesh
	roles map[*outLink]linkRole
}

// linkTo opens the link to a process, if there is none yet, and returns it. It returns nil
// for this process. If a link is needed in several roles, it gets the last of them in the
// order of the constants.
func (w *neededLinks) linkTo(address string, role linkRole) *outLink {
	l := w.mesh.openLink(address)
	if l != nil {
		w.roles[l] = max(role, w.roles[l])
	}
	return l
}

// linkToProcess is linkTo for a process whose record is known.
func (w *neededLinks) linkToProcess(p *wire.ProcessRecord, role linkRole) *outLink {
	l := w.linkTo(p.Address, role)
	if l != nil {
		l.dataCentre = p.DataCentre
		l.setIncarnation(p.Incarnation)
	}
	return l
}

// reconcileLinks opens and closes links and assigns their roles. It returns the links that
// become near or turn out to lead to an entry, and the relays that come into use.
func (m *Mesh) reconcileLinks(t *fanout.Topology) (near, relays []*outLink) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil || m.ctx.Err() != nil {
		return nil, nil
	}
	w := &neededLinks{mesh: m, roles: make(map[*outLink]linkRole)}
	for _, address := range m.seeds {
		w.linkTo(address, roleKnown)
	}
	for _, p := range m.voters() {
		w.linkToProcess(p, roleKnown)
	}
	for _, p := range t.Direct {
		l := w.linkToProcess(p, roleNear)
		if becameEntry := p.Entry && !l.entry.Swap(true); becameEntry || !l.hasRole(roleNear) {
			near = append(near, l)
		}
	}
	relays = m.selectRelays(t.Relays, w)
	m.assignRoles(w.roles)
	return near, relays
}

// voters returns the voters of the control group for a control process, nil for an entry. A
// control process keeps links to all voters to know which of them are reachable.
func (m *Mesh) voters() []*wire.ProcessRecord {
	if m.self.Entry {
		return nil
	}
	return slices.DeleteFunc(m.directory.Processes(), func(p *wire.ProcessRecord) bool { return !p.Votes })
}

// selectRelays selects a relay for each remote data centre. It returns those that were not
// in use before.
func (m *Mesh) selectRelays(candidates map[string][]*wire.ProcessRecord, w *neededLinks) []*outLink {
	var started []*outLink
	m.remote = slices.Sorted(maps.Keys(candidates))
	for _, dataCentre := range m.remote {
		if l := m.selectRelay(dataCentre, candidates[dataCentre], w); l != nil {
			started = append(started, l)
		}
		if l := m.relays[dataCentre]; l != nil {
			w.roles[l] = roleRelay
		}
	}
	for dataCentre := range m.relays {
		if candidates[dataCentre] == nil {
			delete(m.relays, dataCentre)
		}
	}
	return started
}

// selectRelay opens links to the candidates of a data centre in order of preference and
// selects the first one that is up. It stops after RelaysPerDataCentre links that are not
// lost; a link that went down only a short time ago is not lost yet. It returns the
// selected link if it was not in use before.
func (m *Mesh) selectRelay(dataCentre string, candidates []*wire.ProcessRecord, w *neededLinks) *outLink {
	var best *outLink
	linked := 0
	for _, p := range candidates {
		l := w.linkToProcess(p, roleSpare)
		l.entry.Store(true)
		if best == nil && l.isUp() {
			best = l
		}
		if !l.isLost() {
			linked++
		}
		if linked == fanout.RelaysPerDataCentre {
			break
		}
	}
	previous := m.relays[dataCentre]
	if best == previous {
		return nil
	}
	if best == nil {
		delete(m.relays, dataCentre)
		m.logger.Warn().Str("data_centre", dataCentre).Int("candidates", len(candidates)).Msg("No relay in the data centre answers.")
		return nil
	}
	m.relays[dataCentre] = best
	m.logger.Info().Str("data_centre", dataCentre).Str("relay", best.address).Msg("A different relay in the data centre is in use.")
	return best
}

// assignRoles sets the roles of the links. Links that have not been needed for
// unusedLinkTimeout are closed.
func (m *Mesh) assignRoles(roles map[*outLink]linkRole) {
	now := monotonic.Now()
	for address, l := range m.links {
		role, needed := roles[l]
		if needed {
			l.setRole(role)
			l.neededAt = now
			continue
		}
		l.setRole(roleKnown)
		if now.Sub(l.neededAt) > unusedLinkTimeout {
			l.close()
			delete(m.links, address)
		}
	}
}

// openLink returns the link to a process, and opens it if there is none. It returns nil for
// this process.
func (m *Mesh) openLink(address string) *outLink {
	if address == m.options.Self.Address {
		return nil
	}
	if l := m.links[address]; l != nil {
		return l
	}
	l := newOutLink(m, address)
	m.links[address] = l
	go l.run()
	return l
}

// removeLink removes the link to a process that was silent for goneTimeout, and publishes
// that the process is gone.
func (m *Mesh) removeLink(l *outLink) {
	m.mu.Lock()
	if m.links[l.address] == l {
		delete(m.links, l.address)
	}
	m.mu.Unlock()
	var updates []*wire.ProcessRecord
	for _, p := range m.directory.Processes() {
		if p.Address != l.address {
			continue
		}
		if gone := m.directory.MarkGone(p.Address, p.Incarnation); gone != nil {
			updates = append(updates, gone)
		}
	}
	m.publishProcesses(updates)
}
