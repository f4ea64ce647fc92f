package routing

// sampleSize is the number of candidates that are compared.
const sampleSize = 3

// SampledPicker applies NearBestPicker to a few random candidates. Reports lag:
// if every entry compared all candidates, all entries would choose the same few
// until the next report.
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
		j := i + f.intN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:sampleSize]
}
