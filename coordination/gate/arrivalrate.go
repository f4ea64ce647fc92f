package gate

import (
	"math"
	"time"
)

// arrivalRateWindow is the time constant of the exponential decay with which
// the arrival rate is measured.
const arrivalRateWindow = 5 * time.Second

// arrivalRate measures the rate of arriving prompt tokens for each engine
// priority.
type arrivalRate struct {
	sums map[int64]decayedTokens
}

type decayedTokens struct {
	tokens    float64 // exponentially decayed sum
	updatedAt time.Time
}

func (d decayedTokens) decayed(now time.Time) float64 {
	return d.tokens * math.Exp(-now.Sub(d.updatedAt).Seconds()/arrivalRateWindow.Seconds())
}

func (r *arrivalRate) add(priority int64, tokens uint64, now time.Time) {
	if r.sums == nil {
		r.sums = make(map[int64]decayedTokens)
	}
	r.sums[priority] = decayedTokens{r.sums[priority].decayed(now) + float64(tokens), now}
}

// higherPriorityRate returns the arrival rate of attempts that go before one of
// the given priority, in tokens per second.
func (r *arrivalRate) higherPriorityRate(priority int64, now time.Time) float64 {
	sum := 0.0
	for p, part := range r.sums {
		if p > priority {
			sum += part.decayed(now)
		}
	}
	return sum / arrivalRateWindow.Seconds()
}
