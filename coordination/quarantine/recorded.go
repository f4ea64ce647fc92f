package quarantine

import (
	"slices"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// SetRecorded applies the quarantines that the control group has recorded. A part whose
// quarantine was lifted is no suspect any more.
func (t *Tracker) SetRecorded(all []catalogue.QuarantinedPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[uint64]bool, len(all)) // whether it is final
	for _, q := range all {
		next[q.Key] = q.Final
		if final, known := t.recorded[q.Key]; !known || final != q.Final {
			t.applyRecorded(q)
		}
	}
	for part := range t.recorded {
		if _, still := next[part]; !still {
			t.lift(part)
		}
	}
	t.recorded = next
	t.suspected.Store(int64(len(t.suspects)))
}

// applyRecorded quarantines a part, unless an answer with it has just gone on. The caller
// holds the lock.
func (t *Tracker) applyRecorded(q catalogue.QuarantinedPart) {
	if soundAt, known := t.sound.get(q.Key); known && !q.Final && t.now().Sub(soundAt) < soundBefore {
		return
	}
	s := t.suspects[q.Key]
	if s == nil {
		s = &suspect{}
		t.suspects[q.Key] = s
	}
	if !s.quarantined {
		s.quarantined, s.quarantinedAt = true, t.now()
		t.quarantined[q.Key] = s
	}
	s.final = s.final || q.Final
	s.service, s.id = q.Service, q.ID
	s.isRequest = s.isRequest || IsRequestName(q.ID)
	t.logger.Warn().Uint64("part", q.Key).Str("service", q.Service).Str("id", q.ID).Bool("final", q.Final).
		Msg("A recorded quarantine of a part of prompts applies.")
}

// lift ends the quarantine of a part. The caller holds the lock.
func (t *Tracker) lift(part uint64) {
	t.sound.putLatest(part, t.now()) // earlier reports, told by an entry that is behind, don't count
	if t.suspects[part] == nil {
		return
	}
	t.remove(part)
	t.dropUnusedReports()
	t.logger.Warn().Uint64("part", part).Msg("The quarantine of a part of prompts was lifted.")
}

// Unrecorded returns the quarantines that the control group has not recorded as they are.
func (t *Tracker) Unrecorded() []catalogue.QuarantinedPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []catalogue.QuarantinedPart
	for part, s := range t.quarantined {
		if final, known := t.recorded[part]; !known || s.final && !final {
			all = append(all, catalogue.QuarantinedPart{Key: part, Service: s.service, ID: s.id, Final: s.final})
		}
	}
	return all
}

// Disproved returns the recorded quarantines that this entry knows to be wrong: an answer
// has gone on since.
func (t *Tracker) Disproved() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var parts []uint64
	for part := range t.recorded {
		if t.quarantined[part] == nil {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}
