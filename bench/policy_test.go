package bench

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/trials/workload"
)

const (
	peakDuration = 20 * time.Second
	outDuration  = 60 * time.Second
	floodFactor  = 10
	maxSlowdown  = 1.1 // of short requests, beside long ones and during a flood
)

var (
	seed                 = flag.Uint64("seed", 1, "seed of the plans and the fleets")
	scorersWithoutPrefix = []routing.Scorer{routing.FirstTokenScorer{}, routing.LengthScorer{}}
)

// experiment loads a fleet of 25 engines with a workload, at the given fraction
// of its capacity.
func experiment(t *testing.T, name string, load float64) Experiment {
	w, err := workload.Named(name)
	must(t, err)
	return Experiment{Workload: w, Load: load, WarmUp: 30 * time.Second, Measured: 40 * time.Second, Options: BaseOptions(*seed, "adaptive")}
}

// publishedExperiment is the experiment behind the published figures.
func publishedExperiment(t *testing.T, name string) Experiment {
	s := experiment(t, name, 0.8)
	s.WarmUp, s.Measured = 40*time.Second, 80*time.Second
	return s
}

// overloadExperiment is short, as runs above capacity take long to compute.
func overloadExperiment(t *testing.T) Experiment {
	s := experiment(t, "kitamura", 1)
	s.WarmUp, s.Measured = 20*time.Second, 20*time.Second
	return s
}

// runInBubble runs a subtest in virtual time.
func runInBubble(t *testing.T, name string, do func(*testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, do) })
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// eachWorkload runs a subtest on the workload kartuli and one on kitamura.
func eachWorkload(t *testing.T, do func(t *testing.T, name string)) {
	for _, name := range []string{"kartuli", "kitamura"} {
		runInBubble(t, name, func(t *testing.T) { do(t, name) })
	}
}

// Figures of two runs can be compared only if equal seeds give equal outcomes.
func TestEqualSeedsGiveEqualOutcomes(t *testing.T) {
	var runs [2][]Outcome
	for i := range runs {
		synctest.Test(t, func(t *testing.T) {
			outcomes, _, err := experiment(t, "kitamura", 0.8).Run()
			must(t, err)
			runs[i] = outcomes
		})
	}
	for i, a := range runs[0] {
		if b := runs[1][i]; a.FirstToken != b.FirstToken || a.Endpoint != b.Endpoint {
			t.Fatalf("request %d differs between two runs: %+v and %+v", i, a, b)
		}
	}
}

// Short prompts must not wait behind long prefills.
func TestShortBesideLong(t *testing.T) {
	eachWorkload(t, func(t *testing.T, name string) {
		s := experiment(t, name, 0.8)
		withoutLong, err := s.WithoutLong()
		must(t, err)
		beside, err := s.Measure("adaptive")
		must(t, err)
		if ratio := float64(beside.ShortP95) / float64(withoutLong.ShortP95); ratio > maxSlowdown {
			t.Errorf("p95 of short prompts beside long ones is %.3f of that without them", ratio)
		}
	})
}

// Neither short nor long prompts may be admitted and then miss their deadlines.
func TestNoLengthStarves(t *testing.T) {
	eachWorkload(t, func(t *testing.T, name string) {
		figures, err := experiment(t, name, 0.8).Measure("adaptive")
		must(t, err)
		if figures.Starved > 0 || figures.Violations > 0 {
			t.Errorf("%d of %d neither on time nor refused immediately, %d violations", figures.Starved, figures.Requests, figures.Violations)
		}
	})
}

// The published figures come from a longer run, which can starve a request where
// the run of TestNoLengthStarves does not.
func TestNoLengthStarvesInALongRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		figures, err := publishedExperiment(t, "kitamura").Measure("adaptive")
		must(t, err)
		if figures.Starved > 0 || figures.Violations > 0 {
			t.Errorf("%d of %d neither on time nor refused immediately, %d violations", figures.Starved, figures.Requests, figures.Violations)
		}
	})
}

// The priority of short prompts must not cost throughput of long ones.
func TestLongThroughputNearFewestOutstanding(t *testing.T) {
	eachWorkload(t, func(t *testing.T, name string) {
		s := experiment(t, name, 0.8)
		adaptive, err := s.Measure("adaptive")
		must(t, err)
		s.Options.Policy = "fewest-outstanding"
		fewest, err := s.Measure("fewest-outstanding")
		must(t, err)
		if adaptive.LongTokensPerSecond < 0.9*fewest.LongTokensPerSecond {
			t.Errorf("long prompts: %.0f tokens per second, %.0f under fewest-outstanding", adaptive.LongTokensPerSecond, fewest.LongTokensPerSecond)
		}
	})
}

// Above capacity, work that misses its deadline must not displace work that
// could meet it, and every refusal has a Retry-After.
func TestOverloadKeepsGoodput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := Overload(overloadExperiment(t))
		must(t, err)
		if f.GoodputRatio < 0.95 || f.TokenGoodputRatio < 0.95 || f.NoRetryAfter > 0 {
			t.Errorf("%+v", f)
		}
	})
}

// Above capacity, what cannot be answered on time is refused immediately rather
// than queued.
func TestOverloadRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := Overload(overloadExperiment(t))
		must(t, err)
		if f.Starved > 0 {
			t.Errorf("%d of %d neither on time nor refused immediately, the longest refusal after %s", f.Starved, f.Requests, f.LongestRefusal)
		}
	})
}

// A Retry-After that is too short sends refused callers back into the peak.
func TestRefusedCallersAreServedOnRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		retried, served, err := PeakWithRetries(experiment(t, "kitamura", 2), peakDuration)
		must(t, err)
		if retried == 0 || served <= 0.5 {
			t.Errorf("%.3f of %d retried requests were served on time", served, retried)
		}
	})
}

// Retries of requests that one engine fails must not add load to the others.
func TestFaultyEngineDoesNotMultiplyAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempts, _, err := FaultyEngine(experiment(t, "kitamura", 0.6))
		must(t, err)
		if attempts > 1.1 {
			t.Errorf("%.3f attempts a request", attempts)
		}
	})
}

// Taking a data centre out of service and returning it cold must neither cost
// answers nor overload an engine.
func TestDataCentreOutAndIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := DataCentreOut(experiment(t, "kitamura", 0.55), outDuration)
		must(t, err)
		if f.Violations > 0 || f.PeakColdAttempts > coldConcurrency || min(f.AroundOut, f.AroundIn) < 0.99*f.Before {
			t.Errorf("%+v", f)
		}
	})
}

// An organisation that sends ten times its planned requests, about nine times its
// contract, must not slow the others.
func TestFloodDoesNotSlowOtherOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := Flood(experiment(t, "kitamura", 0.6), floodFactor)
		must(t, err)
		if float64(f.DuringP95) > maxSlowdown*float64(f.BeforeP95) || f.AdmittedRatio > 1.2 {
			t.Errorf("%+v", f)
		}
	})
}

// Routing by cached prefixes must not send most requests to one engine.
func TestPrefixReuseMakesNoHotSpot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := experiment(t, "kitamura", 0.8)
		with, err := MeasurePrefixes(s, "with")
		must(t, err)
		s.Options.Scorers = scorersWithoutPrefix
		without, err := MeasurePrefixes(s, "without")
		must(t, err)
		if even := 1 / float64(s.Options.Endpoints); with.CacheHitRatio <= without.CacheHitRatio || with.MaxEngineShare > 2*even {
			t.Errorf("with reuse %+v, without it %+v", with, without)
		}
	})
}
