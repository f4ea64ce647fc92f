package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/prompt"
	"github.com/apricotspoke/apricotspoke/trials/workload"
)

// OverloadFigures compare twice the capacity with the capacity.
type OverloadFigures struct {
	GoodputRatio, TokenGoodputRatio float64       // in time, per second, over those at capacity
	OnTimeShare                     float64       // share at twice the capacity
	Starved                         int           // neither answered in time nor refused at once
	LongestRefusal                  time.Duration // until a refusal
	NoRetryAfter                    int           // refusals that do not say when to return
	Requests                        int
}

// Overload runs the setting at capacity and at twice that.
func Overload(s Experiment) (OverloadFigures, error) {
	var answers, tokens [2]float64
	figures := OverloadFigures{}
	for i, load := range []float64{1, 2} {
		s.Load = load
		outcomes, _, err := s.Run()
		if err != nil {
			return figures, err
		}
		all := ByLength(outcomes, 0, 1<<30, s.WarmUp)
		figures.OnTimeShare, figures.Requests = OnTimeShare(all), len(all)
		answers[i], tokens[i] = figures.OnTimeShare*float64(len(all)), OnTimeTokens(all)
		figures.Starved = Starved(all)
		figures.refusals(all)
	}
	figures.GoodputRatio, figures.TokenGoodputRatio = answers[1]/answers[0], tokens[1]/tokens[0]
	return figures, nil
}

func (f *OverloadFigures) refusals(all []Outcome) {
	f.LongestRefusal, f.NoRetryAfter = 0, 0
	for _, o := range all {
		if o.Refused() {
			f.LongestRefusal = max(f.LongestRefusal, o.Total)
			if fault.From(o.Err).RetryAfter <= 0 {
				f.NoRetryAfter++
			}
		}
	}
}

// Print writes the figures.
func (f OverloadFigures) Print(w io.Writer, name string) {
	fmt.Fprintf(w, "\n%s at twice capacity: %d requests, answers in time %.3f and their tokens %.3f of those at capacity, met %.3f, late %d, longest refusal %s, without Retry-After %d\n",
		name, f.Requests, f.GoodputRatio, f.TokenGoodputRatio, f.OnTimeShare, f.Starved, f.LongestRefusal.Round(time.Millisecond), f.NoRetryAfter)
}

// PeakWithRetries sends a peak of twice the capacity, and again each request that was
// refused, after its Retry-After. It gives the share of those that are then
// answered in time.
func PeakWithRetries(s Experiment, peak time.Duration) (returned int, served float64, err error) {
	f, err := NewFleet(s.Options)
	if err != nil {
		return 0, 0, err
	}
	s.Load = 2
	jobs := s.Jobs()
	kept := jobs[:0]
	for _, job := range jobs { // half the load after the peak
		if job.At < s.WarmUp && job.Number%2 == 0 || job.At > s.WarmUp+peak && job.Number%4 != 0 {
			continue
		}
		kept = append(kept, job)
	}
	f.again = true
	outcomes := f.Run(kept, nil)
	f.Stop()
	met := 0
	for _, o := range outcomes {
		if o.Retried {
			returned++
			if o.OnTime {
				met++
			}
		}
	}
	return returned, float64(met) / float64(max(1, returned)), nil
}

// FaultyEngine runs the setting with one engine that fails every call, and gives the
// attempts per request and the share answered in time.
func FaultyEngine(s Experiment) (attempts, met float64, err error) {
	f, err := NewFleet(s.Options)
	if err != nil {
		return 0, 0, err
	}
	f.Engines[0].faulty = true
	outcomes := f.Run(s.Jobs(), nil)
	f.Stop()
	sent := 0
	for _, o := range outcomes {
		sent += o.Attempts - o.Refusals
	}
	return float64(sent) / float64(len(outcomes)), OnTimeShare(outcomes), nil
}

// DataCentreOutFigures are those of a data centre that leaves and returns.
type DataCentreOutFigures struct {
	Before, AroundOut, AroundIn float64 // shares answered in time
	Violations                  int
	PeakColdAttempts            int   // most attempts at once on a cold engine before its first was done
	Ramp                        []int // attempts on the returned engines, each second
}

// DataCentreOut takes a third of the fleet out after the warm time and half of the
// measured time, and brings it back cold after out.
func DataCentreOut(s Experiment, out time.Duration) (DataCentreOutFigures, error) {
	const around = 10 * time.Second
	var figures DataCentreOutFigures
	f, err := NewFleet(s.Options)
	if err != nil {
		return figures, err
	}
	leaves := s.WarmUp + s.Measured
	returns := leaves + out
	s.Measured += out + s.Measured
	go func() {
		time.Sleep(leaves)
		f.SetDataCentre("dc1", true)
		time.Sleep(out)
		cold := f.RestartDataCentre("dc1")
		f.SetDataCentre("dc1", false)
		for range 10 {
			time.Sleep(time.Second)
			sum := 0
			for _, e := range cold {
				e.mu.Lock()
				sum += len(e.work)
				figures.PeakColdAttempts = max(figures.PeakColdAttempts, e.PeakColdAttempts)
				e.mu.Unlock()
			}
			figures.Ramp = append(figures.Ramp, sum)
		}
	}()
	outcomes := f.Run(s.Jobs(), nil)
	f.Stop()
	figures.Before = OnTimeShare(window(outcomes, s.WarmUp, leaves-around))
	figures.AroundOut = OnTimeShare(window(outcomes, leaves-around, leaves+around))
	figures.AroundIn = OnTimeShare(window(outcomes, returns-around, returns+around))
	for _, e := range f.Engines {
		figures.Violations += e.Violations
	}
	return figures, nil
}

func window(outcomes []Outcome, from, to time.Duration) (kept []Outcome) {
	for _, o := range outcomes {
		if o.At >= from && o.At < to {
			kept = append(kept, o)
		}
	}
	return kept
}

const (
	popular       = 200 // prefixes
	popularBlocks = 8
	ownTokens     = 2_000
	popularSkew   = 1.2
)

// PrefixJobs plans prompts that each begin with one of a few popular prefixes.
func PrefixJobs(s Experiment) []Job {
	random := rand.New(rand.NewPCG(s.Options.Seed, 3))
	zipf := rand.NewZipf(random, popularSkew, 1, popular-1)
	mean := float64(popularBlocks*prompt.BlockTokens + ownTokens)
	rate := s.Load * float64(s.Options.Endpoints) * MaxPrefillTokensPerSecond / mean
	var jobs []Job
	for at := time.Duration(0); at < s.Measured; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		job := Job{PlannedRequest: workload.PlannedRequest{Number: len(jobs), At: at, Organisation: "o",
			PromptTokens: popularBlocks*prompt.BlockTokens + ownTokens, OutputTokens: 32}}
		owner := fmt.Sprint("prefix", zipf.Uint64())
		for b := range popularBlocks {
			job.Prefix = append(job.Prefix, blockName(owner, b))
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// MeasurePrefixes runs the popular prefixes and takes the figures.
func MeasurePrefixes(s Experiment, name string) (Figures, error) {
	f, err := NewFleet(s.Options)
	if err != nil {
		return Figures{}, err
	}
	outcomes := f.Run(PrefixJobs(s), nil)
	f.Stop()
	figures := Figures{Name: name, Requests: len(outcomes), OnTimeShare: OnTimeShare(outcomes), Starved: Starved(outcomes), ShortP95: FirstTokenPercentile(outcomes, 0.95)}
	figures.load(f)
	return figures, nil
}
