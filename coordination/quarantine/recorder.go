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

// ControlGroup records quarantines.
type ControlGroup interface {
	Quarantine(ctx context.Context, q catalogue.QuarantinedPart) error
	// LiftQuarantine ends a quarantine that is not final, or any if an operator wants it.
	LiftQuarantine(ctx context.Context, part uint64, byOperator bool) error
}

// Recorder has the control group record the quarantines that this entry has learnt of, so
// that an entry which starts later knows them before it sends a request.
type Recorder struct {
	tracker *Tracker
	group   ControlGroup
	proved  chan bool // whether the request was this entry's own
	logger  *logs.Logger
}

// NewRecorder returns a recorder for a control group. It must be made before the
// tracker is in use.
func NewRecorder(tracker *Tracker, group ControlGroup) *Recorder {
	r := &Recorder{tracker: tracker, group: group, proved: make(chan bool, 1), logger: logs.For("quarantine")}
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
		if len(r.tracker.Unrecorded()) == 0 && len(r.tracker.Disproved()) == 0 {
			continue
		}
		if !own && !wait.For(ctx, rand.N(maxRecordDelay)) {
			return
		}
		r.submit(ctx)
	}
}

// submit has all changes recorded. What fails is tried again after recordInterval.
func (r *Recorder) submit(ctx context.Context) {
	for _, q := range r.tracker.Unrecorded() {
		if err := r.group.Quarantine(ctx, q); err != nil {
			r.logger.Warn().Uint64("part", q.Key).Err(err).Msg("A quarantine is not recorded yet; it is tried again.")
		}
	}
	for _, part := range r.tracker.Disproved() {
		if err := r.group.LiftQuarantine(ctx, part, false); err != nil {
			r.logger.Warn().Uint64("part", part).Err(err).Msg("The end of a quarantine is not recorded yet; it is tried again.")
		}
	}
}
