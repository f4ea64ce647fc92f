package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// plainFleet simulates entries that share a plain service, in virtual time.
type plainFleet struct {
	*fleet
	load     map[uint64]int // of the endpoints
	rejected int
	sent     int
	busiest  float64 // sum over samples
	samples  int
	away     int // sent to another data centre
	needless int // the same, while an endpoint here was idle
}

const (
	plainSlots    = 6
	plainCapacity = 30 // slots and queue
	plainMeanMs   = 100
)

func newPlainFleet(size fleetSize) *plainFleet {
	f := &plainFleet{fleet: newFleet(1, size), load: make(map[uint64]int)}
	f.service = &catalogue.Service{Name: "plain"}
	for _, e := range f.endpoints {
		e.Service, e.Slots = "plain", plainSlots
	}
	for _, e := range f.entries {
		e.scheduler.SetEngineLookup(func(uint64) *catalogue.Engine { return nil })
	}
	return f
}

func (f *plainFleet) choose(entry *fleetEntry) *Plan {
	return entry.scheduler.Choose(f.endpoints, &Request{
		Service: f.service, DataCentre: entry.dataCentre, Objective: time.Second, ObjectiveLeft: time.Second, TimeLimit: 5 * time.Second,
		CallerTimeout: 5 * time.Second, Credit: 1, Excluded: func(*directory.Endpoint) bool { return false },
	})
}

func (f *plainFleet) isIdleHere(entry *fleetEntry) bool {
	for _, e := range f.endpoints {
		if e.DataCentre == entry.dataCentre && f.load[e.Key] == 0 {
			return true
		}
	}
	return false
}

// send places a request, again when it is rejected.
func (f *plainFleet) send(entry *fleetEntry, service time.Duration, tries int) {
	p := f.choose(entry)
	if p == nil {
		return
	}
	e := p.Endpoints[0]
	f.sent++
	if e.DataCentre != entry.dataCentre {
		f.away++
		if f.isIdleHere(entry) {
			f.needless++
		}
	}
	if f.load[e.Key] >= plainCapacity {
		f.rejected++
		entry.scheduler.RecordRefusal(e.Key)
		p.Handle.Close()
		if tries > 1 {
			f.send(entry, service, tries-1)
		}
		return
	}
	f.load[e.Key]++
	wait := time.Duration(float64(service) * max(1, float64(f.load[e.Key])/plainSlots))
	f.after(wait, func() {
		f.load[e.Key]--
		p.Handle.Close()
	})
}

// simulate generates arrivals at a share of the capacity, in bursts of simultaneous ones.
func (f *plainFleet) simulate(lasting time.Duration, share float64, burst int) {
	end := f.now.Add(lasting)
	perMs := share * plainSlots / plainMeanMs * float64(len(f.endpoints)) / float64(burst)
	var next func()
	next = func() {
		if f.now.After(end) {
			return
		}
		for range burst {
			f.send(f.entries[f.random.IntN(len(f.entries))], time.Duration(f.random.ExpFloat64()*plainMeanMs*float64(time.Millisecond)), 3)
		}
		f.after(time.Duration(f.random.ExpFloat64()/perMs*float64(time.Millisecond)), next)
	}
	var sample func()
	sample = func() {
		busiest := 0
		for _, n := range f.load {
			busiest = max(busiest, n)
		}
		f.busiest += float64(busiest) / (share * plainSlots)
		f.samples++
		f.after(10*time.Millisecond, sample)
	}
	f.after(0, next)
	f.after(0, sample)
	f.run(end)
}

// The load is a plain service of three endpoints, or of ten, at nine tenths of its
// capacity, whose requests arrive five at a time at different entries. It guards against
// entries that all choose the same endpoint, as each takes the first of the best ones.
func TestPlainChoicesOfManyEntriesAreSpread(t *testing.T) {
	for _, c := range []struct {
		size        fleetSize
		mostBusiest float64 // endpoint relative to the mean of the offered load
	}{
		{fleetSize{3, 12, 3, false}, 2.5}, {fleetSize{3, 28, 3, true}, 2.5}, {fleetSize{5, 70, 10, true}, 3},
	} {
		t.Run(fmt.Sprint(c.size.entries), func(t *testing.T) {
			f := newPlainFleet(c.size)
			f.simulate(6*time.Second, 0.9, 5)
			t.Logf("%d sent, %d rejected, %d away, busiest %.2f", f.sent, f.rejected, f.away, f.busiest/float64(f.samples))
			if f.rejected > 0 {
				t.Errorf("%d of %d were rejected", f.rejected, f.sent)
			}
			if busiest := f.busiest / float64(f.samples); busiest > c.mostBusiest {
				t.Errorf("the busiest endpoint has %.2f of the offered load, at most %.2f is even", busiest, c.mostBusiest)
			}
		})
	}
}

// Guards against traffic between data centres that spreading alone would cause.
func TestAnIdlePlainServiceIsUsedInItsDataCentre(t *testing.T) {
	for _, reports := range []bool{false, true} {
		f := newPlainFleet(fleetSize{3, 6, 3, reports})
		f.simulate(100*time.Second, 0.1, 1)
		if f.needless*20 > f.sent {
			t.Errorf("%d of %d requests left their data centre while an endpoint there was idle", f.needless, f.sent)
		}
	}
}

// Guards against a choice that all entries make alike at the same moment, as after a
// restart of all of them.
func TestSimultaneousPlainChoicesDiffer(t *testing.T) {
	f := newPlainFleet(fleetSize{1, 30, 3, false})
	chosen := make(map[uint64]int)
	for _, e := range f.entries {
		chosen[f.choose(e).Endpoints[0].Key]++
	}
	for key, n := range chosen {
		if n > 20 {
			t.Errorf("%d of 30 entries chose endpoint %d", n, key)
		}
	}
}
