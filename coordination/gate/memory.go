package gate

import "time"

// groupReservation is memory reserved for a prompt that is split across several
// endpoints.
type groupReservation struct {
	tokens    uint64
	expiresAt time.Time
	users     int // attempts that use the reservation now
	closed    bool
	blocks    []string // KV blocks created under the reservation, deleted with it
	deleting  bool     // deletion of the blocks is in progress
}

// memoryLedger accounts for the memory of the endpoint in tokens.
type memoryLedger struct {
	total         uint64
	used          uint64
	attemptTokens map[string]uint64
	groups        map[string]*groupReservation
}

func newMemoryLedger() memoryLedger {
	return memoryLedger{attemptTokens: make(map[string]uint64), groups: make(map[string]*groupReservation)}
}

func (m *memoryLedger) free() uint64 {
	if m.used > m.total {
		return 0
	}
	return m.total - m.used
}

// reserve reserves tokens for an attempt. It returns false when they are not
// free or the attempt has a reservation already.
func (m *memoryLedger) reserve(attempt string, tokens uint64) bool {
	if _, ok := m.attemptTokens[attempt]; ok || tokens > m.free() {
		return false
	}
	m.attemptTokens[attempt] = tokens
	m.used += tokens
	return true
}

// release frees the tokens of an attempt. It may be called more than once.
func (m *memoryLedger) release(attempt string) {
	m.used -= m.attemptTokens[attempt]
	delete(m.attemptTokens, attempt)
}

// holdGroup creates or renews a group reservation. It returns false when the
// memory is not free, or when the reservation is closed or has another size.
func (m *memoryLedger) holdGroup(name string, tokens uint64, until time.Time) bool {
	if r, ok := m.groups[name]; ok {
		if r.closed || r.tokens != tokens {
			return false
		}
		r.expiresAt = until
		return true
	}
	if tokens > m.free() {
		return false
	}
	m.groups[name] = &groupReservation{tokens: tokens, expiresAt: until}
	m.used += tokens
	return true
}

// groupHeld reports whether a group reservation exists and is not closed.
func (m *memoryLedger) groupHeld(name string) bool {
	r, ok := m.groups[name]
	return ok && !r.closed
}

// addGroupUser counts an attempt as a user of a group reservation. It returns
// false when the reservation is not held.
func (m *memoryLedger) addGroupUser(name string) bool {
	r, ok := m.groups[name]
	if !ok || r.closed {
		return false
	}
	r.users++
	return true
}

func (m *memoryLedger) removeGroupUser(name string) {
	if r, ok := m.groups[name]; ok {
		r.users--
	}
}

// close closes a group reservation to new users. freeGroup frees its memory.
func (m *memoryLedger) close(name string) {
	if r, ok := m.groups[name]; ok {
		r.closed = true
	}
}

// freeGroup frees the memory of a group reservation once its blocks have been
// deleted.
func (m *memoryLedger) freeGroup(name string) {
	if r, ok := m.groups[name]; ok {
		m.used -= r.tokens
		delete(m.groups, name)
	}
}

// closeExpiredGroups closes every group reservation that has expired.
func (m *memoryLedger) closeExpiredGroups(now time.Time) {
	for _, r := range m.groups {
		if !now.Before(r.expiresAt) {
			r.closed = true
		}
	}
}
