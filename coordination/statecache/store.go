// Package statecache holds a process's copy of the replicated state and the time
// at which a quorum last confirmed that it is the newest.
package statecache

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

// maxFreshAge is the age up to which a confirmation counts as fresh. The replicas of
// the control plane confirm the state several times within it while they have a
// leader. Whether a process may act on the state is decided by its users, with
// ConfirmedWithin and limits of their own.
const maxFreshAge = time.Second

// maxEarlyConfirmations bounds the confirmations that wait for their states.
const maxEarlyConfirmations = 64

// Store holds one process's copy of the state. It never goes back to an older
// state.
type Store struct {
	logger    *logs.Logger
	state     atomic.Pointer[catalogue.State]
	confirmed atomic.Pointer[confirmation]

	mu       sync.Mutex
	early    []confirmation // of states that are on their way, in ascending order of index
	onChange []func(*catalogue.State)
	onFresh  []func()
}

// confirmation holds the time at which the state at an index was the newest.
type confirmation struct {
	index uint64
	asOf  monotonic.Time
}

// NewStore returns a store with an empty, unconfirmed state.
func NewStore() *Store {
	s := &Store{logger: logs.For("catalogue")}
	s.state.Store(&catalogue.State{})
	return s
}

// State returns the newest state that the process has received.
func (s *Store) State() *catalogue.State { return s.state.Load() }

// OnChange adds a function that is called with each new state. Update calls the
// functions one after the other and holds the store's mutex meanwhile, so f must not
// call Update, Confirm, OnChange or OnFresh.
func (s *Store) OnChange(f func(*catalogue.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// OnFresh adds a function that is called when a state that was not fresh is
// confirmed and becomes fresh. Confirm and Update call it under the conditions that
// OnChange describes.
func (s *Store) OnFresh(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onFresh = append(s.onFresh, f)
}

// IsFresh reports whether the state was the newest within the last second.
func (s *Store) IsFresh() bool { return s.ConfirmedWithin(maxFreshAge) }

// Update replaces the state with a committed one, unless that is older or the
// same. Source says in the log where it came from.
func (s *Store) Update(next *catalogue.State, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Index <= s.State().Index {
		return
	}
	s.state.Store(next)
	s.logger.Info().Uint64("index", next.Index).Uint64("version", next.Version()).
		Strs("out", next.DataCentresOut).Str("source", source).Msg("A newer state is applied.")
	for _, f := range s.onChange {
		f(next)
	}
	for len(s.early) > 0 && s.early[0].index <= next.Index {
		s.confirm(s.early[0])
		s.early = s.early[1:]
	}
}

// Confirm records that the state at index was the newest one at asOf. It returns
// true when the store's state is older than that. The confirmation then counts once
// that state or a newer one has come, which may have to be decoded first.
func (s *Store) Confirm(index uint64, asOf monotonic.Time) (behind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index > s.State().Index {
		s.keepEarly(confirmation{index: index, asOf: asOf})
		return true
	}
	s.confirm(confirmation{index: index, asOf: asOf})
	return false
}

// keepEarly keeps a confirmation of a state that has not come. Of each index only the
// latest is kept. Of too many, those of the newest states are forgotten.
func (s *Store) keepEarly(c confirmation) {
	at, found := slices.BinarySearchFunc(s.early, c.index, func(have confirmation, index uint64) int { return cmp.Compare(have.index, index) })
	switch {
	case found:
		s.early[at].asOf = max(s.early[at].asOf, c.asOf)
	case at < maxEarlyConfirmations:
		s.early = slices.Insert(s.early, at, c)
		s.early = s.early[:min(len(s.early), maxEarlyConfirmations)]
	}
}

// confirm records a confirmation of this state, unless a later one is recorded.
func (s *Store) confirm(c confirmation) {
	if old := s.confirmed.Load(); old != nil && c.asOf <= old.asOf {
		return
	}
	wasFresh := s.IsFresh()
	s.confirmed.Store(&c)
	if !wasFresh && s.IsFresh() {
		for _, f := range s.onFresh {
			f()
		}
	}
}

// Age returns the time since the state was last confirmed to be the newest; false
// before the first confirmation.
func (s *Store) Age() (time.Duration, bool) {
	l := s.confirmed.Load()
	if l == nil {
		return 0, false
	}
	return monotonic.Since(l.asOf), true
}

// ConfirmedWithin reports whether the state was confirmed to be the newest at most
// limit ago.
func (s *Store) ConfirmedWithin(limit time.Duration) bool {
	age, known := s.Age()
	return known && age <= limit
}
