package gate

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	keepAnswer  = 30 * time.Second // answers that may still be resumed
	keepRecord  = time.Hour        // attempts that must never run again
	maxRecords  = 200_000
	maxOutcome  = 64 << 10 // bytes of a recorded answer
	maxOutcomes = 32 << 20 // bytes of all recorded answers
	maxIDBytes  = 256
)

// record is what a gate knows of an attempt identity.
type record struct {
	id      string
	state   wire.AttemptState
	failure *wire.Failure
	outcome *wire.Outcome
	attempt *Attempt // nil once its answer is no longer kept
	at      time.Time
}

// records remembers attempt identities in order of arrival.
type records struct {
	byID     map[string]*record
	order    []*record
	outcomes []*record // with a recorded answer, oldest first
	bytes    int       // of the recorded answers
}

func newRecords() records { return records{byID: make(map[string]*record)} }

func (r *records) get(id string) *record { return r.byID[id] }

func (r *records) add(id string, state wire.AttemptState, now time.Time) *record {
	rec := &record{id: id, state: state, at: now}
	r.byID[id] = rec
	r.order = append(r.order, rec)
	return rec
}

// settle records an answer. The oldest answers give way when all take too many
// bytes; of those only the status is still told.
func (r *records) settle(rec *record, outcome *wire.Outcome) {
	if outcome == nil {
		return
	}
	rec.outcome = outcome
	r.outcomes = append(r.outcomes, rec)
	r.bytes += len(outcome.Body)
	for r.bytes > maxOutcomes {
		oldest := r.outcomes[0]
		r.outcomes = r.outcomes[1:]
		r.bytes -= len(oldest.outcome.Body)
		oldest.outcome = &wire.Outcome{Status: oldest.outcome.Status, ContentType: oldest.outcome.ContentType, Truncated: true}
	}
}

// expire forgets the oldest identities that no longer run.
func (r *records) expire(now time.Time) {
	for len(r.order) > 0 {
		oldest := r.order[0]
		due := now.Sub(oldest.at) > keepRecord || len(r.order) > maxRecords
		if !due || oldest.state == wire.AttemptState_ATTEMPT_STATE_RUNNING {
			return
		}
		delete(r.byID, oldest.id)
		r.order = r.order[1:]
		r.dropOutcome(oldest)
	}
}

func (r *records) dropOutcome(rec *record) {
	i := slices.Index(r.outcomes, rec)
	if i < 0 {
		return
	}
	r.bytes -= len(rec.outcome.Body)
	r.outcomes = slices.Delete(r.outcomes, i, i+1)
}
