package routing

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// expireAfter is the time without reports after which an endpoint is removed,
// unless attempts of this entry still run there.
const expireAfter = 30 * time.Second

// Snapshot is the state of all endpoints at one moment. It is immutable.
type Snapshot struct {
	Endpoints []*Endpoint // sorted by name
}

// Table holds the latest snapshot. Reports replace it; readers do not block.
type Table struct {
	snapshot atomic.Pointer[Snapshot]
	mu       sync.Mutex
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.snapshot.Store(&Snapshot{})
	return t
}

// Snapshot returns the latest snapshot.
func (t *Table) Snapshot() *Snapshot { return t.snapshot.Load() }

// Observe applies a report. It ignores a report that is older than the stored
// one of the same gate.
func (t *Table) Observe(report *wire.GateReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.snapshot.Load().Endpoints
	at, found := slices.BinarySearchFunc(old, report.Endpoint, func(e *Endpoint, name string) int {
		return strings.Compare(e.Name(), name)
	})
	next := &Endpoint{Report: report, ReceivedAt: now}
	if !found {
		next.Cache, next.InFlight = NewCacheView(), NewInFlight()
		next.Cache.Observe(report)
		t.publish(slices.Insert(slices.Clone(old), at, next), now)
		return
	}
	before := old[at]
	if supersedes(before, report, now) {
		next.Cache, next.InFlight = before.Cache, before.InFlight
		next.Cache.Observe(report)
		next.InFlight.MarkReported(report.GetLoad().GetAttemptsSeen())
		endpoints := slices.Clone(old)
		endpoints[at] = next
		t.publish(endpoints, now)
	}
}

// supersedes reports whether a report replaces the stored one. A second gate
// that does not hold the endpoint's lease must not hide the gate that does.
func supersedes(before *Endpoint, report *wire.GateReport, now time.Time) bool {
	if before.Report.GateInstance == report.GateInstance {
		return report.Sequence > before.Report.Sequence
	}
	return report.Ready || !before.Report.Ready || now.Sub(before.ReceivedAt) > staleAfter
}

func (t *Table) publish(endpoints []*Endpoint, now time.Time) {
	endpoints = slices.DeleteFunc(endpoints, func(e *Endpoint) bool {
		return now.Sub(e.ReceivedAt) > expireAfter && e.InFlight.Running() == 0
	})
	t.snapshot.Store(&Snapshot{Endpoints: endpoints})
}
