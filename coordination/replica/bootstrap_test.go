package replica

import (
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// TestFoundersThatLearnOfEachOtherLateFoundOneGroup starts replicas that may all
// found a group, each of which knows only those before it: the first knows
// nobody. Identities are drawn anew in each round.
func TestFoundersThatLearnOfEachOtherLateFoundOneGroup(t *testing.T) {
	for range 4 {
		c := &cluster{t: t, dial: dial, founders: 4}
		c.find = func(i int) func() ([]string, bool) {
			return func() ([]string, bool) { return c.peers[:i], true }
		}
		c.create(4)
		c.eventually("one group of four", c.voters(4))
		leaders := 0
		for _, n := range c.nodes {
			if n.replica.Status().IsLeader {
				leaders++
			}
		}
		if leaders != 1 {
			t.Fatalf("%d leaders", leaders)
		}
	}
}

func TestNobodyFoundsBeforeAllAreKnown(t *testing.T) {
	c := &cluster{t: t, dial: dial, founders: 1}
	complete := make(chan struct{})
	c.find = func(int) func() ([]string, bool) {
		return func() ([]string, bool) {
			select {
			case <-complete:
				return c.peers, true
			default:
				return nil, false
			}
		}
	}
	c.create(2)
	r := c.nodes[0].replica
	if found := r.inquire(t.Context()); found.empty || len(r.Status().Members) != 0 {
		t.Errorf("a group is founded although not all are known: %+v", found)
	}
	close(complete)
	c.eventually("two voters", c.voters(2))
}

// TestAnInquiryAtTheMomentOfFounding plays both orders of a decision and an
// inquiry of a replica with a lower identity.
func TestAnInquiryAtTheMomentOfFounding(t *testing.T) {
	lower := &wire.JoinRequest{Id: "a", Address: "first:1", InquireOnly: true}
	var before founding
	if before.answer(lower) {
		t.Error("a group was told before it was founded")
	}
	if before.decide("b", nil) {
		t.Error("founded although one with a lower identity was not asked back")
	}
	if got := before.addresses(); len(got) != 1 || got[0] != "first:1" {
		t.Errorf("to be asked: %q", got)
	}
	if !before.decide("b", map[string]bool{"first:1": true}) {
		t.Error("not founded although the other one was asked and had no group")
	}
	var after founding
	if !after.decide("b", nil) || !after.answer(lower) {
		t.Error("an inquiry after the decision does not hear of the group")
	}
}
