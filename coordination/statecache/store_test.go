package statecache

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

func TestAnOlderStateIsNotTaken(t *testing.T) {
	s := NewStore()
	var seen []uint64
	s.OnChange(func(c *catalogue.State) { seen = append(seen, c.Index) })
	for _, index := range []uint64{3, 2, 3, 7, 5} {
		s.Update(&catalogue.State{Index: index}, "test")
	}
	if s.State().Index != 7 || len(seen) != 2 {
		t.Errorf("index %d after changes %v", s.State().Index, seen)
	}
}

func TestAStateThatIsConfirmedAgainIsTold(t *testing.T) {
	s := NewStore()
	told := 0
	s.OnFresh(func() { told++ })
	now := steady.Now()
	s.Confirm(0, now.Add(-time.Minute))
	if told != 0 {
		t.Error("a confirmation from long ago was told")
	}
	s.Confirm(0, now.Add(-freshFor/2))
	s.Confirm(0, now)
	if told != 1 {
		t.Errorf("told %d times, want once", told)
	}
}

func TestConfirmationOfAStateNotHeldExtendsNothing(t *testing.T) {
	s := NewStore()
	s.Update(&catalogue.State{Index: 3}, "test")
	if s.ConfirmedWithin(time.Hour) {
		t.Error("a state is current before any confirmation")
	}
	now := steady.Now()
	if s.Confirm(3, now.Add(-time.Second)) {
		t.Error("the state is held")
	}
	if !s.Confirm(4, now) {
		t.Error("the store lacks state 4 and must say so")
	}
	if s.ConfirmedWithin(500 * time.Millisecond) {
		t.Error("the confirmation of state 4 made state 3 current")
	}
	if !s.ConfirmedWithin(time.Minute) {
		t.Error("the confirmation of state 3 is forgotten")
	}
	s.Confirm(2, now.Add(-time.Hour))
	if !s.ConfirmedWithin(time.Minute) {
		t.Error("an older confirmation took the newer one's place")
	}
}
