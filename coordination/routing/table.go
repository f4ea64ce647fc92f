package routing

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// forgetAfter is how long an endpoint without reports stays in the snapshot.
const forgetAfter = 30 * time.Second

// Snapshot is the state of all endpoints at one moment. It never changes.
type Snapshot struct {
	Endpoints []*Endpoint // in order of name
}

// Table holds the latest snapshot. Reports change it; readers never block.
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

// Observe takes a report. Reports of a gate older than the one held are passed over.
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

// supersedes tells whether a report replaces the one held. A second gate that
// does not hold the endpoint's lease must not hide the one that does.
func supersedes(before *Endpoint, report *wire.GateReport, now time.Time) bool {
	if before.Report.GateInstance == report.GateInstance {
		return report.Sequence > before.Report.Sequence
	}
	return report.Ready || !before.Report.Ready || now.Sub(before.ReceivedAt) > staleAfter
}

func (t *Table) publish(endpoints []*Endpoint, now time.Time) {
	endpoints = slices.DeleteFunc(endpoints, func(e *Endpoint) bool {
		return now.Sub(e.ReceivedAt) > forgetAfter && e.InFlight.Running() == 0
	})
	t.snapshot.Store(&Snapshot{Endpoints: endpoints})
}
