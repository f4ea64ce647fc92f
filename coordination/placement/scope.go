package placement

import (
	"slices"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
)

// crossDataCentrePrefillMs is the prefill, summed over all endpoints, from which on
// work is published to all data centres: prompts that may be split over several
// endpoints must avoid each other everywhere.
const crossDataCentrePrefillMs = minSplitPrefillMs

// Scope says to which entries the events of a work item are published.
type Scope int

const (
	// LocalDataCentre stands for the entries of the sender's data centre.
	LocalDataCentre Scope = iota
	// AllDataCentres stands for the entries of all data centres.
	AllDataCentres
)

// isCrossDataCentre reports whether work with so much prefill at each of its endpoints
// is published to all data centres.
func isCrossDataCentre(prefillMs float64, endpoints int) bool {
	return prefillMs*float64(endpoints) >= crossDataCentrePrefillMs
}

// scopeOf returns AllDataCentres for long prompts, and for short ones sent to another
// data centre, whose entries may choose the same endpoints at that moment.
func scopeOf(p *Plan, dataCentre string) Scope {
	leavesDataCentre := slices.ContainsFunc(p.Endpoints, func(e *directory.Endpoint) bool { return e.DataCentre != dataCentre })
	if leavesDataCentre || isCrossDataCentre(p.prefill.Ms, len(p.Endpoints)) {
		return AllDataCentres
	}
	return LocalDataCentre
}
