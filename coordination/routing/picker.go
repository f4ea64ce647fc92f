package routing

import "math/rand/v2"

// Candidate is an endpoint that passed the filters, with its cost in seconds.
type Candidate struct {
	Endpoint *Endpoint
	Cost     float64
}

// Picker chooses one of the candidates, of which there is at least one.
type Picker interface {
	Pick(candidates []Candidate) Candidate
}

const (
	nearRatio   = 0.10  // share of the least cost within which candidates are equal
	nearSeconds = 0.005 // and the least difference that counts
)

// NearBestPicker takes one at random of those whose cost is near the least, so
// that entries which see the same reports do not all choose the same endpoint.
type NearBestPicker struct{}

// Pick implements Picker.
func (NearBestPicker) Pick(candidates []Candidate) Candidate {
	least := candidates[0].Cost
	for _, c := range candidates {
		least = min(least, c.Cost)
	}
	bound := least + max(nearSeconds, nearRatio*max(least, -least))
	chosen, near := candidates[0], 0
	for _, c := range candidates {
		if c.Cost > bound {
			continue
		}
		near++
		if rand.IntN(near) == 0 {
			chosen = c
		}
	}
	return chosen
}
