package routing

// sampleSize is the number of candidates compared.
const sampleSize = 3

// SampledPicker compares a few random candidates. Reports lag, and of all
// candidates every entry would find the same ones best until the next report.
type SampledPicker struct{ Random IntN }

// Pick implements Picker.
func (p SampledPicker) Pick(candidates []Candidate) Candidate {
	return NearBestPicker(p).Pick(p.Random.sample(candidates))
}

// sample moves sampleSize random candidates to the front and returns them.
func (f IntN) sample(candidates []Candidate) []Candidate {
	if len(candidates) <= sampleSize {
		return candidates
	}
	for i := range sampleSize {
		j := i + f.below(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:sampleSize]
}
