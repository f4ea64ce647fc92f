package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

// shortWait is far shorter than the waits of a test and longer than deliveryPatience.
const shortWait = 2 * deliveryPatience

// hasLeft reports whether the node knows that an endpoint is gone.
func (n *node) hasLeft(id string) bool {
	for _, r := range n.directory.EndpointRecords() {
		if r.Id == id {
			return r.Condition == wire.EndpointCondition_ENDPOINT_CONDITION_GONE
		}
	}
	return false
}

// Guards against the loss of a leave with the process that has acknowledged it: at that
// moment a process of each data centre must know it, and then all learn of it.
func TestDeliveredLeaveSurvivesItsProcess(t *testing.T) {
	r := newTestFleet(t, "a", "b", "c")
	from := r.nodes["a"][3]
	r.announce(t, from, "e", "a")
	from.directory.Leave("e", 0)
	if err := from.mesh.AwaitDelivery(t.Context()); err != nil {
		t.Fatal(err)
	}
	from.stop()
	for dataCentre, nodes := range r.nodes {
		knowing := 0
		for _, n := range nodes {
			if n != from && n.hasLeft("e") {
				knowing++
			}
		}
		if knowing == 0 {
			t.Errorf("no process in %s knew of a leave that was acknowledged", dataCentre)
		}
	}
	for _, nodes := range r.nodes {
		for _, n := range nodes {
			waitUntil(t, "all processes know of the leave", func() bool { return n == from || n.hasLeft("e") })
		}
	}
}

// startTrio starts three processes on different hosts that know each other.
func startTrio(t *testing.T) (a, b, c *node) {
	t.Helper()
	record := func(name string, incarnation uint64) *wire.ProcessRecord {
		return &wire.ProcessRecord{Name: name, Incarnation: incarnation, Entry: true}
	}
	a = startAt(t, loopback.KeepFor(t), record("a", 1))
	b = startAt(t, loopback.KeepFor(t), record("b", 2), a.address)
	c = startAt(t, loopback.KeepFor(t), record("c", 3), a.address)
	waitUntil(t, "all links are up", func() bool { return a.mesh.Stats().LinksUp == 2 && a.mesh.Stats().LinksByRole["near"] == 2 })
	return a, b, c
}

// Guards against a leave that is never acknowledged because one process stands still, and
// against one that is acknowledged although no other process can know it.
func TestDeliveryNeedsOneOtherHostAndNotAll(t *testing.T) {
	a, b, c := startTrio(t)
	wakeC := c.standStill()
	a.directory.Leave("e", 0)
	err := a.mesh.AwaitDelivery(t.Context())
	if err != nil || !b.hasLeft("e") {
		t.Errorf("one of two processes stands still: %v, the other knows it: %v", err, b.hasLeft("e"))
	}
	wakeB := b.standStill()
	a.directory.Leave("e2", 0)
	ctx, cancel := context.WithTimeout(t.Context(), shortWait)
	defer cancel()
	if err := a.mesh.AwaitDelivery(ctx); fault.KindOf(err) != fault.OutcomeUnknown {
		t.Errorf("both others stand still: %v", err)
	}
	wakeB()
	wakeC()
}

// Guards against a wait until the limit for processes whose links are lost meanwhile.
func TestDeliveryDoesNotWaitForLostLinks(t *testing.T) {
	a, b, c := startTrio(t)
	wake := c.standStill()
	defer wake()
	a.directory.Leave("e", 0)
	waitUntil(t, "the other process knows it", func() bool { return b.hasLeft("e") })
	done := make(chan error, 1)
	go func() { done <- a.mesh.AwaitDelivery(t.Context()) }()
	waitUntil(t, "the link to the process that stands still is lost", func() bool { return a.mesh.Stats().LinksUp == 1 })
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(waitTimeout):
		t.Error("the wait has not ended")
	}
}

// Guards against an acknowledgement by a process that has no link to anybody.
func TestDeliveryFailsWithoutLinks(t *testing.T) {
	alone := startAt(t, loopback.KeepFor(t), &wire.ProcessRecord{Name: "alone", Incarnation: 1}, "127.0.0.9:1")
	if err := alone.mesh.AwaitDelivery(t.Context()); fault.KindOf(err) != fault.OutcomeUnknown {
		t.Errorf("a process that reaches no seed: %v", err)
	}
	only := startAt(t, loopback.KeepFor(t), &wire.ProcessRecord{Name: "only", Incarnation: 2})
	if err := only.mesh.AwaitDelivery(t.Context()); err != nil {
		t.Errorf("a fleet of one process: %v", err)
	}
}
