package mesh

import (
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// origin is an entry whose work is told by relays.
type origin struct {
	number uint64 // of its latest event that was told
	whole  uint64 // of the latest event that a whole account took into account
	toldAt monotonic.Time
}

// takeRelayed takes news that came by a relay, and passes it on where it is for
// others too.
func (m *Mesh) takeRelayed(news *wire.Relayed) {
	here := m.options.Self.DataCentre
	if news.DataCentre != "" && news.DataCentre != here {
		m.mu.Lock()
		m.relay(news)
		m.mu.Unlock()
		return
	}
	newer, changed := m.directory.MergeEndpoints(news.Endpoints)
	if news.DataCentre == here && here != "" {
		m.passOn(&wire.Relayed{Endpoints: newer, Work: news.Work, Load: news.Load}, changed)
	}
	if news.Work != nil {
		m.takeWork(news.Work)
	}
	if news.Load != nil {
		m.book.ApplyReport(news.Load)
	}
}

// passOn tells the processes of this data centre; work and loads concern entries
// only. Records without a change go with the next ping.
func (m *Mesh) passOn(news *wire.Relayed, changed bool) {
	records := &wire.Relayed{Endpoints: news.Endpoints}
	forEntries := news.Work != nil || news.Load != nil
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if !m.isHere(l) {
			continue
		}
		switch {
		case forEntries && l.entry.Load():
			l.add(&wire.MeshFrame{Relayed: []*wire.Relayed{news}}, true)
		case len(records.Endpoints) > 0:
			l.add(&wire.MeshFrame{Relayed: []*wire.Relayed{records}}, changed)
		}
	}
}

// takeWork takes news of an entry's work unless a later whole account is known.
func (m *Mesh) takeWork(work *wire.OriginWork) {
	if work.Origin == m.options.Self.Incarnation || !m.isNews(work) {
		return
	}
	if work.Whole {
		m.book.ReplaceRemote(work.Origin, work.Events)
	} else {
		m.book.ApplyRemote(work.Origin, work.Events)
	}
}

func (m *Mesh) isNews(work *wire.OriginWork) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.origins[work.Origin]
	if o == nil {
		o = &origin{}
		m.origins[work.Origin] = o
	}
	o.toldAt = monotonic.Now()
	if work.Whole && work.Number < o.number || !work.Whole && work.Number <= o.whole {
		return false
	}
	o.number = max(o.number, work.Number)
	if work.Whole {
		o.whole = work.Number
	}
	return true
}

// expireOrigins forgets the work of entries that have ended, and of those of
// which no relay has told lately.
func (m *Mesh) expireOrigins() {
	var silent []uint64
	running := make(map[uint64]bool)
	for _, p := range m.directory.Processes() {
		running[p.Incarnation] = true
	}
	now := monotonic.Now()
	m.mu.Lock()
	for incarnation, o := range m.origins {
		if quiet := now.Sub(o.toldAt); quiet <= workKept || running[incarnation] && quiet <= originKept {
			continue
		}
		delete(m.origins, incarnation)
		if s := m.incoming[incarnation]; s == nil || !s.direct {
			silent = append(silent, incarnation)
		}
	}
	m.mu.Unlock()
	for _, incarnation := range silent {
		m.book.RemoveRemote(incarnation)
	}
}

// isTold reports whether relays tell of an entry's work.
func (m *Mesh) isTold(incarnation uint64) bool {
	o := m.origins[incarnation]
	return o != nil && monotonic.Since(o.toldAt) <= originKept
}
