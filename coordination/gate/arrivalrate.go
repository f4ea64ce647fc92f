package gate

import (
	"math"
	"time"
)

// flowTime is the time over which the rate of arriving prompt tokens is taken.
const flowTime = 5 * time.Second

// flow is the rate of arriving prompt tokens by engine priority.
type flow struct {
	parts map[int64]flowPart
}

type flowPart struct {
	tokens float64 // decayed sum
	at     time.Time
}

func (p flowPart) decayed(now time.Time) float64 {
	return p.tokens * math.Exp(-now.Sub(p.at).Seconds()/flowTime.Seconds())
}

func (f *flow) add(priority int64, tokens uint64, now time.Time) {
	if f.parts == nil {
		f.parts = make(map[int64]flowPart)
	}
	f.parts[priority] = flowPart{f.parts[priority].decayed(now) + float64(tokens), now}
}

// above is the tokens per second that go before an attempt of that priority.
func (f *flow) above(priority int64, now time.Time) float64 {
	sum := 0.0
	for p, part := range f.parts {
		if p > priority {
			sum += part.decayed(now)
		}
	}
	return sum / flowTime.Seconds()
}
