// Package configsync keeps a process's configuration current. A process may
// take new work only while it can show that its revision was current a few
// seconds ago; configuration and its age may come from any neighbour.
package configsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/fleet"
)

// MaxAge is how long a process takes new work after the last moment at which
// its revision was known to be current.
const MaxAge = 3 * time.Second

// retryWhenStale is what a caller is told while the process is not current.
const retryWhenStale = time.Second

// maxDeltas is how many deltas are kept for neighbours that are behind.
const maxDeltas = 512

// held is one immutable pair of a view and the moment it was last current.
type held struct {
	view      *fleet.View
	currentAt time.Time // monotonic
}

// Store holds the configuration in force. Readers never block.
type Store struct {
	held atomic.Pointer[held]

	mu      sync.Mutex
	deltas  []*wire.ConfigDelta
	changed chan struct{} // closed when the revision rises
}

// NewStore returns a store that holds nothing and is not current.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// Current returns the view, or a NotCurrent error when its revision cannot be
// shown to have been current within FreshFor. Callers check it after waiting
// and before acting, so that a frozen process does not act on an old view.
func (s *Store) Current() (*fleet.View, error) {
	h := s.held.Load()
	if h == nil {
		return nil, fault.New(fault.NotCurrent, "no configuration received yet").After(retryWhenStale)
	}
	if age := time.Since(h.currentAt); age > MaxAge {
		return nil, fault.New(fault.NotCurrent, "configuration is %s old", age.Round(time.Millisecond)).After(retryWhenStale)
	}
	return h.view, nil
}

// View returns the last view whatever its age, or nil.
func (s *Store) View() *fleet.View {
	if h := s.held.Load(); h != nil {
		return h.view
	}
	return nil
}

// Revision returns the revision held, 0 for none.
func (s *Store) Revision() uint64 {
	if v := s.View(); v != nil {
		return v.Revision()
	}
	return 0
}

// CurrentAt returns the last moment at which the revision was known to be current.
func (s *Store) CurrentAt() time.Time {
	if h := s.held.Load(); h != nil {
		return h.currentAt
	}
	return time.Time{}
}

// Update takes a response to a Sync that was sent at sentAt. It never adopts a
// lower revision. A responder that was current at a time T with a revision no
// higher than ours shows that ours was current at T too.
func (s *Store) Update(response *wire.SyncResponse, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	currentAt := sentAt.Add(-time.Duration(response.AgeUs) * time.Microsecond)
	old := s.held.Load()
	view := nextView(old, response)
	if view == nil {
		return
	}
	if old != nil && old.currentAt.After(currentAt) {
		currentAt = old.currentAt
	}
	if view.Revision() < response.Revision {
		return // deltas with a gap: nothing is known of the missing part
	}
	s.keepDeltas(old, response)
	s.held.Store(&held{view: view, currentAt: currentAt})
	if old == nil || view.Revision() > old.view.Revision() {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func nextView(old *held, response *wire.SyncResponse) *fleet.View {
	if snapshot := response.Snapshot; snapshot != nil {
		if old != nil && snapshot.Revision <= old.view.Revision() {
			return old.view
		}
		return fleet.NewView(snapshot)
	}
	if old == nil {
		return nil
	}
	if len(response.Deltas) == 0 {
		return old.view
	}
	return old.view.Apply(response.Deltas)
}

func (s *Store) keepDeltas(old *held, response *wire.SyncResponse) {
	if response.Snapshot != nil && (old == nil || response.Snapshot.Revision > old.view.Revision()) {
		s.deltas = nil
		return
	}
	for _, d := range response.Deltas {
		if old != nil && d.Revision > old.view.Revision() {
			s.deltas = append(s.deltas, d)
		}
	}
	if extra := len(s.deltas) - maxDeltas; extra > 0 {
		s.deltas = append([]*wire.ConfigDelta(nil), s.deltas[extra:]...)
	}
}

// Sync answers a neighbour. It waits for a revision above the neighbour's, up
// to the time that the request allows.
func (s *Store) Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	s.await(ctx, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held.Load()
	if h == nil {
		return nil, fault.New(fault.NotCurrent, "no configuration received yet").After(retryWhenStale)
	}
	response := &wire.SyncResponse{
		Revision: h.view.Revision(),
		AgeUs:    uint64(time.Since(h.currentAt).Microseconds()),
	}
	if request.KnownRevision >= h.view.Revision() && request.KnownRevision > 0 {
		return response, nil
	}
	if deltas, ok := s.since(request.KnownRevision); ok {
		response.Deltas = deltas
	} else {
		response.Snapshot = h.view.Config()
	}
	return response, nil
}

func (s *Store) await(ctx context.Context, request *wire.SyncRequest) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	if request.KnownRevision == 0 || s.Revision() > request.KnownRevision {
		return
	}
	timer := time.NewTimer(time.Duration(request.WaitMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// since returns the deltas above a revision, if all of them are still held.
// The first delta held follows directly on the revision before it, which is
// known only for the ones after it, so the first one serves as a bound.
func (s *Store) since(revision uint64) ([]*wire.ConfigDelta, bool) {
	if revision == 0 || len(s.deltas) == 0 || s.deltas[0].Revision > revision {
		return nil, false
	}
	for i, d := range s.deltas {
		if d.Revision > revision {
			return s.deltas[i:], true
		}
	}
	return nil, false
}
