// Package statecache holds a process's copy of the replicated state and the time
// at which a quorum last confirmed that it is the newest.
package statecache

import (
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

// Store holds one process's copy of the state. It never goes back to an older
// state.
type Store struct {
	logger    *logs.Logger
	state     atomic.Pointer[catalogue.State]
	confirmed atomic.Pointer[confirmation]

	mu       sync.Mutex
	onChange []func(*catalogue.State)
	onFresh  []func()
}

// confirmation holds the time at which the state was the newest.
type confirmation struct{ asOf monotonic.Time }

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
// confirmed and becomes fresh. Confirm calls it under the conditions that OnChange
// describes.
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
}

// Confirm records that the state at index was the newest one at asOf. It returns
// true, and records nothing, when the store's state is older than that.
func (s *Store) Confirm(index uint64, asOf monotonic.Time) (behind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index > s.State().Index {
		return true
	}
	if old := s.confirmed.Load(); old != nil && asOf <= old.asOf {
		return false
	}
	wasFresh := s.IsFresh()
	s.confirmed.Store(&confirmation{asOf: asOf})
	if !wasFresh && s.IsFresh() {
		for _, f := range s.onFresh {
			f()
		}
	}
	return false
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
