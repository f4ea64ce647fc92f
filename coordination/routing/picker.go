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

// IntN gives a random number from 0 up to and without n. A nil one uses the
// shared source; experiments set their own, so that runs repeat.
type IntN func(n int) int

func (f IntN) below(n int) int {
	if f == nil {
		return rand.IntN(n)
	}
	return f(n)
}

const (
	nearRatio   = 0.10  // share of the least cost within which candidates are equal
	nearSeconds = 0.005 // and the least difference that counts
)

// NearBestPicker takes one at random of those whose cost is near the least, so
// that entries which see the same reports do not all choose the same endpoint.
type NearBestPicker struct{ Random IntN }

// Pick implements Picker.
func (p NearBestPicker) Pick(candidates []Candidate) Candidate {
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
		if p.Random.below(near) == 0 {
			chosen = c
		}
	}
	return chosen
}
