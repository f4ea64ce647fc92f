package bench

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/workload"
)

// LengthBands of prompt lengths in tokens, by their upper bound.
var LengthBands = []int{4_000, 32_000, 100_000, 1 << 20}

// ShortTokens and LongTokens bound short prompts from above and long ones from below.
const (
	ShortTokens = 4_000
	LongTokens  = 100_000
)

// ByLength keeps the outcomes of prompts above from and up to to tokens that
// were planned at start or later.
func ByLength(outcomes []Outcome, from, to int, start time.Duration) (kept []Outcome) {
	for _, o := range outcomes {
		if o.PromptTokens > from && o.PromptTokens <= to && o.At >= start {
			kept = append(kept, o)
		}
	}
	return kept
}

// FirstTokenPercentile is of the time to the first token; a request without one counts
// as the longest.
func FirstTokenPercentile(outcomes []Outcome, part float64) time.Duration {
	if len(outcomes) == 0 {
		return 0
	}
	times := make([]time.Duration, len(outcomes))
	for i, o := range outcomes {
		times[i] = o.FirstToken
		if o.FirstToken == 0 {
			times[i] = time.Hour
		}
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(part*float64(len(times))))]
}

// OnTimeShare is the share of requests answered in time.
func OnTimeShare(outcomes []Outcome) float64 {
	met := 0
	for _, o := range outcomes {
		if o.OnTime {
			met++
		}
	}
	return float64(met) / float64(max(1, len(outcomes)))
}

// OnTimeTokens sums the prompt tokens of the requests answered in time.
func OnTimeTokens(outcomes []Outcome) (sum float64) {
	for _, o := range outcomes {
		if o.OnTime {
			sum += float64(o.PromptTokens)
		}
	}
	return sum
}

// Starved counts the requests that were neither answered in time nor refused at once.
func Starved(outcomes []Outcome) (count int) {
	for _, o := range outcomes {
		if !o.OnTime && (!o.Refused() || o.Total > refusalLimit) {
			count++
		}
	}
	return count
}

// refusalLimit is the longest time until a refusal that is at once.
const refusalLimit = 100 * time.Millisecond

// MeanPromptTokens is the mean prompt length of a workload.
func MeanPromptTokens(w workload.Workload, seed uint64) float64 {
	sum, plan := 0.0, w.Plan(seed+1_000, 100, 1000*time.Second)
	for _, p := range plan {
		sum += float64(p.PromptTokens)
	}
	return sum / float64(len(plan))
}
