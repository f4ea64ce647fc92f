package placement

import "slices"

// wideReadingMs is the reading, over all endpoints, from which on work is told
// to the entries of all data centres: prompts that may be read by several
// endpoints have to avoid each other everywhere.
const wideReadingMs = leastSplitMs

// Audience is which entries are to be told of a piece of work. Those of the
// sender's own data centre always are.
type Audience struct {
	Everyone    bool
	DataCentres []string // of the endpoints, when not everyone is told
}

// Includes reports whether the entries of a data centre are told.
func (a Audience) Includes(dataCentre string) bool {
	return a.Everyone || slices.Contains(a.DataCentres, dataCentre)
}

// everyone is the audience of news that concerns all entries.
var everyone = Audience{Everyone: true}

// isWide reports whether all entries are told of work with so much reading on
// each of its endpoints.
func isWide(readingMs float64, endpoints int) bool {
	return readingMs*float64(endpoints) >= wideReadingMs
}

func audienceOf(p *Plan) Audience {
	if isWide(p.reading.Ms, len(p.Endpoints)) {
		return everyone
	}
	var a Audience
	for _, e := range p.Endpoints {
		if !slices.Contains(a.DataCentres, e.DataCentre) {
			a.DataCentres = append(a.DataCentres, e.DataCentre)
		}
	}
	return a
}
