package gate

import "time"

// reservation is memory held for a prompt spread over several endpoints.
type reservation struct {
	tokens   uint64
	until    time.Time
	users    int // attempts that use it now
	closed   bool
	blocks   []string // KV blocks made under it, to be deleted with it
	deleting bool     // its blocks are being deleted
}

// memory is the ledger of the endpoint's memory in tokens.
type memory struct {
	total    uint64
	used     uint64
	attempts map[string]uint64
	groups   map[string]*reservation
}

func newMemory() memory {
	return memory{attempts: make(map[string]uint64), groups: make(map[string]*reservation)}
}

func (m *memory) free() uint64 {
	if m.used > m.total {
		return 0
	}
	return m.total - m.used
}

// take reserves tokens for an attempt; false when they are not free.
func (m *memory) take(attempt string, tokens uint64) bool {
	if _, ok := m.attempts[attempt]; ok || tokens > m.free() {
		return false
	}
	m.attempts[attempt] = tokens
	m.used += tokens
	return true
}

// give releases an attempt's tokens; it may be called more than once.
func (m *memory) give(attempt string) {
	m.used -= m.attempts[attempt]
	delete(m.attempts, attempt)
}

// hold makes or renews a group reservation; false when memory is not free.
func (m *memory) hold(name string, tokens uint64, until time.Time) bool {
	if r, ok := m.groups[name]; ok {
		if r.closed || r.tokens != tokens {
			return false
		}
		r.until = until
		return true
	}
	if tokens > m.free() {
		return false
	}
	m.groups[name] = &reservation{tokens: tokens, until: until}
	m.used += tokens
	return true
}

// use binds an attempt to a group reservation.
func (m *memory) use(name string) bool {
	r, ok := m.groups[name]
	if !ok || r.closed {
		return false
	}
	r.users++
	return true
}

func (m *memory) unuse(name string) {
	if r, ok := m.groups[name]; ok {
		r.users--
	}
}

// close marks a group reservation as given up. Its memory is freed by drop.
func (m *memory) close(name string) {
	if r, ok := m.groups[name]; ok {
		r.closed = true
	}
}

// drop frees a group reservation whose blocks are deleted.
func (m *memory) drop(name string) {
	if r, ok := m.groups[name]; ok {
		m.used -= r.tokens
		delete(m.groups, name)
	}
}

// expire closes every group reservation whose time has run out.
func (m *memory) expire(now time.Time) {
	for _, r := range m.groups {
		if !now.Before(r.until) {
			r.closed = true
		}
	}
}
