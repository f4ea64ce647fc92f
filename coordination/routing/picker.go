package routing

import "math/rand/v2"

// Candidate is an endpoint that passed the filters, with the sum of its
// scorers' costs.
type Candidate struct {
	Endpoint *Endpoint
	Cost     float64
}

// Picker chooses one of at least one candidate.
type Picker interface {
	Pick(candidates []Candidate) Candidate
}

// IntN returns a random number in [0,n). A nil IntN uses the global source of
// math/rand; experiments set their own for repeatable runs.
type IntN func(n int) int

func (f IntN) intN(n int) int {
	if f == nil {
		return rand.IntN(n)
	}
	return f(n)
}

const (
	// Costs that exceed the least by no more than the greater of these two are
	// treated as equal.
	nearRatio   = 0.10 // of the least cost
	nearSeconds = 0.005
)

// NearBestPicker picks at random among the candidates whose cost is close to
// the least, so that entries that see the same reports do not all choose the
// same endpoint.
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
		if p.Random.intN(near) == 0 {
			chosen = c
		}
	}
	return chosen
}
