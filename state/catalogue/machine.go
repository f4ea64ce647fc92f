package catalogue

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"google.golang.org/protobuf/proto"
)

// Machine is the replicated state machine of the catalogue. A replica calls Apply,
// ApplyMembers, Snapshot and Restore from one goroutine; any goroutine may call the other
// methods. None of the four decodes a catalogue, so the replicated state depends on no
// decoder, and what they cost doesn't depend on the number of versions. Catalogues are
// checked before they are proposed; a publisher decodes the newest one.
type Machine struct {
	mu        sync.Mutex // serializes Apply, ApplyMembers, Snapshot and Restore for callers with several goroutines
	applied   uint64
	state     atomic.Pointer[State]
	publisher publisher
}

// NewMachine returns an empty machine. It calls onChange with decoded states, on another
// goroutine unless the catalogue is known already. A state is left out if there is a newer
// one before it is decoded.
func NewMachine(decode Decode, onChange func(*State)) *Machine {
	m := &Machine{publisher: publisher{decode: decode, onChange: onChange, logger: logs.For("catalogue")}}
	m.state.Store(&State{})
	return m
}

// State returns the latest state, in which Text and Catalogue are nil. The caller must not
// modify it.
func (m *Machine) State() *State { return m.state.Load() }

// Offer passes on what the content of a change decodes to, so that it isn't decoded again
// if the change is applied. Of several only the one with the highest version is kept.
func (m *Machine) Offer(change *wire.CatalogueChange, text []byte, c *Catalogue) {
	m.publisher.offer(&State{Text: text, Catalogue: c, digest: change.Digest})
}

// Apply applies a committed command and returns a *wire.ChangeOutcome or an error.
func (m *Machine) Apply(index uint64, command *wire.Command) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = index
	switch of := command.Of.(type) {
	case *wire.Command_Catalogue:
		return m.install(index, of.Catalogue)
	case *wire.Command_DataCentre:
		return m.setDataCentre(index, of.DataCentre)
	case *wire.Command_Quarantine:
		return m.setQuarantine(index, of.Quarantine)
	default:
		return fault.New(fault.Internal, "command at index %d has no known kind", index)
	}
}

// install puts a catalogue into force if its version is higher than the current
// one. The same version with other content is a conflict; a lower version changes
// nothing.
func (m *Machine) install(index uint64, change *wire.CatalogueChange) any {
	now := m.State()
	switch {
	case change.Version == now.Version() && !bytes.Equal(change.Digest, now.digest):
		return m.outcome(true)
	case change.Version <= now.Version():
		return m.outcome(false)
	}
	next := *now
	next.Index, next.version, next.digest, next.compressed = index, change.Version, change.Digest, change.Content
	m.publish(&next)
	return m.outcome(false)
}

func (m *Machine) outcome(conflict bool) *wire.ChangeOutcome {
	s := m.State()
	return &wire.ChangeOutcome{Conflict: conflict, Version: s.Version(), Index: s.Index}
}

// overtaken is the outcome of a change that is not made, as it was given on a state before
// a later change of the same matter.
func (m *Machine) overtaken() *wire.ChangeOutcome {
	outcome := m.outcome(false)
	outcome.Overtaken = true
	return outcome
}

func (m *Machine) publish(s *State) {
	m.state.Store(s)
	m.publisher.publish(s)
}

// ApplyMembers records the log index; members are not part of the catalogue.
func (m *Machine) ApplyMembers(index uint64, _ []*wire.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = max(m.applied, index)
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return proto.Marshal(m.State().ToWire())
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	message := &wire.CatalogueState{}
	if err := proto.Unmarshal(snapshot, message); err != nil {
		return fault.Wrap(err, fault.Corrupt, "the snapshot of the catalogue can't be decoded")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish(undecoded(message))
	return nil
}
