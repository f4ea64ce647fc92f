// Package admission decides whether a request may start: by the contract's
// quota, leased from control, and by its deadlines.
package admission

import (
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Deadlines are the moments by which an answer must begin and be whole.
type Deadlines struct {
	FirstToken  time.Time // zero when the contract sets none
	WholeAnswer time.Time
	Band        string // label of the length band, for metrics
}

const (
	defaultWhole = 10 * time.Minute
	// bandDefault is the label where the contract has no band for a length.
	bandDefault = "default"
)

// DeadlinesFor returns the deadlines of a prompt of the given length that
// arrived at now. A caller's own limit, if positive, shortens them.
func DeadlinesFor(contract *wire.Contract, tokens uint64, now time.Time, limit time.Duration) Deadlines {
	d := Deadlines{WholeAnswer: now.Add(defaultWhole), Band: bandDefault}
	for _, band := range contract.GetDeadlines() {
		if tokens > uint64(band.UpToTokens) {
			continue
		}
		d.Band = bandLabel(band.UpToTokens)
		if band.FirstTokenMs > 0 {
			d.FirstToken = now.Add(time.Duration(band.FirstTokenMs) * time.Millisecond)
		}
		if band.WholeAnswerMs > 0 {
			d.WholeAnswer = now.Add(time.Duration(band.WholeAnswerMs) * time.Millisecond)
		}
		break
	}
	if limit > 0 && now.Add(limit).Before(d.WholeAnswer) {
		d.WholeAnswer = now.Add(limit)
	}
	if !d.FirstToken.IsZero() && d.WholeAnswer.Before(d.FirstToken) {
		d.FirstToken = d.WholeAnswer
	}
	return d
}

// bandLabels are the upper bounds of length classes in tokens. They are fixed,
// so that contracts can't raise the number of series.
var bandLabels = []struct {
	upTo  uint32
	label string
}{{1 << 10, "1k"}, {4 << 10, "4k"}, {16 << 10, "16k"}, {64 << 10, "64k"}, {128 << 10, "128k"}, {256 << 10, "256k"}, {1 << 20, "1m"}}

func bandLabel(upTo uint32) string {
	for _, b := range bandLabels {
		if upTo <= b.upTo {
			return b.label
		}
	}
	return "over_1m"
}

// LengthBand is the metrics label of a prompt's length.
func LengthBand(tokens uint64) string { return bandLabel(uint32(min(tokens, 1<<31))) }
