package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

const (
	// An entry that has not seen the last end itself waits for a random time up to
	// maxRecordDelay before it has a quarantine recorded, as others do so at once.
	maxRecordDelay = 2 * time.Second
	// recordInterval is the pause between two looks for quarantines to be recorded.
	recordInterval = time.Second
)

// Recorder has the control group record the quarantines that this entry has learnt of, so
// that an entry which starts later knows them before it sends a request.
type Recorder struct {
	tracker *Tracker
	submit  func(ctx context.Context, q catalogue.QuarantinedParts) error
	proved  chan bool // whether the request was this entry's own
	logger  *logs.Logger
}

// NewRecorder returns a recorder that records with submit. It must be made before the
// tracker is in use.
func NewRecorder(tracker *Tracker, submit func(ctx context.Context, q catalogue.QuarantinedParts) error) *Recorder {
	r := &Recorder{tracker: tracker, submit: submit, proved: make(chan bool, 1), logger: logs.For("quarantine")}
	tracker.OnProof(func(own bool) {
		select {
		case r.proved <- own:
		default:
		}
	})
	return r
}

// Run records quarantines until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	interval := time.NewTicker(recordInterval)
	defer interval.Stop()
	for {
		own := false
		select {
		case <-ctx.Done():
			return
		case own = <-r.proved:
		case <-interval.C:
		}
		if len(r.tracker.Unrecorded()) == 0 {
			continue
		}
		if !own && !wait.For(ctx, rand.N(maxRecordDelay)) {
			return
		}
		for _, q := range r.tracker.Unrecorded() {
			if err := r.submit(ctx, q); err != nil {
				r.logger.Warn().Uints64("parts", q.Keys).Err(err).Msg("A quarantine is not recorded yet; it is tried again.")
			}
		}
	}
}
