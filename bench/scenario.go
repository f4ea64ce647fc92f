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

// OverloadFigures compare a load of twice the capacity with one at capacity. All
// but the two ratios are those at twice the capacity.
type OverloadFigures struct {
	GoodputRatio, TokenGoodputRatio float64       // answers on time and their prompt tokens, relative to those at capacity
	OnTimeShare                     float64       // share of the requests answered on time
	Starved                         int           // requests neither answered on time nor refused immediately
	LongestRefusal                  time.Duration // longest time until a request was refused
	NoRetryAfter                    int           // refusals without a Retry-After
	Requests                        int
}

// Overload runs the experiment at capacity and at twice the capacity.
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
		figures.countRefusals(all)
	}
	figures.GoodputRatio, figures.TokenGoodputRatio = answers[1]/answers[0], tokens[1]/tokens[0]
	return figures, nil
}

// countRefusals sets the figures of refused requests.
func (f *OverloadFigures) countRefusals(all []Outcome) {
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

// Print writes the figures in one line.
func (f OverloadFigures) Print(w io.Writer, name string) {
	fmt.Fprintf(w, "\n%s at twice capacity: %d requests, answers on time %.3f and their tokens %.3f of those at capacity, share on time %.3f, starved %d, longest refusal %s, without Retry-After %d\n",
		name, f.Requests, f.GoodputRatio, f.TokenGoodputRatio, f.OnTimeShare, f.Starved, f.LongestRefusal.Round(time.Millisecond), f.NoRetryAfter)
}

// PeakWithRetries runs a peak of twice the capacity, in which each refused caller
// retries once after its Retry-After. It returns the number of retried requests
// and the share of them that is answered on time.
func PeakWithRetries(s Experiment, peak time.Duration) (retried int, onTimeShare float64, err error) {
	f, err := NewFleet(s.Options)
	if err != nil {
		return 0, 0, err
	}
	s.Load = 2
	jobs := s.Jobs()
	kept := jobs[:0]
	for _, job := range jobs { // capacity during WarmUp, half of it after the peak
		if job.At < s.WarmUp && job.Number%2 == 0 || job.At > s.WarmUp+peak && job.Number%4 != 0 {
			continue
		}
		kept = append(kept, job)
	}
	f.retryRefused = true
	outcomes := f.Run(kept, nil)
	f.Stop()
	onTime := 0
	for _, o := range outcomes {
		if o.Retried {
			retried++
			if o.OnTime {
				onTime++
			}
		}
	}
	return retried, float64(onTime) / float64(max(1, retried)), nil
}

// FaultyEngine runs the experiment with one engine that fails every request. It
// returns the attempts per request, without those refused, and the share of the
// requests answered on time.
func FaultyEngine(s Experiment) (attempts, onTimeShare float64, err error) {
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

// DataCentreOutFigures describe a data centre that is taken out of service and
// returned.
type DataCentreOutFigures struct {
	Before, AroundOut, AroundIn float64 // shares of the requests answered on time
	Violations                  int     // attempts beyond what an engine admits
	PeakColdAttempts            int     // most attempts at once on a returned engine before its first one finished
	Ramp                        []int   // attempts on the returned engines, second by second
}

// DataCentreOut takes a data centre, a third of the fleet, out of service when
// WarmUp and Measured have passed and returns it cold when a further out has
// passed. The run then goes on for as long as the given Measured.
func DataCentreOut(s Experiment, out time.Duration) (DataCentreOutFigures, error) {
	const halfWindow = 10 * time.Second // around the removal and the return
	var figures DataCentreOutFigures
	f, err := NewFleet(s.Options)
	if err != nil {
		return figures, err
	}
	outAt := s.WarmUp + s.Measured
	backAt := outAt + out
	s.Measured += out + s.Measured
	go func() {
		time.Sleep(outAt)
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
	figures.Before = OnTimeShare(plannedBetween(outcomes, s.WarmUp, outAt-halfWindow))
	figures.AroundOut = OnTimeShare(plannedBetween(outcomes, outAt-halfWindow, outAt+halfWindow))
	figures.AroundIn = OnTimeShare(plannedBetween(outcomes, backAt-halfWindow, backAt+halfWindow))
	for _, e := range f.Engines {
		figures.Violations += e.Violations
	}
	return figures, nil
}

// plannedBetween returns the outcomes of requests planned at from or later and
// before to.
func plannedBetween(outcomes []Outcome, from, to time.Duration) (kept []Outcome) {
	for _, o := range outcomes {
		if o.At >= from && o.At < to {
			kept = append(kept, o)
		}
	}
	return kept
}

const (
	prefixCount     = 200
	blocksPerPrefix = 8     // of each
	uniqueTokens    = 2_000 // of a prompt, after its prefix
	zipfExponent    = 1.2   // of the distribution of the prefixes; a larger one concentrates the prompts on fewer of them
)

// PrefixJobs plans equally long prompts, each of which begins with one of
// prefixCount prefixes, chosen by a Zipf distribution. Of the experiment it uses
// only Load, Measured and Options. NewFleet draws from PCG(Seed, 2); the 3 here
// gives other random numbers. Load counts only the prefill; answers of more than
// 32 tokens would load the engines beyond it.
func PrefixJobs(s Experiment) []Job {
	random := rand.New(rand.NewPCG(s.Options.Seed, 3))
	zipf := rand.NewZipf(random, zipfExponent, 1, prefixCount-1)
	mean := float64(blocksPerPrefix*prompt.BlockTokens + uniqueTokens)
	rate := s.Load * float64(s.Options.Endpoints) * MaxPrefillTokensPerSecond / mean
	var jobs []Job
	for at := time.Duration(0); at < s.Measured; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		job := Job{PlannedRequest: workload.PlannedRequest{Number: len(jobs), At: at, Organisation: "o",
			PromptTokens: blocksPerPrefix*prompt.BlockTokens + uniqueTokens, OutputTokens: 32}}
		prefix := fmt.Sprint("prefix", zipf.Uint64())
		for b := range blocksPerPrefix {
			job.Prefix = append(job.Prefix, blockHash(prefix, b))
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// MeasurePrefixes runs PrefixJobs and returns the figures. As all prompts have the
// same length, ShortP95 is that of all of them.
func MeasurePrefixes(s Experiment, name string) (Figures, error) {
	f, err := NewFleet(s.Options)
	if err != nil {
		return Figures{}, err
	}
	outcomes := f.Run(PrefixJobs(s), nil)
	f.Stop()
	figures := Figures{Name: name, Requests: len(outcomes), OnTimeShare: OnTimeShare(outcomes), Starved: Starved(outcomes), ShortP95: FirstTokenPercentile(outcomes, 0.95)}
	figures.addEngineFigures(f)
	return figures, nil
}
