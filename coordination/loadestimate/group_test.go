package loadestimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// report applies one load per endpoint.
func report(g *Group, endpoints []*Endpoint, now time.Time, loads ...float64) {
	for i, load := range loads {
		endpoints[i].SetLoad(load)
	}
	g.Apply(now)
}

func newEndpoints(g *Group, n int) []*Endpoint {
	var endpoints []*Endpoint
	for range n {
		endpoints = append(endpoints, g.Add(0, start))
	}
	return endpoints
}

func near(a, b float64) bool { return math.Abs(a-b) < 0.01 }

// Guards against estimates that stay as reported when the reporter is killed, frozen or
// partitioned, or that grow without bound.
func TestEstimatesTendToTheMeanWhenReportsStop(t *testing.T) {
	g := NewGroup()
	endpoints := newEndpoints(g, 3)
	report(g, endpoints, start, 8, 4, 0)
	report(g, endpoints, start.Add(150*time.Millisecond), 9, 5, 1)
	now := start.Add(150 * time.Millisecond)
	if load := endpoints[0].Load(now); !near(load, 9) {
		t.Errorf("the load is %.2f at the report, want 9", load)
	}
	later := endpoints[0].Load(now.Add(time.Second))
	if later >= 9 || later <= 5 {
		t.Errorf("the load is %.2f after a second, want one between the mean and 9", later)
	}
	full, empty := endpoints[0].Load(now.Add(time.Minute)), endpoints[2].Load(now.Add(time.Minute))
	if !near(full, empty) || full > 8 {
		t.Errorf("the loads are %.2f and %.2f after a minute, want one bounded mean", full, empty)
	}
}

// Guards against rates learned over a gap in which the reporter or this entry was
// unavailable.
func TestAReportAfterAGapTeachesNoRates(t *testing.T) {
	g := NewGroup()
	endpoints := newEndpoints(g, 2)
	report(g, endpoints, start, 30, 10)
	report(g, endpoints, start.Add(maxReportGap+time.Second), 0, 0)
	if g.decay != defaultDecay || g.growth != 0 || !math.IsInf(g.UnknownArrivals(start), 1) {
		t.Errorf("decay %.2f, growth %.2f, %.2f unknown arrivals", g.decay, g.growth, g.UnknownArrivals(start))
	}
}

// Guards against lasting errors by reports that arrive out of order or twice, which can't be
// detected without a sequence number.
func TestReportsOutOfOrderMoveRatesByABoundedStep(t *testing.T) {
	ordered, swapped := NewGroup(), NewGroup()
	for _, g := range []*Group{ordered, swapped} {
		endpoints, now := newEndpoints(g, 3), start
		for i := range 60 {
			now = now.Add(150 * time.Millisecond)
			at := i
			if g == swapped && (i == 20 || i == 21) {
				at = 41 - i
			}
			wave := float64(at % 4)
			report(g, endpoints, now, 6+wave, 6-wave, 6)
			if g == swapped && i == 30 {
				report(g, endpoints, now, 6+wave, 6-wave, 6)
			}
		}
		if load := endpoints[0].Load(now); !near(load, 9) {
			t.Errorf("the load is %.2f, want 9 of the last report", load)
		}
	}
	if ratio := swapped.decay / ordered.decay; ratio < 0.5 || ratio > 2 {
		t.Errorf("the decay rate is %.2f after swapped reports and %.2f without", swapped.decay, ordered.decay)
	}
}

// Guards against the load of a former incarnation that stays in the mean.
func TestAnEndpointThatReturnsEmptyStartsAtNothing(t *testing.T) {
	g := NewGroup()
	endpoints := newEndpoints(g, 2)
	report(g, endpoints, start, 10, 10)
	endpoints[1] = g.Add(0, start)
	if load := endpoints[1].Load(start); load > 0.01 {
		t.Errorf("an endpoint that wasn't reported has load %.2f at the report", load)
	}
	now := start
	for range 80 {
		now = now.Add(150 * time.Millisecond)
		report(g, endpoints, now, 10, 2)
	}
	if g.Len() != 2 || !near(g.mean, 6) {
		t.Errorf("%d endpoints with mean %.2f, want 2 with 6", g.Len(), g.mean)
	}
}

// Guards against a mean of busy endpoints only, as reports leave out the empty ones.
func TestEndpointsThatAreMissingFromAReportAreEmpty(t *testing.T) {
	g := NewGroup()
	endpoints := newEndpoints(g, 4)
	report(g, endpoints, start, 4, 4, 4, 4)
	report(g, endpoints, start.Add(150*time.Millisecond), 4)
	if load := endpoints[3].Load(start.Add(150 * time.Millisecond)); load != 0 || !near(g.mean, 1) {
		t.Errorf("load %.2f, mean %.2f", load, g.mean)
	}
}

func TestARejectionRaisesTheLoadForAShortTime(t *testing.T) {
	var r Rejection
	if load := r.Correct(3, 18, start); load != 3 {
		t.Errorf("load %.1f without a rejection", load)
	}
	r.Record(start)
	at, half, after := r.Correct(3, 18, start), r.Correct(3, 18, start.Add(rejectionDuration/2)), r.Correct(3, 18, start.Add(rejectionDuration))
	if at != 18 || !near(half, 10.5) || after != 3 {
		t.Errorf("loads %.1f, %.1f, %.1f, want 18, 10.5, 3", at, half, after)
	}
	if load := r.Correct(20, 18, start); load != 20 {
		t.Errorf("a load above the limit became %.1f", load)
	}
}

func shares(options []Option, unknown float64) []float64 {
	picker, counts := NewPicker(rand.New(rand.NewPCG(1, 1))), make([]float64, len(options))
	const picks = 20_000
	for range picks {
		if i := picker.Pick(options, unknown); i >= 0 {
			counts[i] += 1.0 / picks
		}
	}
	return counts
}

// Guards against choices that all take the first of equal options, and against spreading
// where the loads are known exactly.
func TestShareOfChoices(t *testing.T) {
	for _, c := range []struct {
		name    string
		options []Option
		unknown float64
		want    []float64
	}{
		{"equal options share the choices", []Option{{2, 6, 30}, {2, 6, 30}}, 0, []float64{0.5, 0.5}},
		{"the least loaded without unknown arrivals", []Option{{3, 6, 30}, {2, 6, 30}}, 0, []float64{0, 1}},
		{"free capacity when nothing is known", []Option{{20, 6, 30}, {10, 6, 30}}, math.Inf(1), []float64{1.0 / 3, 2.0 / 3}},
		{"full options are left out", []Option{{30, 6, 30}, {29, 6, 30}}, math.Inf(1), []float64{0, 1}},
		{"none has capacity", []Option{{30, 6, 30}}, 1, []float64{0}},
		{"larger options take more", []Option{{0, 6, 30}, {0, 12, 60}}, 1000, []float64{1.0 / 3, 2.0 / 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i, share := range shares(c.options, c.unknown) {
				if math.Abs(share-c.want[i]) > 0.02 {
					t.Errorf("option %d was chosen in %.3f, want %.3f", i, share, c.want[i])
				}
			}
		})
	}
}

func TestPickDependsOnItsRandomSourceOnly(t *testing.T) {
	options := []Option{{1, 6, 30}, {2, 6, 30}, {3, 6, 30}}
	one, other := NewPicker(rand.New(rand.NewPCG(7, 7))), NewPicker(rand.New(rand.NewPCG(7, 7)))
	for i := range 100 {
		if a, b := one.Pick(options, 5), other.Pick(options, 5); a != b {
			t.Fatalf("choice %d is %d and %d", i, a, b)
		}
	}
}
