// Package current keeps the newest replicated state that a process knows and
// how long ago a quorum confirmed it.
package statecache

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

// freshFor is how long a confirmation counts as fresh. They come several times in
// this time from a group that has a leader.
const freshFor = time.Second

// Store holds one process's copy of the state. The state never goes back.
type Store struct {
	logger *logs.Logger
	state  atomic.Pointer[catalogue.State]
	lease  atomic.Pointer[lease]

	mu      sync.Mutex
	changed []func(*catalogue.State)
	fresh   []func()
}

type lease struct{ asOf steady.Time }

// NewStore returns a store that knows nothing.
func NewStore() *Store {
	s := &Store{logger: logs.For("catalogue")}
	s.state.Store(&catalogue.State{})
	return s
}

// State returns the newest state.
func (s *Store) State() *catalogue.State { return s.state.Load() }

// OnChange adds a function that is called after each change, one at a time.
func (s *Store) OnChange(f func(*catalogue.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = append(s.changed, f)
}

// OnFresh adds a function that is called when the state is confirmed after it was
// not fresh, one at a time.
func (s *Store) OnFresh(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh = append(s.fresh, f)
}

// IsFresh reports whether the state was confirmed just now.
func (s *Store) IsFresh() bool { return s.ConfirmedWithin(freshFor) }

// Update makes a committed state the newest unless a newer one is known.
func (s *Store) Update(next *catalogue.State, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Index <= s.State().Index {
		return
	}
	s.state.Store(next)
	s.logger.Info().Uint64("index", next.Index).Uint64("version", next.Version()).
		Strs("out", next.Out).Str("source", source).Msg("A newer state is in force.")
	for _, f := range s.changed {
		f(next)
	}
}

// Confirm notes that the state at index was the newest at asOf. It reports
// whether the store lacks that state.
func (s *Store) Confirm(index uint64, asOf steady.Time) (behind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index > s.State().Index {
		return true
	}
	if old := s.lease.Load(); old != nil && asOf <= old.asOf {
		return false
	}
	wasFresh := s.IsFresh()
	s.lease.Store(&lease{asOf: asOf})
	if !wasFresh && s.IsFresh() {
		for _, f := range s.fresh {
			f()
		}
	}
	return false
}

// Age returns how long ago the state held was surely the newest; false before
// the first confirmation.
func (s *Store) Age() (time.Duration, bool) {
	l := s.lease.Load()
	if l == nil {
		return 0, false
	}
	return steady.Since(l.asOf), true
}

// ConfirmedWithin reports whether the state was the newest at most limit ago.
func (s *Store) ConfirmedWithin(limit time.Duration) bool {
	age, known := s.Age()
	return known && age <= limit
}
