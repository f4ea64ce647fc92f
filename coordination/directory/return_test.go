package directory

import (
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// returnStates returns the states before an evacuation of dc1, during it and after it, and
// after a later change of another data centre.
func returnStates() (before, out, returned, later *catalogue.State) {
	m := catalogue.NewMachine(nil, func(*catalogue.State) {})
	order := func(index uint64, dataCentre string, out bool) *catalogue.State {
		m.Apply(index, &wire.Command{Of: &wire.Command_DataCentre{DataCentre: &wire.DataCentreChange{DataCentre: dataCentre, Out: out, Operation: index}}})
		return m.State()
	}
	before = order(1, "dc2", false)
	return before, order(2, "dc1", true), order(3, "dc1", false), order(4, "dc2", true)
}

// newAt returns a directory of a process with a state that can be replaced.
func newAt(first *catalogue.State) (d *Directory, set func(*catalogue.State)) {
	d, state := New(), first
	d.SetStateLookup(func() *catalogue.State { return state })
	return d, func(next *catalogue.State) { state = next }
}

// Guards against taking an endpoint for warm that has announced nothing since its data
// centre was put back into service (FAILBACK).
func TestOnlyAnAnnouncementAfterTheReturnCounts(t *testing.T) {
	const ready = wire.EndpointCondition_ENDPOINT_CONDITION_READY
	before, out, returned, later := returnStates()
	behind, _ := newAt(out)
	current, setCurrent := newAt(before)
	started, _ := newAt(later)
	check := func(step string, d *Directory, want bool) {
		t.Helper()
		if got := d.HeardSinceReturn(d.endpoints["a"]); got != want {
			t.Errorf("%s: heard since the return %v, want %v", step, got, want)
		}
	}
	current.Announce(record("a", 10, 1, ready))
	check("no order yet", current, true)
	setCurrent(out)
	current.Announce(record("a", 10, 2, ready))
	setCurrent(returned)
	check("returned", current, false)
	started.MergeEndpoints(current.EndpointRecords())
	check("at a process that has started since", started, false)
	behind.Announce(record("a", 10, 3, ready))
	current.MergeEndpoints(behind.EndpointRecords())
	check("heard by a process that has not received the order", current, false)
	current.MarkDraining(current.endpoints["a"])
	check("marked as draining", current, false)
	var urgent []bool
	current.OnUpdate(func(_ []*wire.EndpointRecord, u bool) { urgent = append(urgent, u) })
	current.Announce(record("a", 11, 1, ready))
	current.Announce(record("a", 11, 3, ready))
	check("announced after the return", current, true)
	setCurrent(later)
	check("after a change of another data centre", current, true)
	started.MergeEndpoints(current.EndpointRecords())
	check("learnt from another process", started, true)
	behind.Announce(record("a", 11, 4, ready))
	started.MergeEndpoints(behind.EndpointRecords())
	check("heard later by a process that has not received the order", started, true)
	if len(urgent) != 1 || !urgent[0] {
		t.Errorf("published, and urgently: %v, want the first announcement alone", urgent)
	}
}

// Guards against the first announcement after a return waiting with those that change
// nothing, while all entries hold back.
func TestFirstAnnouncementAfterAReturnIsPublishedAtOnce(t *testing.T) {
	const ready = wire.EndpointCondition_ENDPOINT_CONDITION_READY
	_, out, returned, _ := returnStates()
	d, set := newAt(out)
	d.Announce(record("a", 10, 1, ready))
	set(returned)
	published := 0
	d.OnUpdate(func([]*wire.EndpointRecord, bool) { published++ })
	d.Announce(record("a", 10, 3, ready))
	d.Announce(record("a", 10, 5, ready))
	if published != 1 {
		t.Errorf("%d of two odd announcements after the return were published, want the first", published)
	}
}
