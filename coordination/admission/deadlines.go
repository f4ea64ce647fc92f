// Package admission decides whether a request may start: it acquires quota of
// the contract, which is leased from the control group, and sets the deadlines
// of the request.
package admission

import (
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Deadlines are the times by which an answer must begin and be complete.
type Deadlines struct {
	FirstToken  time.Time // zero when the contract sets none
	WholeAnswer time.Time
	Band        string // metrics label of the length band that applies, see LengthBand
}

const (
	// defaultTimeLimit is the time limit of the whole answer when the contract
	// sets none.
	defaultTimeLimit = 10 * time.Minute
	// defaultBand is the label when the contract has no band for the length.
	defaultBand = "default"
)

// DeadlinesFor returns the deadlines of a request that arrived at now with a
// prompt of the given number of tokens. A positive limit, set by the caller,
// shortens them.
func DeadlinesFor(contract *wire.Contract, tokens uint64, now time.Time, limit time.Duration) Deadlines {
	d := Deadlines{WholeAnswer: now.Add(defaultTimeLimit), Band: defaultBand}
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

// lengthBands are the upper limits of the length bands of the metrics, in
// tokens. A band of a contract is counted under the smallest of these that
// contains its limit, so that contracts cannot increase the number of metric
// series.
var lengthBands = []struct {
	upTo  uint32
	label string
}{{1 << 10, "1k"}, {4 << 10, "4k"}, {16 << 10, "16k"}, {64 << 10, "64k"}, {128 << 10, "128k"}, {256 << 10, "256k"}, {1 << 20, "1m"}}

func bandLabel(upTo uint32) string {
	for _, b := range lengthBands {
		if upTo <= b.upTo {
			return b.label
		}
	}
	return "over_1m"
}

// LengthBand returns the metrics label for a prompt length in tokens. All
// lengths above 1 << 20 share a label, so the limit of 1 << 31 only keeps the
// conversion from overflowing.
func LengthBand(tokens uint64) string { return bandLabel(uint32(min(tokens, 1<<31))) }
