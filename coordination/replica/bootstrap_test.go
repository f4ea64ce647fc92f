package replica

import (
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// TestLateDiscoveryStillBootstrapsOneGroup starts replicas that may all create a
// group. Each one knows only those started before it, so that the first one knows
// none. Replica IDs are drawn anew in each round.
func TestLateDiscoveryStillBootstrapsOneGroup(t *testing.T) {
	for range 4 {
		c := &cluster{t: t, dial: dial, bootstrapCount: 4}
		c.findPeers = func(i int) func() ([]string, bool) {
			return func() ([]string, bool) { return c.peers[:i], true }
		}
		c.create(4)
		c.eventually("one group of four", c.hasVoters(4))
		leaders := 0
		for _, n := range c.nodes {
			if n.replica.Status().IsLeader {
				leaders++
			}
		}
		if leaders != 1 {
			t.Fatalf("%d replicas lead, want 1", leaders)
		}
	}
}

func TestNoBootstrapBeforeDiscoveryIsComplete(t *testing.T) {
	c := &cluster{t: t, dial: dial, bootstrapCount: 1}
	complete := make(chan struct{})
	c.findPeers = func(int) func() ([]string, bool) {
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
	if found := r.inquire(t.Context()); found.noGroup || len(r.Status().Members) != 0 {
		t.Errorf("a group may be created although discovery is not complete: %+v", found)
	}
	close(complete)
	c.eventually("two voters", c.hasVoters(2))
}

// TestInquiryConcurrentWithBootstrapDecision checks both orders of the decision to
// create a group and an inquiry from a replica with a lower ID.
func TestInquiryConcurrentWithBootstrapDecision(t *testing.T) {
	lower := &wire.JoinRequest{Id: "a", Address: "first:1", InquireOnly: true}
	var before bootstrapGuard
	if before.recordInquiry(lower) {
		t.Error("an inquiry was told of a group before one was created")
	}
	if before.decide("b", nil) {
		t.Error("a group was created although a replica with a lower ID has inquired and was not asked")
	}
	if got := before.addresses(); len(got) != 1 || got[0] != "first:1" {
		t.Errorf("addresses to ask: %q, want first:1", got)
	}
	if !before.decide("b", map[string]bool{"first:1": true}) {
		t.Error("no group was created although the other replica was asked and had none")
	}
	var after bootstrapGuard
	if !after.decide("b", nil) || !after.recordInquiry(lower) {
		t.Error("an inquiry after the decision was not told of the group")
	}
}
