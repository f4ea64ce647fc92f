package machine

import (
	"maps"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/fleet"
	"google.golang.org/protobuf/proto"
)

// Snapshot returns the encoded state; equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	published := m.Published()
	state := &wire.ControlState{
		Config:     published.View.Config(),
		Operations: m.operations.order,
		Claims:     m.claims.list(),
		History:    published.History,
		TimeMs:     m.TimeMs(),
		Applied:    m.applied,
	}
	for _, endpoint := range slices.Sorted(maps.Keys(published.Leases)) {
		state.GateLeases = append(state.GateLeases, published.Leases[endpoint])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}

// Restore replaces the state with that of a snapshot. A snapshot that can't be
// decoded changes nothing and gives a Corrupt error.
func (m *Machine) Restore(snapshot []byte) error {
	state := &wire.ControlState{}
	if err := proto.Unmarshal(snapshot, state); err != nil {
		return fault.Wrap(err, fault.Corrupt, "the snapshot of the control state is unreadable")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = state.Applied
	m.timeMs.Store(state.TimeMs)
	m.operations = newOperations()
	for _, record := range state.Operations {
		m.operations.add(record)
	}
	m.restoreClaims(state)
	leases := make(map[string]*wire.GateLeaseRecord, len(state.GateLeases))
	for _, lease := range state.GateLeases {
		leases[lease.Endpoint] = lease
	}
	m.published.Store(&PublishedState{View: fleet.NewView(state.Config), History: state.History, Leases: leases})
	m.notify()
	return nil
}

func (m *Machine) restoreClaims(state *wire.ControlState) {
	m.claims = newClaims()
	for _, record := range state.Claims {
		m.claims.put(record)
	}
	// A claim past its ordinary expiry is in the snapshot only because it was open at
	// that time.
	for len(m.claims.queue) > 0 && m.claims.queue[0].atMs <= state.TimeMs {
		due := m.claims.queue[0]
		m.claims.queue = m.claims.queue[1:]
		due.atMs += openClaimLifetimeMs - claimLifetimeMs
		m.claims.openQueue = append(m.claims.openQueue, due)
	}
}
