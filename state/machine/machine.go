// Package machine is the deterministic state machine of the control replicas, the
// members of the replicated control group. It holds the fleet configuration, the
// claims of idempotency keys, and the leases of the gates, each of which admits the
// requests to one endpoint. The same commands at the same log indexes give the same
// state and results on every replica, so it reads no clock and uses no random numbers.
package machine

import (
	"sync"
	"sync/atomic"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/fleet"
)

// maxHistoryChanges is the number of configuration changes that are kept for the
// operators' history and for processes that catch up from an older revision.
const maxHistoryChanges = 1024

// PublishedState is an immutable view of the configuration and the gate leases.
type PublishedState struct {
	View *fleet.View
	// History holds the latest changes in ascending order of revision.
	History []*wire.ConfigDelta
	// Leases holds the gate lease of each endpoint.
	Leases map[string]*wire.GateLeaseRecord
}

// Machine applies committed commands. A replica calls Apply, ApplyMembers, Snapshot
// and Restore from one goroutine; any goroutine may call the other methods.
type Machine struct {
	mu         sync.Mutex // serializes Apply, ApplyMembers, Snapshot and Restore for callers with several goroutines
	applied    uint64     // index of the last applied log entry
	timeMs     atomic.Uint64
	published  atomic.Pointer[PublishedState]
	operations operations
	claims     claims
	changed    chan struct{}
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{
		operations: newOperations(),
		claims:     newClaims(),
		changed:    make(chan struct{}, 1),
	}
	m.published.Store(&PublishedState{
		View:   fleet.NewView(&wire.FleetConfig{}),
		Leases: make(map[string]*wire.GateLeaseRecord),
	})
	return m
}

// Published returns the latest state. The caller must not modify it.
func (m *Machine) Published() *PublishedState { return m.published.Load() }

// TimeMs returns the log time in Unix ms: the highest time of any applied command.
func (m *Machine) TimeMs() uint64 { return m.timeMs.Load() }

// Changed returns a channel that receives a value after the configuration has
// changed. Several changes may share one value.
func (m *Machine) Changed() <-chan struct{} { return m.changed }

// Apply applies a committed command and returns its response message
// (ApplyResponse, ClaimResponse, SettleResponse, GateLeaseResponse or
// OrderDoneResponse), or an error for a command of unknown kind.
func (m *Machine) Apply(index uint64, command *wire.Command) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	m.advance(command.TimeMs)
	switch of := command.Of.(type) {
	case *wire.Command_Apply:
		return m.applyOperation(index, of.Apply)
	case *wire.Command_Claim:
		return m.claims.claim(m.TimeMs(), of.Claim)
	case *wire.Command_Settle:
		return m.claims.settle(of.Settle)
	case *wire.Command_GateLease:
		return m.acquireLease(index, of.GateLease)
	case *wire.Command_OrderDone:
		return m.reportOrder(index, of.OrderDone)
	default:
		return fault.New(fault.Internal, "command at index %d has no known kind", index)
	}
}

// ApplyMembers records the members of the control group.
func (m *Machine) ApplyMembers(index uint64, members []*wire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	delta := &wire.ConfigDelta{Members: memberChanges(m.Published().View.Members(), members)}
	if len(delta.Members) > 0 {
		m.commit(index, delta)
	}
}

// advance moves the log time forward, never back, and drops the operations and
// claims that have expired.
func (m *Machine) advance(timeMs uint64) {
	if timeMs <= m.TimeMs() {
		return
	}
	m.timeMs.Store(timeMs)
	m.operations.expire(timeMs)
	m.claims.expire(timeMs)
}

// commit applies a delta to the configuration, with the log index as its revision.
func (m *Machine) commit(index uint64, delta *wire.ConfigDelta) {
	delta.Revision = index
	old := m.Published()
	m.published.Store(&PublishedState{
		View:    old.View.Apply([]*wire.ConfigDelta{delta}),
		History: appendBounded(old.History, delta),
		Leases:  old.Leases,
	})
	m.notify()
}

func (m *Machine) notify() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// appendBounded returns the history with the delta appended and without the oldest
// changes beyond the limit. It copies, since readers hold the old slice.
func appendBounded(history []*wire.ConfigDelta, delta *wire.ConfigDelta) []*wire.ConfigDelta {
	if extra := len(history) + 1 - maxHistoryChanges; extra > 0 {
		history = history[extra:]
	}
	next := make([]*wire.ConfigDelta, 0, len(history)+1)
	next = append(next, history...)
	return append(next, delta)
}
