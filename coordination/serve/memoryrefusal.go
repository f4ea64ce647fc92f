package serve

import (
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
)

// memoryRefusalTime is how long an endpoint that did not grant a reservation is left out
// of plans that need reservations. The load that the scheduler knows does not show why
// the memory was refused, so the next plan would be refused by the same endpoint, and the
// memory at all others would be reserved for nothing. It is half of the time for which a
// prompt with an objective of 8 s waits for capacity, so that the endpoint is asked again
// before such a prompt is refused.
const memoryRefusalTime = 500 * time.Millisecond

// refusedMemory holds which endpoints did not grant a reservation of this entry lately.
// It is safe for concurrent use.
type refusedMemory struct {
	mu    sync.Mutex
	until map[uint64]monotonic.Time // by endpoint key
}

// record records a refusal.
func (m *refusedMemory) record(key uint64, now monotonic.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.until == nil {
		m.until = make(map[uint64]monotonic.Time)
	}
	for other, until := range m.until {
		if until <= now {
			delete(m.until, other)
		}
	}
	m.until[key] = now.Add(memoryRefusalTime)
}

// isRecent reports whether an endpoint refused a reservation within memoryRefusalTime.
func (m *refusedMemory) isRecent(key uint64, now monotonic.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now < m.until[key]
}

// needsReservation reports whether the prompt and its answer exceed the memory of one
// endpoint.
func (r *run) needsReservation() bool {
	engine := r.service.Engine
	return engine != nil && r.request.PromptTokens+expectedOutputTokens(r.request, engine) > engine.MemoryTokens
}

// refusedMemoryLately reports whether an endpoint is left out because the request needs
// reservations and the endpoint has just refused one.
func (r *run) refusedMemoryLately(key uint64) bool {
	return r.server.settings.Load().boundsReservations() && r.needsReservation() && r.server.refusedMemory.isRecent(key, r.server.now())
}
