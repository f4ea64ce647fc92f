package catalogue

import (
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

func quarantine(q *wire.QuarantineChange) *wire.Command {
	return &wire.Command{Of: &wire.Command_Quarantine{Quarantine: q}}
}

// A quarantine must outlive a restart and a new catalogue and not be made twice; a final
// one must end by an operator's hand only.
func TestQuarantineStaysUntilItIsLifted(t *testing.T) {
	decode := func([]byte) (*Catalogue, error) { return sample(), nil }
	m := NewMachine(decode, func(*State) {})
	m.Apply(1, quarantine(&wire.QuarantineChange{Key: 1, Service: "s"}))
	m.Apply(2, quarantine(&wire.QuarantineChange{Key: 1, Service: "s", Final: true}))
	m.Apply(3, quarantine(&wire.QuarantineChange{Key: 1, Service: "s"}))
	change, err := Pack(3, []byte("text"))
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(4, &wire.Command{Of: &wire.Command_Catalogue{Catalogue: change}})
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine(decode, func(*State) {})
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	restored.Apply(5, quarantine(&wire.QuarantineChange{Key: 1, Lift: true}))
	restored.Apply(6, quarantine(&wire.QuarantineChange{Key: 2, Lift: true, ByOperator: true}))
	if got := restored.State().Quarantined; len(got) != 1 || got[0].Service != "s" || !got[0].Final {
		t.Fatalf("quarantines after a restart: %v", got)
	}
	restored.Apply(7, quarantine(&wire.QuarantineChange{Key: 1, Lift: true, ByOperator: true}))
	if got := restored.State().Quarantined; len(got) != 0 {
		t.Errorf("after the quarantine was lifted: %v", got)
	}
}

// Callers name the parts, so the state must not grow without bounds.
func TestQuarantinesAreBounded(t *testing.T) {
	m := NewMachine(nil, func(*State) {})
	for i := range uint64(maxQuarantined) {
		m.Apply(i+1, quarantine(&wire.QuarantineChange{Key: i}))
	}
	if err, refused := m.Apply(maxQuarantined+1, quarantine(&wire.QuarantineChange{Key: maxQuarantined})).(*fault.Error); !refused {
		t.Errorf("one quarantine too many: %v", err)
	}
	if got := len(m.State().Quarantined); got != maxQuarantined {
		t.Errorf("%d quarantines, want %d", got, maxQuarantined)
	}
}

// Guards against a lift that was decided before a part was quarantined anew, and is read
// late, lifting the new quarantine.
func TestLateLiftDoesNotEndALaterQuarantine(t *testing.T) {
	m := NewMachine(nil, func(*State) {})
	givenAt := uint64(1)
	lift := quarantine(&wire.QuarantineChange{Key: 1, Lift: true, ByOperator: true, GivenAt: &givenAt})
	m.Apply(1, quarantine(&wire.QuarantineChange{Key: 1}))
	m.Apply(2, lift)
	if len(m.State().Quarantined) != 0 {
		t.Fatal("the quarantine was not lifted")
	}
	m.Apply(3, quarantine(&wire.QuarantineChange{Key: 1, Final: true}))
	restart(t, m)
	if o := m.Apply(4, lift).(*wire.ChangeOutcome); !o.Overtaken || len(m.State().Quarantined) != 1 {
		t.Errorf("a late lift has ended a later quarantine: %v", o)
	}
}
