package prove

import (
	"fmt"
	"testing"
)

// TestWholePathWithControlReplicasKilled kills each control replica in turn.
// Completions, bookings and configuration changes go on without it.
func TestWholePathWithControlReplicasKilled(t *testing.T) {
	f := startFleet(t, false, engineOptions("engine1", "dc1"), engineOptions("engine2", "dc2"), bookingOptions("dc3"))
	for i, control := range f.Controls {
		f.must(control.Kill())
		f.completeWithin(serveTimeout, i%2, fmt.Sprintf("while control %d is down", i+1), 8)
		bookingKey := fmt.Sprintf("visit-%d", i)
		f.requireBookedOnce(bookingKey)
		f.must(f.TakeOutOfService(t.Context(), "dc2"))
		f.must(f.ReturnToService(t.Context(), "dc2"))
		f.must(control.Start())
		f.must(f.AwaitReady(t.Context()))
	}
	f.checkInvariants()
}

// requireBookedOnce sends one booking through both entries at once. It must run
// once, and both answers must be equal.
func (f *fixture) requireBookedOnce(bookingKey string) {
	f.t.Helper()
	first, second := f.bookThroughBoth(bookingKey)
	if !first.OK() || string(first.Body) != string(second.Body) {
		f.t.Errorf("booking %s: %s and %s", bookingKey, describe(first), describe(second))
	}
	if runs := f.keyRuns(bookingKey); runs != 1 {
		f.t.Errorf("booking %s ran %d times", bookingKey, runs)
	}
}

// TestGateKilledMidStream kills an agent while streams run. Streams of the other
// endpoint are complete, its own at least a correct prefix, and the gate that
// starts next ends the work left at the endpoint.
func TestGateKilledMidStream(t *testing.T) {
	f := startFleet(t, false, engineOptions("engine1", "dc1"), engineOptions("engine2", "dc2"))
	streams := f.startStreams(4, 300)
	f.must(f.endpointNamed("engine1").Agent.Kill())
	f.requireCorrectPrefix(streams)
	for _, s := range streams {
		if s.result.Endpoint() == "engine2" && !s.correct() {
			t.Errorf("%s on the other endpoint: %s", s.prompt, describe(s.result))
		}
	}
	f.must(f.endpointNamed("engine1").Agent.Start())
	f.must(f.AwaitReady(t.Context()))
	f.requireCorrect(f.startStreams(4, 50))
	f.checkInvariants()
}
