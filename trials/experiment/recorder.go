package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apricotspoke/apricotspoke/trials/workload"
)

// Outcome classifies how a request ended.
type Outcome int

// The outcomes.
const (
	Correct Outcome = iota // complete answer, byte for byte the expected text
	Wrong                  // complete answer with another text
	Refused                // the response says that the request was not run
	Failed                 // anything else
)

// Observation is what a caller measured for one request. Durations count from the
// planned send time, so that a delay of the sender is not left out.
type Observation struct {
	Outcome     Outcome
	FirstToken  time.Duration
	WholeAnswer time.Duration
}

const (
	minRecordedUs     = 1             // lower bound of the histograms
	maxRecordedUs     = 10 * 60 * 1e6 // longer durations are recorded as this one
	significantDigits = 3             // precision of the histograms, in decimal digits
	allLengths        = "all"         // name of the band with every request
)

// bandLimits are the upper limits of the prompt length bands. The names give them in
// thousands (k) or millions (M) of tokens. Longer prompts count in the last band.
var bandLimits = []struct {
	Name   string
	Tokens int
}{
	{"up to 4 k", 4_000},
	{"up to 32 k", 32_000},
	{"up to 100 k", 100_000},
	{"up to 1 M", 1_000_000},
}

// Recorder collects observations by prompt length band. It is safe for concurrent use.
type Recorder struct {
	elapsed time.Duration

	mu    sync.Mutex
	bands map[string]*band
}

type band struct {
	outcomes     [Failed + 1]int
	outputTokens int // generated in correct answers
	firstToken   *hdrhistogram.Histogram
	wholeAnswer  *hdrhistogram.Histogram
}

func newRecorder() *Recorder {
	r := &Recorder{bands: map[string]*band{allLengths: newBand()}}
	for _, limit := range bandLimits {
		r.bands[limit.Name] = newBand()
	}
	return r
}

func newBand() *band {
	return &band{
		firstToken:  hdrhistogram.New(minRecordedUs, maxRecordedUs, significantDigits),
		wholeAnswer: hdrhistogram.New(minRecordedUs, maxRecordedUs, significantDigits),
	}
}

func bandOf(tokens int) string {
	for _, limit := range bandLimits {
		if tokens <= limit.Tokens {
			return limit.Name
		}
	}
	return bandLimits[len(bandLimits)-1].Name
}

func (r *Recorder) record(p workload.PlannedRequest, o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bands[allLengths].record(p, o)
	r.bands[bandOf(p.PromptTokens)].record(p, o)
}

func (b *band) record(p workload.PlannedRequest, o Observation) {
	b.outcomes[o.Outcome]++
	if o.Outcome != Correct {
		return
	}
	b.outputTokens += p.OutputTokens
	_ = b.firstToken.RecordValue(min(o.FirstToken.Microseconds(), maxRecordedUs))
	_ = b.wholeAnswer.RecordValue(min(o.WholeAnswer.Microseconds(), maxRecordedUs))
}
