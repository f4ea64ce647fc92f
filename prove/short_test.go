package prove

import (
	"fmt"
	"testing"
)

// TestWholePathWithControlReplicasKilled kills each control replica in turn:
// requests, bookings and changes go on.
func TestWholePathWithControlReplicasKilled(t *testing.T) {
	f := start(t, false, engine("engine1", "dc1"), engine("engine2", "dc2"), booking("dc3"))
	for i, control := range f.Controls {
		f.must(control.Kill())
		f.completeWithin(serveLimit, i%2, fmt.Sprintf("while control %d is down", i+1), 8)
		visit := fmt.Sprintf("visit-%d", i)
		f.bookTwice(visit)
		f.must(f.TakeOutOfService(t.Context(), "dc2"))
		f.must(f.ReturnToService(t.Context(), "dc2"))
		f.must(control.Start())
		f.must(f.AwaitReady(t.Context()))
	}
	f.checkInvariants()
}

// bookTwice sends one booking through both entries at the same moment until
// each has its answer: one run, equal answers.
func (f *fixture) bookTwice(visit string) {
	f.t.Helper()
	first, second := f.bookBoth(visit)
	if !first.OK() || string(first.Body) != string(second.Body) {
		f.t.Errorf("booking %s: %s and %s", visit, describe(first), describe(second))
	}
	if runs := f.keyRuns(visit); runs != 1 {
		f.t.Errorf("booking %s ran %d times", visit, runs)
	}
}

// TestGateKilledMidStream kills an agent under streams: the others' streams are
// whole, its own are honest, and the new gate frees the endpoint.
func TestGateKilledMidStream(t *testing.T) {
	f := start(t, false, engine("engine1", "dc1"), engine("engine2", "dc2"))
	streams := f.startStreams(4, 300)
	f.must(f.endpointNamed("engine1").Agent.Kill())
	f.requireHonest(streams)
	for _, s := range streams {
		if s.result.Endpoint() == "engine2" && !s.right() {
			t.Errorf("%s on the other endpoint: %s", s.prompt, describe(s.result))
		}
	}
	f.must(f.endpointNamed("engine1").Agent.Start())
	f.must(f.AwaitReady(t.Context()))
	f.requireRight(f.startStreams(4, 50))
	f.checkInvariants()
}
