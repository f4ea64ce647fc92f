// Package configsync replicates the fleet configuration to all processes by long
// polling between peers. A process accepts new work only while its revision is
// known to have been the newest within MaxAge. Any peer may send both the
// configuration and its age, the time since it was known to be the newest; the
// receiver trusts that age.
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

// MaxAge is how long a process accepts new work after the last time at which its
// revision was known to be the newest. So, MaxAge after a change, no process accepts
// work under an older configuration. A larger one delays that; with a smaller one a
// shorter loss of the leader or the peers stops new work.
const MaxAge = 3 * time.Second

// staleRetryAfter is the Retry-After sent while there is no configuration, or while the
// last time at which it was known to be the newest is longer ago than MaxAge. With a
// smaller one callers retry more often for nothing; with a larger one they wait for
// longer after the configuration was confirmed again.
const staleRetryAfter = time.Second

// maxDeltas is how many deltas are kept for peers with an older revision. A peer that is
// further behind gets a snapshot.
const maxDeltas = 512

// confirmedView is an immutable pair of a view and the time at which it was last
// known to be the newest.
type confirmedView struct {
	view      *fleet.View
	currentAt time.Time // with a monotonic clock reading
}

// Store holds a process's copy of the configuration. Readers never block.
type Store struct {
	latest atomic.Pointer[confirmedView]

	mu      sync.Mutex
	deltas  []*wire.ConfigDelta
	changed chan struct{} // closed when the revision increases
}

// NewStore returns a store without a configuration.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// Current returns the view, or a NotCurrent error when it is not known to have been
// the newest within MaxAge. Callers call it after any wait and right before they
// act, so that a process that was stopped in between does not act on an old view. The
// time for which the whole host is suspended is not noticed, because Go's monotonic
// clock does not include it.
func (s *Store) Current() (*fleet.View, error) {
	h := s.latest.Load()
	if h == nil {
		return nil, fault.New(fault.NotCurrent, "no configuration has been received yet").WithRetryAfter(staleRetryAfter)
	}
	if age := time.Since(h.currentAt); age > MaxAge {
		return nil, fault.New(fault.NotCurrent, "the configuration was last confirmed %s ago", age.Round(time.Millisecond)).WithRetryAfter(staleRetryAfter)
	}
	return h.view, nil
}

// View returns the view whatever its age, or nil before the first one.
func (s *Store) View() *fleet.View {
	if h := s.latest.Load(); h != nil {
		return h.view
	}
	return nil
}

// Revision returns the revision of the view, or 0 before the first one.
func (s *Store) Revision() uint64 {
	if v := s.View(); v != nil {
		return v.Revision()
	}
	return 0
}

// CurrentAt returns the last time at which the revision was known to be the newest,
// or the zero time.
func (s *Store) CurrentAt() time.Time {
	if h := s.latest.Load(); h != nil {
		return h.currentAt
	}
	return time.Time{}
}

// Update applies the response to a Sync request that was sent at sentAt. It never
// applies an older revision. A response whose revision is not newer than the store's
// still confirms the store: if the responder's revision was the newest at a time, the
// store's is at least as new as the newest at that time.
func (s *Store) Update(response *wire.SyncResponse, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	currentAt := sentAt.Add(-time.Duration(response.AgeUs) * time.Microsecond)
	old := s.latest.Load()
	view := nextView(old, response)
	if view == nil {
		return
	}
	if old != nil && old.currentAt.After(currentAt) {
		currentAt = old.currentAt
	}
	if view.Revision() < response.Revision {
		return // the deltas have a gap, so the view lacks a part of that revision
	}
	s.appendDeltas(old, response)
	s.latest.Store(&confirmedView{view: view, currentAt: currentAt})
	if old == nil || view.Revision() > old.view.Revision() {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// nextView returns the view after a response, or nil when the response needs a
// view to start from and there is none.
func nextView(old *confirmedView, response *wire.SyncResponse) *fleet.View {
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

// appendDeltas keeps the new deltas of a response for peers. After a snapshot it
// starts again, as the deltas up to it are unknown.
func (s *Store) appendDeltas(old *confirmedView, response *wire.SyncResponse) {
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

// Sync answers a peer's long poll; see awaitRevision for the wait. The response always
// has the revision and its age, which confirms the peer's copy. If the store's revision
// is newer than the peer's, the response has the deltas between them too, or a snapshot
// when deltas are missing. Before the first configuration the error is NotCurrent.
func (s *Store) Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	s.awaitRevision(ctx, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.latest.Load()
	if h == nil {
		return nil, fault.New(fault.NotCurrent, "no configuration has been received yet").WithRetryAfter(staleRetryAfter)
	}
	response := &wire.SyncResponse{
		Revision: h.view.Revision(),
		AgeUs:    uint64(time.Since(h.currentAt).Microseconds()),
	}
	if request.KnownRevision >= h.view.Revision() && request.KnownRevision > 0 {
		return response, nil
	}
	if deltas, ok := s.deltasSince(request.KnownRevision); ok {
		response.Deltas = deltas
	} else {
		response.Snapshot = h.view.Config()
	}
	return response, nil
}

// awaitRevision waits until the store's revision increases, for as long as the request
// allows. It does not wait when the revision is already newer than the peer's, nor for
// a peer that has no revision yet.
func (s *Store) awaitRevision(ctx context.Context, request *wire.SyncRequest) {
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

// deltasSince returns the deltas newer than a revision, if all of them are kept. A
// delta doesn't name the revision that it follows, so deltas can be returned only
// to a peer whose revision is at least that of the first delta kept.
func (s *Store) deltasSince(revision uint64) ([]*wire.ConfigDelta, bool) {
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
