package gate

import (
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	keepAnswer  = 30 * time.Second // answers that may still be resumed
	keepRecord  = time.Hour        // attempts that must never run again
	maxRecords  = 200_000
	maxOutcome  = 64 << 10 // bytes of a recorded answer
	keepOutcome = 10 * time.Minute
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
	byID  map[string]*record
	order []*record
}

func newRecords() records { return records{byID: make(map[string]*record)} }

func (r *records) get(id string) *record { return r.byID[id] }

func (r *records) add(id string, state wire.AttemptState, now time.Time) *record {
	rec := &record{id: id, state: state, at: now}
	r.byID[id] = rec
	r.order = append(r.order, rec)
	return rec
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
	}
}
