package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apricotspoke/apricotspoke/trials/workload"
)

// Outcome is what became of a request.
type Outcome int

// The outcomes.
const (
	Correct Outcome = iota // whole, and byte for byte its own
	Wrong                  // called whole, but not its own bytes
	Refused                // answered that nothing ran
	Failed                 // anything else
)

// Observation is what a caller saw of one request. Times count from the planned
// send time.
type Observation struct {
	Outcome     Outcome
	FirstToken  time.Duration
	WholeAnswer time.Duration
}

const (
	shortestRecorded = 1             // microseconds
	longestRecorded  = 10 * 60 * 1e6 // microseconds
	significant      = 3             // digits kept by the histograms
	allLengths       = "all"         // the band of every request
)

// bandLimits are the upper ends of the bands of prompt lengths, in tokens.
var bandLimits = []struct {
	Name   string
	Tokens int
}{
	{"up to 4 k", 4_000},
	{"up to 32 k", 32_000},
	{"up to 100 k", 100_000},
	{"up to 1 M", 1_000_000},
}

// Recorder collects observations by band of prompt length.
type Recorder struct {
	elapsed time.Duration

	mu    sync.Mutex
	bands map[string]*band
}

type band struct {
	outcomes   [Failed + 1]int
	tokens     int // generated, in correct answers
	firstToken *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
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
		firstToken: hdrhistogram.New(shortestRecorded, longestRecorded, significant),
		whole:      hdrhistogram.New(shortestRecorded, longestRecorded, significant),
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
	b.tokens += p.OutputTokens
	_ = b.firstToken.RecordValue(min(o.FirstToken.Microseconds(), longestRecorded))
	_ = b.whole.RecordValue(min(o.WholeAnswer.Microseconds(), longestRecorded))
}
