package bench

import (
	"fmt"
	"io"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/trials/workload"
)

// Experiment is one experiment under load.
type Experiment struct {
	Workload workload.Workload
	Load     float64       // part of the engines' prefill capacity
	WarmUp   time.Duration // passed over, at half the rate
	Measured time.Duration
	Drop     func(workload.PlannedRequest) bool // requests left out of the plan
	Options  Options
}

// BaseOptions is a fleet of 25 engines in three data centres.
func BaseOptions(seed uint64, policy string) Options {
	return Options{Seed: seed, Policy: policy, Endpoints: 25, DataCentres: 3, Entries: 4}
}

// Rate is the requests per second that make the setting's load.
func (s Experiment) Rate() float64 {
	return s.Load * float64(s.Options.Endpoints) * MaxPrefillTokensPerSecond / MeanPromptTokens(s.Workload, s.Options.Seed)
}

// Jobs plans the setting's requests: until Warm, every second one only.
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

// Run runs the setting on a fleet of its own.
func (s Experiment) Run() ([]Outcome, *Fleet, error) {
	f, err := NewFleet(s.Options)
	if err != nil {
		return nil, nil, err
	}
	outcomes := f.Run(s.Jobs(), nil)
	f.Stop()
	return outcomes, f, nil
}

// Figures are the measures of one setting.
type Figures struct {
	Name                string
	BandP95             []time.Duration // 95th percentile to the first token, by length band
	BandMedian          []time.Duration
	ShortP95            time.Duration // 95th percentile of short requests
	LongTokensPerSecond float64       // prompt tokens per second of long prompts answered in time
	OnTimeShare         float64
	Starved             int
	Violations          int
	Requests            int
	CacheHitRatio       float64 // part of the shared blocks that were cached
	MaxEngineShare      float64 // largest share of the attempts on one engine
}

// Measure runs a setting and takes its figures.
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
	figures.load(fleet)
	return figures, nil
}

func (f *Figures) load(fleet *Fleet) {
	var hit, asked uint64
	most, sum := 0, 0
	for _, e := range fleet.Engines {
		hit, asked = hit+e.HitBlocks, asked+e.RequestedBlocks
		most, sum = max(most, e.Arrivals), sum+e.Arrivals
		f.Violations += e.Violations
	}
	f.CacheHitRatio = float64(hit) / float64(max(1, asked))
	f.MaxEngineShare = float64(most) / float64(max(1, sum))
}

// WithoutLong measures the short requests of the same plan without the long prompts.
func (s Experiment) WithoutLong() (Figures, error) {
	s.Drop = func(p workload.PlannedRequest) bool { return p.PromptTokens > LongTokens }
	return s.Measure("without long")
}

// ComparePolicies compares all policies, and fewest-outstanding on engines that pass
// over priorities, on one workload.
func ComparePolicies(s Experiment) (alone Figures, list []Figures, err error) {
	s.Options.Policy = "adaptive"
	if alone, err = s.WithoutLong(); err != nil {
		return alone, nil, err
	}
	for _, name := range routing.PolicyNames {
		s.Options.Policy = name
		figures, err := s.Measure(name)
		if err != nil {
			return alone, nil, err
		}
		list = append(list, figures)
	}
	s.Options.Policy, s.Options.IgnorePriority = "fewest-outstanding", true
	figures, err := s.Measure("fewest, no priority")
	return alone, append(list, figures), err
}

// Print writes figures as a table; slowdown and long throughput are ratios.
func Print(w io.Writer, title string, alone Figures, list []Figures) {
	fmt.Fprintf(w, "\n%s: %d requests; without long prompts short p95 %s\n", title, list[0].Requests, alone.ShortP95.Round(time.Millisecond))
	fmt.Fprintf(w, "%-22s %9s %9s %9s %9s %9s %9s %7s %7s %8s %6s %6s\n", "policy", "p95<=4k", "<=32k", "<=100k", "<=1M",
		"slowdown", "long k/s", "met", "starved", "breaches", "reuse", "most")
	for _, f := range append([]Figures{alone}, list...) {
		fmt.Fprintf(w, "%-22s", f.Name)
		for _, band := range f.BandP95 {
			fmt.Fprintf(w, " %9s", band.Round(time.Millisecond))
		}
		fmt.Fprintf(w, " %9.3f %9.1f %7.4f %7d %8d %6.3f %6.3f\n", float64(f.ShortP95)/float64(alone.ShortP95), f.LongTokensPerSecond/1000, f.OnTimeShare, f.Starved, f.Violations, f.CacheHitRatio, f.MaxEngineShare)
	}
}
