package mesh

import (
	"maps"
	"slices"

	"github.com/apricotspoke/apricotspoke/coordination/fanout"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// linkRole is what a link is for.
type linkRole int32

const (
	roleKnown linkRole = iota // a seed or a voter that gets its news from others
	roleNear                  // the process is told all news directly
	roleRelay                 // the process passes news on in its data centre
	roleSpare                 // the process may take the place of a relay
)

func (r linkRole) String() string { return [...]string{"known", "near", "relay", "spare"}[r] }

// connect brings the links in line with the known processes, and tells those
// that get news over them from now on what they have missed.
func (m *Mesh) connect() {
	topology := fanout.Plan(m.options.Self, m.directory.Processes())
	m.book.SetReportingDataCentres(slices.Collect(maps.Keys(topology.Relays)))
	near, relays := m.arrange(topology)
	for _, l := range near {
		l.enqueue(l.whole())
	}
	for _, l := range relays {
		m.tellRelay(l)
	}
}

// wanted are the links that the topology has a use for, with their roles.
type wanted struct {
	mesh  *Mesh
	roles map[*outLink]linkRole
}

// link returns the link to a process, opened if need be, nil for this process.
// Of several roles the highest counts.
func (w *wanted) link(address string, role linkRole) *outLink {
	l := w.mesh.open(address)
	if l != nil {
		w.roles[l] = max(role, w.roles[l])
	}
	return l
}

// to is link to a process whose record is known.
func (w *wanted) to(p *wire.ProcessRecord, role linkRole) *outLink {
	l := w.link(p.Address, role)
	if l != nil {
		l.dataCentre = p.DataCentre
		l.known(p.Incarnation)
	}
	return l
}

// arrange opens, closes and assigns links. It returns those that are near or
// known to lead to an entry from now on, and the relays that are in use from now on.
func (m *Mesh) arrange(t *fanout.Topology) (near, relays []*outLink) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil || m.ctx.Err() != nil {
		return nil, nil
	}
	w := &wanted{mesh: m, roles: make(map[*outLink]linkRole)}
	for _, address := range m.seeds {
		w.link(address, roleKnown)
	}
	for _, p := range m.voters() {
		w.to(p, roleKnown)
	}
	for _, p := range t.Direct {
		l := w.to(p, roleNear)
		if becameEntry := p.Entry && !l.entry.Swap(true); becameEntry || !l.hasRole(roleNear) {
			near = append(near, l)
		}
	}
	relays = m.pickRelays(t.Relays, w)
	m.assign(w.roles)
	return near, relays
}

// voters lists the processes whose reach a control process has to know.
func (m *Mesh) voters() []*wire.ProcessRecord {
	if m.self.Entry {
		return nil
	}
	return slices.DeleteFunc(m.directory.Processes(), func(p *wire.ProcessRecord) bool { return !p.Votes })
}

// pickRelays uses one relay for each data centre that is told through one. It
// returns those that were not in use before.
func (m *Mesh) pickRelays(far map[string][]*wire.ProcessRecord, w *wanted) []*outLink {
	var anew []*outLink
	m.far = slices.Sorted(maps.Keys(far))
	for _, dataCentre := range m.far {
		if l := m.pickRelay(dataCentre, far[dataCentre], w); l != nil {
			anew = append(anew, l)
		}
		if l := m.relays[dataCentre]; l != nil {
			w.roles[l] = roleRelay
		}
	}
	for dataCentre := range m.relays {
		if far[dataCentre] == nil {
			delete(m.relays, dataCentre)
		}
	}
	return anew
}

// pickRelay links to the preferred processes of a data centre that are not lost,
// and uses the first one that answers. It returns that one when it was not in
// use before.
func (m *Mesh) pickRelay(dataCentre string, candidates []*wire.ProcessRecord, w *wanted) *outLink {
	var best *outLink
	linked := 0
	for _, p := range candidates {
		l := w.to(p, roleSpare)
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
	before := m.relays[dataCentre]
	if best == before {
		return nil
	}
	if best == nil {
		delete(m.relays, dataCentre)
		m.logger.Warn().Str("data_centre", dataCentre).Int("candidates", len(candidates)).Msg("No relay of a data centre answers.")
		return nil
	}
	m.relays[dataCentre] = best
	m.logger.Info().Str("data_centre", dataCentre).Str("relay", best.address).Msg("Another relay of a data centre is in use.")
	return best
}

// assign gives the links their roles, and closes those without one after a while.
func (m *Mesh) assign(roles map[*outLink]linkRole) {
	now := monotonic.Now()
	for address, l := range m.links {
		role, wanted := roles[l]
		if wanted {
			l.setRole(role)
			l.wantedAt = now
			continue
		}
		l.setRole(roleKnown)
		if now.Sub(l.wantedAt) > unwantedKept {
			l.close()
			delete(m.links, address)
		}
	}
}

// open returns the link to a process, nil for this one.
func (m *Mesh) open(address string) *outLink {
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

// abandoned removes a link to a process that was silent for long.
func (m *Mesh) abandoned(l *outLink) {
	m.mu.Lock()
	if m.links[l.address] == l {
		delete(m.links, l.address)
	}
	m.mu.Unlock()
	var news []*wire.ProcessRecord
	for _, p := range m.directory.Processes() {
		if p.Address != l.address {
			continue
		}
		if gone := m.directory.MarkGone(p.Address, p.Incarnation); gone != nil {
			news = append(news, gone)
		}
	}
	m.tellProcesses(news)
}
