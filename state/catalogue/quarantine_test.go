package catalogue

import (
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

func quarantine(lift bool, keys ...uint64) *wire.Command {
	return &wire.Command{Of: &wire.Command_Quarantine{Quarantine: &wire.QuarantineChange{Keys: keys, Service: "s", Lift: lift}}}
}

// A quarantine must outlive a restart and a new catalogue, end when it is lifted, and not
// be made twice.
func TestQuarantineStaysUntilItIsLifted(t *testing.T) {
	decode := func([]byte) (*Catalogue, error) { return sample(), nil }
	m := NewMachine(decode, func(*State) {})
	m.Apply(1, quarantine(false, 1, 2))
	m.Apply(2, quarantine(false, 1, 2))
	change, err := Pack(3, []byte("text"))
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(3, &wire.Command{Of: &wire.Command_Catalogue{Catalogue: change}})
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine(decode, func(*State) {})
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if got := restored.State().Quarantined; len(got) != 1 || got[0].Service != "s" || len(got[0].Keys) != 2 {
		t.Fatalf("quarantines after a restart: %v", got)
	}
	restored.Apply(4, quarantine(true, 7))
	if got := restored.State(); len(got.Quarantined) != 1 || got.Index != 3 {
		t.Errorf("after another part was lifted: index %d, %v", got.Index, got.Quarantined)
	}
	restored.Apply(5, quarantine(true, 2))
	if got := restored.State().Quarantined; len(got) != 0 {
		t.Errorf("after the quarantine was lifted: %v", got)
	}
}

// Callers name the parts, so the state must not grow without bounds.
func TestQuarantinesAreBounded(t *testing.T) {
	m := NewMachine(nil, func(*State) {})
	for i := range uint64(maxQuarantined) {
		m.Apply(i+1, quarantine(false, i))
	}
	for name, command := range map[string]*wire.Command{
		"one too many": quarantine(false, maxQuarantined),
		"no part":      quarantine(false),
		"a long set":   quarantine(false, make([]uint64, maxQuarantinedParts+1)...),
	} {
		if err, refused := m.Apply(maxQuarantined+1, command).(*fault.Error); !refused {
			t.Errorf("%s: %v", name, err)
		}
	}
	if got := len(m.State().Quarantined); got != maxQuarantined {
		t.Errorf("%d quarantines, want %d", got, maxQuarantined)
	}
}
