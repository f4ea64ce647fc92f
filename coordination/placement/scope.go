package placement

import (
	"slices"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
)

// crossDataCentrePrefillMs is the reading, over all endpoints, from which on work is told
// to the entries of all data centres: prompts that may be read by several
// endpoints have to avoid each other everywhere.
const crossDataCentrePrefillMs = minSplitPrefillMs

// Scope is which entries are to be told of a piece of work.
type Scope int

const (
	// LocalDataCentre are those of the sender's data centre.
	LocalDataCentre Scope = iota
	// AllDataCentres are those of all data centres.
	AllDataCentres
)

// isCrossDataCentre reports whether all entries are told of work with so much reading on
// each of its endpoints.
func isCrossDataCentre(prefillMs float64, endpoints int) bool {
	return prefillMs*float64(endpoints) >= crossDataCentrePrefillMs
}

// scopeOf is everyone for long prompts, and for short ones that leave their
// data centre: entries of others may choose the same endpoints at that moment.
func scopeOf(p *Plan, dataCentre string) Scope {
	leavesDataCentre := slices.ContainsFunc(p.Endpoints, func(e *directory.Endpoint) bool { return e.DataCentre != dataCentre })
	if leavesDataCentre || isCrossDataCentre(p.prefill.Ms, len(p.Endpoints)) {
		return AllDataCentres
	}
	return LocalDataCentre
}
