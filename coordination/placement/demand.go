package placement

import "time"

const (
	// demandWindow is the time over which the demand is summed. A shorter window follows
	// single long prompts; a longer one lags behind a mix of lengths that changes within a
	// second.
	demandWindow = time.Second
	// Up to a load of spreadLongLoad by long prompts, short answers are spread as in a large
	// fleet without long prompts. From packLongLoad on, they get the bonus of a small fleet.
	spreadLongLoad = 0.1
	packLongLoad   = 0.4
)

// demand sums the prefill of the long prompts that all entries place on one endpoint. Long
// prompts are published to all data centres, so all entries have the same sum up to the delay
// of the updates, and none depends on another process for it.
type demand struct {
	windowStart time.Time
	currentMs   float64 // in the running window
	previousMs  float64 // in the window before it
}

// add counts prefill that is placed at now.
func (d *demand) add(prefillMs float64, now time.Time) {
	d.advance(now)
	d.currentMs += prefillMs
}

// load returns the share of the endpoint's time that long prompts of the last demandWindow
// take. It may exceed 1.
func (d *demand) load(now time.Time) float64 {
	d.advance(now)
	elapsed := float64(now.Sub(d.windowStart)) / float64(demandWindow)
	return (d.currentMs + d.previousMs*(1-elapsed)) / float64(demandWindow.Milliseconds())
}

// advance starts new windows until now lies in the running one.
func (d *demand) advance(now time.Time) {
	age := now.Sub(d.windowStart)
	switch {
	case age < demandWindow:
		return
	case age < 2*demandWindow:
		d.windowStart, d.previousMs = d.windowStart.Add(demandWindow), d.currentMs
	default:
		d.windowStart, d.previousMs = now, 0
	}
	d.currentMs = 0
}

// longLoad returns the mean load of the candidates by long prompts.
func longLoad(candidates []*candidate, now time.Time) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.state.demand.load(now)
	}
	return sum / float64(max(1, len(candidates)))
}

// demandPacking returns the packing rule of a large fleet for a load by long prompts. The
// more endpoints are needed to prefill long prompts, the fewer are left to short answers,
// which are packed there. While short prompts dominate, they are spread: entries that
// choose at the same moment would otherwise put a burst into the same passes.
func demandPacking(longLoad float64) packing {
	packed := min(1, max(0, (longLoad-spreadLongLoad)/(packLongLoad-spreadLongLoad)))
	rule := largeFleetPacking
	rule.bonusShare += packed * (smallFleetPacking.bonusShare - rule.bonusShare)
	return rule
}
