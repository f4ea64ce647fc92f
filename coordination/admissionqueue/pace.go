package admissionqueue

import "time"

const (
	// minGaps is how many gaps must be known before their mean counts. With fewer, a few
	// placements at the same moment look like a fast pace; with more, short overloads end
	// before the pace is known.
	minGaps = 8
	// paceSmoothing is the weight of the newest gap in the mean. A larger one follows single
	// bursts; with a smaller one, the overload may end before a change of the capacity shows.
	paceSmoothing = 0.05
	// paceMaxAge is how long the mean counts after the last gap. Without a bound, the mean of
	// a time in which the endpoints stalled would shed so many requests that no gap could be
	// measured again.
	paceMaxAge = time.Second
)

// pace is the mean time between placements while requests wait. Other placements come as
// fast as requests arrive, which says nothing about the capacity.
type pace struct {
	mean      time.Duration
	gaps      int
	lastAt    time.Time // of the last placement
	measuring bool      // requests have waited since lastAt
	gapAt     time.Time // when the last gap ended
}

// placed records a placement. waiting tells whether it leaves other requests waiting.
func (p *pace) placed(now time.Time, waiting bool) {
	if p.measuring {
		p.gaps++
		weight := max(paceSmoothing, 1/float64(p.gaps))
		p.mean += time.Duration(weight * float64(now.Sub(p.lastAt)-p.mean))
		p.gapAt = now
	}
	p.lastAt, p.measuring = now, waiting
}

// interval returns the mean gap, 0 if it isn't known or too old.
func (p *pace) interval(now time.Time) time.Duration {
	if p.gaps < minGaps {
		return 0
	}
	if now.Sub(p.gapAt) > paceMaxAge {
		p.gaps = 0
		return 0
	}
	return p.mean
}
