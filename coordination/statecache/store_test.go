package statecache

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

func TestOlderStateIsIgnored(t *testing.T) {
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

func TestOnFreshIsCalledWhenTheStateBecomesFresh(t *testing.T) {
	s := NewStore()
	calls := 0
	s.OnFresh(func() { calls++ })
	now := monotonic.Now()
	s.Confirm(0, now.Add(-time.Minute))
	if calls != 0 {
		t.Error("a confirmation from a minute ago made the state fresh")
	}
	s.Confirm(0, now.Add(-maxFreshAge/2))
	s.Confirm(0, now)
	if calls != 1 {
		t.Errorf("OnFresh was called %d times, want once", calls)
	}
}

func TestConfirmationOfAMissingStateIsIgnored(t *testing.T) {
	s := NewStore()
	s.Update(&catalogue.State{Index: 3}, "test")
	if s.ConfirmedWithin(time.Hour) {
		t.Error("a state counts as confirmed before any confirmation")
	}
	now := monotonic.Now()
	if s.Confirm(3, now.Add(-time.Second)) {
		t.Error("state 3 is reported as missing")
	}
	if !s.Confirm(4, now) {
		t.Error("state 4 is missing and not reported")
	}
	if s.ConfirmedWithin(500 * time.Millisecond) {
		t.Error("the confirmation of state 4 confirmed state 3")
	}
	if !s.ConfirmedWithin(time.Minute) {
		t.Error("the confirmation of state 3 was lost")
	}
	s.Confirm(2, now.Add(-time.Hour))
	if !s.ConfirmedWithin(time.Minute) {
		t.Error("an older confirmation replaced the newer one")
	}
}

// Guards against a state that is never confirmed while newer ones come faster than they
// are decoded: each confirmation was for a state that had not been decoded yet.
func TestConfirmationCountsOnceItsStateHasCome(t *testing.T) {
	s := NewStore()
	now := monotonic.Now()
	for i := range uint64(10) {
		s.Confirm(3+i, now.Add(time.Duration(i)*time.Second-time.Hour))
	}
	s.Update(&catalogue.State{Index: 4}, "test")
	if age, known := s.Age(); !known || age < time.Hour-2*time.Second || age > time.Hour {
		t.Errorf("state 4 was confirmed %v ago (%v), want an hour less a second", age, known)
	}
	for i := range uint64(2 * maxEarlyConfirmations) {
		s.Confirm(20+i, now.Add(-time.Minute))
	}
	if len(s.early) > maxEarlyConfirmations {
		t.Errorf("%d confirmations wait for their states", len(s.early))
	}
	fresh := 0
	s.OnFresh(func() { fresh++ })
	s.Confirm(20, now)
	s.Update(&catalogue.State{Index: 20}, "test")
	if !s.IsFresh() || fresh != 1 {
		t.Errorf("fresh=%v, OnFresh was called %d times", s.IsFresh(), fresh)
	}
}
