package quarantine

import (
	"slices"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// SetRecorded applies the quarantines that the control group has recorded: sets of parts
// that end endpoints when they are in one prompt together. A part whose last quarantine
// was lifted is no suspect any more.
func (t *Tracker) SetRecorded(all []catalogue.QuarantinedParts) {
	var sets [][]uint64
	for _, q := range all {
		sets = append(sets, q.Keys)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, set := range sets {
		if !containsSet(t.recorded, set) {
			t.applyRecorded(set)
		}
	}
	for _, old := range t.recorded {
		if !containsSet(sets, old) {
			t.lift(old, sets)
		}
	}
	t.recorded = sets
	t.suspected.Store(int64(len(t.suspects)))
}

// applyRecorded quarantines the parts of a set. The smallest set that holds a part counts,
// and an answer that has just gone on counts more than the set. The caller holds the lock.
func (t *Tracker) applyRecorded(set []uint64) {
	for _, p := range set {
		if soundAt, known := t.sound.get(p); known && t.now().Sub(soundAt) < soundBefore {
			continue
		}
		companions := slices.DeleteFunc(slices.Clone(set), func(other uint64) bool { return other == p })
		s := t.suspects[p]
		if s == nil {
			s = &suspect{}
			t.suspects[p] = s
		}
		if s.quarantined && len(s.companions) <= len(companions) {
			continue
		}
		s.quarantined, s.companions = true, companions
		t.quarantined[p] = s
		t.logger.Warn().Uint64("part", p).Int("companions", len(companions)).Msg("A recorded quarantine of a part of prompts applies.")
	}
}

// lift ends the quarantine of the parts of a set that are in none of the others. The caller
// holds the lock.
func (t *Tracker) lift(set []uint64, others [][]uint64) {
	for _, p := range set {
		if t.suspects[p] == nil || slices.ContainsFunc(others, func(other []uint64) bool { return contains(other, p) }) {
			continue
		}
		t.remove(p)
		t.sound.put(p, t.now()) // earlier reports, told by an entry that is behind, don't count
		t.logger.Warn().Uint64("part", p).Msg("The quarantine of a part of prompts was lifted.")
	}
	t.dropUnusedReports()
}

// Unrecorded returns the quarantines that the control group has not recorded.
func (t *Tracker) Unrecorded() []catalogue.QuarantinedParts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sets [][]uint64
	var all []catalogue.QuarantinedParts
	for p := range t.quarantined {
		if set := t.together(p); !containsSet(t.recorded, set) && !containsSet(sets, set) {
			sets = append(sets, set)
			all = append(all, t.describe(set))
		}
	}
	return all
}

// describe returns the quarantine of a set of parts. The caller holds the lock.
func (t *Tracker) describe(set []uint64) catalogue.QuarantinedParts {
	q := catalogue.QuarantinedParts{Keys: set}
	for _, p := range set {
		id := ""
		if s := t.suspects[p]; s != nil && s.service != "" {
			q.Service, id = s.service, s.id
		}
		q.IDs = append(q.IDs, id)
	}
	return q
}

func containsSet(sets [][]uint64, set []uint64) bool {
	return slices.ContainsFunc(sets, func(other []uint64) bool { return slices.Equal(other, set) })
}
