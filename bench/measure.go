package bench

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/workload"
)

// LengthBands are the upper bounds, in tokens, of the prompt lengths that are
// measured separately. They are those of deadlineContract.
var LengthBands = []int{4_000, 32_000, 100_000, 1 << 20}

// A prompt of up to ShortTokens is short, one of more than LongTokens is long.
const (
	ShortTokens = 4_000
	LongTokens  = 100_000
)

// ByLength returns the outcomes of prompts of more than from and at most to
// tokens that were planned at start or later.
func ByLength(outcomes []Outcome, from, to int, start time.Duration) (kept []Outcome) {
	for _, o := range outcomes {
		if o.PromptTokens > from && o.PromptTokens <= to && o.At >= start {
			kept = append(kept, o)
		}
	}
	return kept
}

// FirstTokenPercentile returns the percentile (0.95 for the 95th) of the time to
// the first token. A request without a first token counts as an hour.
func FirstTokenPercentile(outcomes []Outcome, percentile float64) time.Duration {
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
	return times[min(len(times)-1, int(percentile*float64(len(times))))]
}

// OnTimeShare returns the share of the requests that were answered on time.
func OnTimeShare(outcomes []Outcome) float64 {
	onTime := 0
	for _, o := range outcomes {
		if o.OnTime {
			onTime++
		}
	}
	return float64(onTime) / float64(max(1, len(outcomes)))
}

// OnTimeTokens sums the prompt tokens of the requests answered on time.
func OnTimeTokens(outcomes []Outcome) (sum float64) {
	for _, o := range outcomes {
		if o.OnTime {
			sum += float64(o.PromptTokens)
		}
	}
	return sum
}

// Starved counts the requests that were neither answered on time nor refused
// immediately.
func Starved(outcomes []Outcome) (count int) {
	for _, o := range outcomes {
		if !o.OnTime && (!o.Refused() || o.Total > immediateRefusalLimit) {
			count++
		}
	}
	return count
}

// immediateRefusalLimit is the longest time after which a refusal still counts as
// immediate.
const immediateRefusalLimit = 100 * time.Millisecond

// MeanPromptTokens estimates the mean prompt length of a workload from a separate
// plan.
func MeanPromptTokens(w workload.Workload, seed uint64) float64 {
	sum, plan := 0.0, w.Plan(seed+1_000, 100, 1000*time.Second)
	for _, p := range plan {
		sum += float64(p.PromptTokens)
	}
	return sum / float64(len(plan))
}
