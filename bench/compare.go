package bench

import (
	"fmt"
	"io"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/trials/workload"
)

// Experiment is a workload, its load and the fleet that it runs on.
type Experiment struct {
	Workload workload.Workload
	Load     float64                            // as a fraction of the engines' prefill capacity
	WarmUp   time.Duration                      // not measured; the first half of it runs at half the rate
	Measured time.Duration                      // after WarmUp
	Drop     func(workload.PlannedRequest) bool // requests left out of the plan
	Options  Options
}

// BaseOptions returns a fleet of 25 engines in three data centres, with 4 entries.
func BaseOptions(seed uint64, policy string) Options {
	return Options{Seed: seed, Policy: policy, Endpoints: 25, DataCentres: 3, Entries: 4}
}

// Rate returns the requests per second that make up the load.
func (s Experiment) Rate() float64 {
	return s.Load * float64(s.Options.Endpoints) * MaxPrefillTokensPerSecond / MeanPromptTokens(s.Workload, s.Options.Seed)
}

// Jobs plans the requests. Of those in the first half of WarmUp it leaves out
// every second one.
func (s Experiment) Jobs() []Job {
	var kept []workload.PlannedRequest
	for _, p := range s.Workload.Plan(s.Options.Seed, s.Rate(), s.WarmUp+s.Measured) {
		if p.At < s.WarmUp/2 && p.Number%2 == 0 || s.Drop != nil && s.Drop(p) {
			continue
		}
		kept = append(kept, p)
	}
	return Jobs(kept)
}

// Run runs the experiment on a new fleet.
func (s Experiment) Run() ([]Outcome, *Fleet, error) {
	f, err := NewFleet(s.Options)
	if err != nil {
		return nil, nil, err
	}
	outcomes := f.Run(s.Jobs(), nil)
	f.Stop()
	return outcomes, f, nil
}

// Figures are the results of one experiment.
type Figures struct {
	Name                string
	BandP95             []time.Duration // 95th percentile of the time to first token, by length band
	BandMedian          []time.Duration // median of the time to first token, by length band
	ShortP95            time.Duration   // 95th percentile of the time to first token, of short prompts
	LongTokensPerSecond float64         // prompt tokens per second of long prompts answered on time
	OnTimeShare         float64         // share of the requests answered on time
	Starved             int             // requests neither answered on time nor refused immediately
	Violations          int             // attempts beyond what an engine admits
	Requests            int
	CacheHitRatio       float64 // cached share of the prefix blocks that were looked up
	MaxEngineShare      float64 // largest share of all attempts that one engine got
}

// Measure runs the experiment and returns its figures.
func (s Experiment) Measure(name string) (Figures, error) {
	outcomes, fleet, err := s.Run()
	if err != nil {
		return Figures{}, err
	}
	all := ByLength(outcomes, 0, 1<<30, s.WarmUp)
	figures := Figures{Name: name, Requests: len(all), OnTimeShare: OnTimeShare(all), Starved: Starved(all)}
	from := 0
	for _, to := range LengthBands {
		band := ByLength(all, from, to, s.WarmUp)
		figures.BandP95 = append(figures.BandP95, FirstTokenPercentile(band, 0.95))
		figures.BandMedian = append(figures.BandMedian, FirstTokenPercentile(band, 0.5))
		from = to
	}
	figures.ShortP95 = FirstTokenPercentile(ByLength(all, 0, ShortTokens, s.WarmUp), 0.95)
	figures.LongTokensPerSecond = OnTimeTokens(ByLength(all, LongTokens, 1<<30, s.WarmUp)) / s.Measured.Seconds()
	figures.addEngineFigures(fleet)
	return figures, nil
}

// addEngineFigures sets the figures that the engines count.
func (f *Figures) addEngineFigures(fleet *Fleet) {
	var hits, requested uint64
	most, sum := 0, 0
	for _, e := range fleet.Engines {
		hits, requested = hits+e.HitBlocks, requested+e.RequestedBlocks
		most, sum = max(most, e.Arrivals), sum+e.Arrivals
		f.Violations += e.Violations
	}
	f.CacheHitRatio = float64(hits) / float64(max(1, requested))
	f.MaxEngineShare = float64(most) / float64(max(1, sum))
}

// WithoutLong measures the same plan without its long prompts.
func (s Experiment) WithoutLong() (Figures, error) {
	s.Drop = func(p workload.PlannedRequest) bool { return p.PromptTokens > LongTokens }
	return s.Measure("without long")
}

// ComparePolicies measures the plan without long prompts, then the whole plan
// under each policy, and under fewest-outstanding on engines that ignore
// priorities.
func ComparePolicies(s Experiment) (withoutLong Figures, list []Figures, err error) {
	s.Options.Policy = "adaptive"
	if withoutLong, err = s.WithoutLong(); err != nil {
		return withoutLong, nil, err
	}
	for _, name := range routing.PolicyNames {
		s.Options.Policy = name
		figures, err := s.Measure(name)
		if err != nil {
			return withoutLong, nil, err
		}
		list = append(list, figures)
	}
	s.Options.Policy, s.Options.IgnorePriority = "fewest-outstanding", true
	figures, err := s.Measure("fewest, no priority")
	return withoutLong, append(list, figures), err
}

// Print writes figures as a table. Some columns are not named like their fields:
// "slowdown" is the ratio of ShortP95 to that without long prompts, "long k/s"
// LongTokensPerSecond in thousands, "met" OnTimeShare, "breaches" Violations,
// "reuse" CacheHitRatio and "most" MaxEngineShare.
func Print(w io.Writer, title string, withoutLong Figures, list []Figures) {
	fmt.Fprintf(w, "\n%s: %d requests; without long prompts short p95 %s\n", title, list[0].Requests, withoutLong.ShortP95.Round(time.Millisecond))
	fmt.Fprintf(w, "%-22s %9s %9s %9s %9s %9s %9s %7s %7s %8s %6s %6s\n", "policy", "p95<=4k", "<=32k", "<=100k", "<=1M",
		"slowdown", "long k/s", "met", "starved", "breaches", "reuse", "most")
	for _, f := range append([]Figures{withoutLong}, list...) {
		fmt.Fprintf(w, "%-22s", f.Name)
		for _, band := range f.BandP95 {
			fmt.Fprintf(w, " %9s", band.Round(time.Millisecond))
		}
		fmt.Fprintf(w, " %9.3f %9.1f %7.4f %7d %8d %6.3f %6.3f\n", float64(f.ShortP95)/float64(withoutLong.ShortP95), f.LongTokensPerSecond/1000, f.OnTimeShare, f.Starved, f.Violations, f.CacheHitRatio, f.MaxEngineShare)
	}
}
