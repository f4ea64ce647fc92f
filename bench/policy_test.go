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
	peak        = 20 * time.Second
	outFor      = 60 * time.Second
	floodFactor = 10
	slowdown    = 1.1 // most of short requests, beside long ones and beside a flood
)

var (
	seed          = flag.Uint64("seed", 1, "seed of the plans and the fleets")
	withoutPrefix = []routing.Scorer{routing.FirstTokenScorer{}, routing.LengthScorer{}}
)

func base(t *testing.T, name string, load float64) Experiment {
	w, err := workload.Named(name)
	check(t, err)
	return Experiment{Workload: w, Load: load, WarmUp: 30 * time.Second, Measured: 40 * time.Second, Options: BaseOptions(*seed, "adaptive")}
}

// full is the setting of the published figures.
func full(t *testing.T, name string) Experiment {
	s := base(t, name, 0.8)
	s.WarmUp, s.Measured = 40*time.Second, 80*time.Second
	return s
}

// brief is a setting for runs above capacity, which are slow to compute.
func brief(t *testing.T) Experiment {
	s := base(t, "kitamura", 1)
	s.WarmUp, s.Measured = 20*time.Second, 20*time.Second
	return s
}

func bubble(t *testing.T, name string, do func(*testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, do) })
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// each runs a check on both crews' workloads.
func each(t *testing.T, do func(t *testing.T, name string)) {
	for _, name := range []string{"kartuli", "kitamura"} {
		bubble(t, name, func(t *testing.T) { do(t, name) })
	}
}

// TestRunsRepeat holds that equal seeds give equal outcomes.
func TestRunsRepeat(t *testing.T) {
	var runs [2][]Outcome
	for i := range runs {
		synctest.Test(t, func(t *testing.T) {
			outcomes, _, err := base(t, "kitamura", 0.8).Run()
			check(t, err)
			runs[i] = outcomes
		})
	}
	for i, a := range runs[0] {
		if b := runs[1][i]; a.FirstToken != b.FirstToken || a.Endpoint != b.Endpoint {
			t.Fatalf("request %d: %+v and then %+v", i, a, b)
		}
	}
}

func TestShortBesideLong(t *testing.T) {
	each(t, func(t *testing.T, name string) {
		s := base(t, name, 0.8)
		alone, err := s.WithoutLong()
		check(t, err)
		beside, err := s.Measure("adaptive")
		check(t, err)
		if ratio := float64(beside.ShortP95) / float64(alone.ShortP95); ratio > slowdown {
			t.Errorf("short p95 beside long ones is %.3f of what it is without them", ratio)
		}
	})
}

func TestNoLengthStarves(t *testing.T) {
	each(t, func(t *testing.T, name string) {
		figures, err := base(t, name, 0.8).Measure("adaptive")
		check(t, err)
		if figures.Starved > 0 || figures.Violations > 0 {
			t.Errorf("%d of %d neither in time nor refused at once, %d breaches", figures.Starved, figures.Requests, figures.Violations)
		}
	})
}

// The published figures come from a longer run, which the one above need not match.
func TestNoLengthStarvesInALongRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		figures, err := full(t, "kitamura").Measure("adaptive")
		check(t, err)
		if figures.Starved > 0 || figures.Violations > 0 {
			t.Errorf("%d of %d neither in time nor refused at once, %d breaches", figures.Starved, figures.Requests, figures.Violations)
		}
	})
}

func TestLongThroughputIsKept(t *testing.T) {
	each(t, func(t *testing.T, name string) {
		s := base(t, name, 0.8)
		adaptive, err := s.Measure("adaptive")
		check(t, err)
		s.Options.Policy = "fewest-outstanding"
		fewest, err := s.Measure("fewest-outstanding")
		check(t, err)
		if adaptive.LongTokensPerSecond < 0.9*fewest.LongTokensPerSecond {
			t.Errorf("long prompts: %.0f tokens a second of %.0f", adaptive.LongTokensPerSecond, fewest.LongTokensPerSecond)
		}
	})
}

func TestOverloadKeepsGoodput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := Overload(brief(t))
		check(t, err)
		if f.GoodputRatio < 0.95 || f.TokenGoodputRatio < 0.95 || f.NoRetryAfter > 0 {
			t.Errorf("%+v", f)
		}
	})
}

func TestOverloadRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := Overload(brief(t))
		check(t, err)
		if f.Starved > 0 {
			t.Errorf("%d of %d neither in time nor refused at once, the longest refusal after %s", f.Starved, f.Requests, f.LongestRefusal)
		}
	})
}

func TestRefusedCallersAreServedOnReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		returned, served, err := PeakWithRetries(base(t, "kitamura", 2), peak)
		check(t, err)
		if returned == 0 || served <= 0.5 {
			t.Errorf("%.3f of %d", served, returned)
		}
	})
}

func TestSickEngineDoesNotMultiplyLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempts, _, err := FaultyEngine(base(t, "kitamura", 0.6))
		check(t, err)
		if attempts > 1.1 {
			t.Errorf("%.3f attempts a request", attempts)
		}
	})
}

func TestDataCentreLeavesAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := DataCentreOut(base(t, "kitamura", 0.55), outFor)
		check(t, err)
		if f.Violations > 0 || f.PeakColdAttempts > coldLimit || min(f.AroundOut, f.AroundIn) < 0.99*f.Before {
			t.Errorf("%+v", f)
		}
	})
}

func TestFloodLeavesOthersAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := Flood(base(t, "kitamura", 0.6), floodFactor)
		check(t, err)
		if float64(f.DuringP95) > slowdown*float64(f.BeforeP95) || f.AdmittedRatio > 1.2 {
			t.Errorf("%+v", f)
		}
	})
}

func TestPrefixReuseMakesNoHotSpot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := base(t, "kitamura", 0.8)
		with, err := MeasurePrefixes(s, "with")
		check(t, err)
		s.Options.Scorers = withoutPrefix
		without, err := MeasurePrefixes(s, "without")
		check(t, err)
		if even := 1 / float64(s.Options.Endpoints); with.CacheHitRatio <= without.CacheHitRatio || with.MaxEngineShare > 2*even {
			t.Errorf("%+v against %+v", with, without)
		}
	})
}
