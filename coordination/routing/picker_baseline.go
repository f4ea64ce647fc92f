package routing

import "sync/atomic"

// RandomPicker picks any candidate.
type RandomPicker struct{ Random IntN }

// Pick implements Picker.
func (p RandomPicker) Pick(candidates []Candidate) Candidate {
	return candidates[p.Random.intN(len(candidates))]
}

// RoundRobinPicker picks the candidates in turn.
type RoundRobinPicker struct{ next atomic.Uint64 }

// Pick implements Picker.
func (p *RoundRobinPicker) Pick(candidates []Candidate) Candidate {
	return candidates[(p.next.Add(1)-1)%uint64(len(candidates))]
}

// LeastCostPicker picks a candidate of the least cost, at random among equals.
type LeastCostPicker struct{ Random IntN }

// Pick implements Picker.
func (p LeastCostPicker) Pick(candidates []Candidate) Candidate {
	chosen, equal := candidates[0], 1
	for _, c := range candidates[1:] {
		if c.Cost < chosen.Cost {
			chosen, equal = c, 1
		} else if c.Cost == chosen.Cost {
			equal++
			if p.Random.intN(equal) == 0 {
				chosen = c
			}
		}
	}
	return chosen
}
