package controlplane

import (
	"testing"

	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// Guards against an order that is refused as overtaken by an earlier one, as the state with
// the earlier one waits until a catalogue is decoded.
func TestOrderNamesAStateThatIsNotDecodedYet(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	store := statecache.NewStore()
	m := catalogue.NewMachine(func([]byte) (*catalogue.Catalogue, error) { <-release; return &catalogue.Catalogue{}, nil },
		func(s *catalogue.State) { store.Update(s, "log") })
	s := New(Options{Store: store, StateMachine: m})
	change, err := catalogue.Pack(1, []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(1, &wire.Command{Of: &wire.Command_Catalogue{Catalogue: change}})
	order := func(index, operation, givenAt uint64) *wire.ChangeOutcome {
		return m.Apply(index, &wire.Command{Of: &wire.Command_DataCentre{
			DataCentre: &wire.DataCentreChange{DataCentre: "dc1", Out: index == 2, Operation: operation, GivenAt: &givenAt},
		}}).(*wire.ChangeOutcome)
	}
	order(2, 1, s.StateIndex())
	if o := order(3, 2, s.StateIndex()); o.Overtaken || !m.State().InService("dc1") {
		t.Errorf("the second order came to nothing: %v", o)
	}
}
