package bench

import (
	"fmt"
	"io"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/trials/workload"
)

// Setting is one experiment under load.
type Setting struct {
	Workload workload.Workload
	Load     float64       // part of the engines' prefill capacity
	Warm     time.Duration // passed over, at half the rate
	Measured time.Duration
	Drop     func(workload.Planned) bool // requests left out of the plan
	Options  Options
}

// Base is a fleet of 25 engines in three data centres.
func Base(seed uint64, policy string) Options {
	return Options{Seed: seed, Policy: policy, Endpoints: 25, DataCentres: 3, Entries: 4}
}

// Rate is the requests per second that make the setting's load.
func (s Setting) Rate() float64 {
	return s.Load * float64(s.Options.Endpoints) * StepRate / MeanTokens(s.Workload, s.Options.Seed)
}

// Jobs plans the setting's requests: until Warm, every second one only.
func (s Setting) Jobs() []Job {
	var kept []workload.Planned
	for _, p := range s.Workload.Plan(s.Options.Seed, s.Rate(), s.Warm+s.Measured) {
		if p.At < s.Warm/2 && p.Number%2 == 0 || s.Drop != nil && s.Drop(p) {
			continue
		}
		kept = append(kept, p)
	}
	return Jobs(kept)
}

// Run runs the setting on a fleet of its own.
func (s Setting) Run() ([]Outcome, *Fleet, error) {
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
	Name      string
	Bands     []time.Duration // 95th percentile to the first token, by length band
	Median    []time.Duration
	Short     time.Duration // 95th percentile of short requests
	LongRate  float64       // prompt tokens per second of long prompts answered in time
	Met       float64
	Starved   int
	Breaches  int
	Requests  int
	Reuse     float64 // part of the shared blocks that were cached
	MostShare float64 // largest share of the attempts on one engine
}

// Measure runs a setting and takes its figures.
func (s Setting) Measure(name string) (Figures, error) {
	outcomes, fleet, err := s.Run()
	if err != nil {
		return Figures{}, err
	}
	all := Between(outcomes, 0, 1<<30, s.Warm)
	figures := Figures{Name: name, Requests: len(all), Met: MetShare(all), Starved: Starved(all)}
	from := 0
	for _, to := range Bands {
		band := Between(all, from, to, s.Warm)
		figures.Bands = append(figures.Bands, Percentile(band, 0.95))
		figures.Median = append(figures.Median, Percentile(band, 0.5))
		from = to
	}
	figures.Short = Percentile(Between(all, 0, ShortTokens, s.Warm), 0.95)
	figures.LongRate = MetTokens(Between(all, LongTokens, 1<<30, s.Warm)) / s.Measured.Seconds()
	figures.load(fleet)
	return figures, nil
}

func (f *Figures) load(fleet *Fleet) {
	var hit, asked uint64
	most, sum := 0, 0
	for _, e := range fleet.Engines {
		hit, asked = hit+e.HitBlock, asked+e.AskBlock
		most, sum = max(most, e.Arrivals), sum+e.Arrivals
		f.Breaches += e.Breaches
	}
	f.Reuse = float64(hit) / float64(max(1, asked))
	f.MostShare = float64(most) / float64(max(1, sum))
}

// Alone measures the short requests of the same plan without the long prompts.
func (s Setting) Alone() (Figures, error) {
	s.Drop = func(p workload.Planned) bool { return p.PromptTokens > LongTokens }
	return s.Measure("without long")
}

// Policies compares all policies, and fewest-outstanding on engines that pass
// over priorities, on one workload.
func Policies(s Setting) (alone Figures, list []Figures, err error) {
	s.Options.Policy = "adaptive"
	if alone, err = s.Alone(); err != nil {
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
	s.Options.Policy, s.Options.Plain = "fewest-outstanding", true
	figures, err := s.Measure("fewest, no priority")
	return alone, append(list, figures), err
}

// Print writes figures as a table; slowdown and long throughput are ratios.
func Print(w io.Writer, title string, alone Figures, list []Figures) {
	fmt.Fprintf(w, "\n%s: %d requests; without long prompts short p95 %s\n", title, list[0].Requests, alone.Short.Round(time.Millisecond))
	fmt.Fprintf(w, "%-22s %9s %9s %9s %9s %9s %9s %7s %7s %8s %6s %6s\n", "policy", "p95<=4k", "<=32k", "<=100k", "<=1M",
		"slowdown", "long k/s", "met", "starved", "breaches", "reuse", "most")
	for _, f := range append([]Figures{alone}, list...) {
		fmt.Fprintf(w, "%-22s", f.Name)
		for _, band := range f.Bands {
			fmt.Fprintf(w, " %9s", band.Round(time.Millisecond))
		}
		fmt.Fprintf(w, " %9.3f %9.1f %7.4f %7d %8d %6.3f %6.3f\n", float64(f.Short)/float64(alone.Short), f.LongRate/1000, f.Met, f.Starved, f.Breaches, f.Reuse, f.MostShare)
	}
}
