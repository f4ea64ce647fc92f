package gate

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	answerRetention      = 30 * time.Second // how long the answer of an ended attempt can be resumed
	recordRetention      = time.Hour        // how long the arrival of the same attempt ID again is refused
	maxRecords           = 200_000          // above which the oldest records are removed early
	maxOutcomeBytes      = 64 << 10         // of one recorded outcome
	maxTotalOutcomeBytes = 32 << 20         // of all recorded outcomes
	maxAttemptIDBytes    = 256
)

// record is what the gate knows about one attempt ID.
type record struct {
	id        string
	state     wire.AttemptState
	failure   *wire.Failure
	outcome   *wire.Outcome
	attempt   *Attempt // nil once the answer has been released
	arrivedAt time.Time
}

// records keeps the attempt IDs in order of arrival.
type records struct {
	byID         map[string]*record
	order        []*record
	outcomes     []*record // records with an outcome, oldest first
	outcomeBytes int       // total body size of the recorded outcomes
}

func newRecords() records { return records{byID: make(map[string]*record)} }

func (r *records) get(id string) *record { return r.byID[id] }

func (r *records) add(id string, state wire.AttemptState, now time.Time) *record {
	rec := &record{id: id, state: state, arrivedAt: now}
	r.byID[id] = rec
	r.order = append(r.order, rec)
	return rec
}

// setOutcome records an outcome. When all outcomes exceed the limit, the oldest
// ones lose their bodies and keep only status and content type.
func (r *records) setOutcome(rec *record, outcome *wire.Outcome) {
	if outcome == nil {
		return
	}
	rec.outcome = outcome
	r.outcomes = append(r.outcomes, rec)
	r.outcomeBytes += len(outcome.Body)
	for r.outcomeBytes > maxTotalOutcomeBytes {
		oldest := r.outcomes[0]
		r.outcomes = r.outcomes[1:]
		r.outcomeBytes -= len(oldest.outcome.Body)
		oldest.outcome = &wire.Outcome{Status: oldest.outcome.Status, ContentType: oldest.outcome.ContentType, Truncated: true}
	}
}

// expire removes records, oldest first, that are older than recordRetention or
// exceed maxRecords. It stops at one whose attempt is running.
func (r *records) expire(now time.Time) {
	for len(r.order) > 0 {
		oldest := r.order[0]
		due := now.Sub(oldest.arrivedAt) > recordRetention || len(r.order) > maxRecords
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
	r.outcomeBytes -= len(rec.outcome.Body)
	r.outcomes = slices.Delete(r.outcomes, i, i+1)
}
