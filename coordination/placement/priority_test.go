package placement

import (
	"testing"
	"time"
)

// The kinds of a service whose routes differ in priority. The least urgent ones have seconds
// to spare, and most of the prefill is theirs.
var (
	urgentKind   = requestKind{name: "urgent", perSecond: 65, medianTokens: 3600, sigma: 0.8, maxTokens: 24_000, events: 32, objective: 250 * time.Millisecond, pause: 250 * time.Millisecond}
	ordinaryKind = requestKind{name: "ordinary", perSecond: 7, medianTokens: 40_000, sigma: 0.5, maxTokens: 110_000, events: 19, objective: 1500 * time.Millisecond, pause: 600 * time.Millisecond, rank: 1}
	patientKind  = requestKind{name: "patient", perSecond: 1.8, medianTokens: 190_000, sigma: 0.5, maxTokens: 700_000, events: 16, objective: 8 * time.Second, pause: time.Second, rank: 2}
)

// playRanked plays a load on 28 entries and 54 endpoints in three data centres and returns
// the outcomes of all seeds together.
func playRanked(ranked bool, lasting time.Duration, kinds ...requestKind) map[string]outcome {
	sums := make(map[string]outcome)
	for seed := range uint64(3) {
		f := newFleet(seed+1, fleetSize{3, 28, 54, true})
		f.ranked = ranked
		f.simulate(lasting, kinds...)
		for name, o := range f.outcomes {
			sum := sums[name]
			sum.requests, sum.onTime, sum.late = sum.requests+o.requests, sum.onTime+o.onTime, sum.late+o.late
			sums[name] = sum
		}
	}
	return sums
}

// The load is a burst of patient prompts, whose prefill takes four fifths of the fleet, with a
// third of the usual urgent ones. Guards against urgent answers that become late because
// patient prompts are prefilled at the same endpoints, and against patient ones that starve.
func TestPromptsThatHaveTimeSpareUrgentAnswers(t *testing.T) {
	const urgentTarget = 0.9  // of the urgent ones on time
	const patientTarget = 0.6 // of the patient ones on time
	urgent, patient := urgentKind, patientKind
	urgent.perSecond *= 0.35
	patient.perSecond *= 3.6
	ranked := playRanked(true, 8*time.Second, urgent, ordinaryKind, patient)
	equal := playRanked(false, 8*time.Second, urgent, ordinaryKind, patient)
	for name, o := range ranked {
		t.Logf("%s: %+v, without priorities %+v", name, o, equal[name])
		if 4*(o.onTime+o.late) < 3*o.requests {
			t.Errorf("of %d %s prompts, only %d were served", o.requests, name, o.onTime+o.late)
		}
	}
	if o := ranked[urgent.name]; float64(o.onTime) < urgentTarget*float64(o.requests) || o.onTime <= equal[urgent.name].onTime {
		t.Errorf("%d of %d urgent prompts were on time, without priorities %d", o.onTime, o.requests, equal[urgent.name].onTime)
	}
	if o := ranked[patient.name]; float64(o.onTime) < patientTarget*float64(o.requests) {
		t.Errorf("%d of %d patient prompts were on time", o.onTime, o.requests)
	}
}

// The load is a burst of urgent prompts after the patient ones. Guards against endpoints
// that stay kept for long prompts when the mix of lengths changes.
func TestBurstOfUrgentPromptsIsSpread(t *testing.T) {
	const target = 0.95 // of the urgent ones on time
	urgent := urgentKind
	urgent.perSecond *= 2.5
	patient := patientKind
	patient.perSecond *= 0.05
	for name, o := range playRanked(true, 4*time.Second, urgent, patient) {
		if t.Logf("%s: %+v", name, o); name == urgent.name && float64(o.onTime) < target*float64(o.requests) {
			t.Errorf("%d of %d urgent prompts were on time", o.onTime, o.requests)
		}
	}
}
