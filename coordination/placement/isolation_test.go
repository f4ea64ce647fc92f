package placement

import (
	"testing"
	"time"
)

// playIsolated plays a load on 12 entries of which two are isolated. With told set, these
// know that they are.
func playIsolated(told bool, isolatedShare float64, kind requestKind) (sum outcome) {
	for seed := range uint64(3) {
		f := newFleet(seed+1, fleetSize{3, 12, 78, false})
		f.isolated, f.isolatedShare = 2, isolatedShare
		for _, e := range f.entries[:f.isolated] {
			if told {
				e.scheduler.SetHeardEntries(len(f.entries)-1, 0)
			}
		}
		f.simulate(3*time.Second, kind)
		o := f.outcomes[kind.name]
		sum.requests, sum.onTime, sum.late, sum.refused = sum.requests+o.requests, sum.onTime+o.onTime, sum.late+o.late, sum.refused+o.refused
	}
	return sum
}

// The load is a burst of short prompts that takes three quarters of the slots, a quarter of
// it at two entries that are partitioned from the others. Guards against entries that
// treat endpoints as idle because they receive no work items of others.
func TestIsolatedEntriesDoNotOverloadEndpoints(t *testing.T) {
	const target = 0.8 // on time
	kind := shortKind.scaled(3.1, 78)
	told, untold := playIsolated(true, 0.3, kind), playIsolated(false, 0.3, kind)
	t.Logf("%+v, without knowing it %+v", told, untold)
	if float64(told.onTime) < target*float64(told.requests) || told.onTime <= untold.onTime {
		t.Errorf("%d of %d short prompts were on time, %d without knowing it", told.onTime, told.requests, untold.onTime)
	}
}

// Guards against an isolated entry that refuses callers while endpoints are idle: all
// requests arrive at the isolated entries.
func TestIsolatedEntriesServeAlone(t *testing.T) {
	if o := playIsolated(true, 1, shortKind.scaled(0.3, 78)); 10*o.onTime < 9*o.requests {
		t.Errorf("%+v", o)
	}
}

// Guards against taking entries that are down for entries that aren't heard.
func TestEntryThatHearsHalfOfTheOthersIsNotIsolated(t *testing.T) {
	for _, c := range []struct {
		known, heard int
		isolated     bool
	}{{0, 0, false}, {1, 0, false}, {2, 0, true}, {2, 1, false}, {11, 5, true}, {11, 6, false}, {11, 11, false}} {
		if (heardEntries{c.known, c.heard}).isolated() != c.isolated {
			t.Errorf("known %d, heard %d: isolated %v", c.known, c.heard, !c.isolated)
		}
	}
}
