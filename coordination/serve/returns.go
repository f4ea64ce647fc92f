package serve

import (
	"sync"
	"time"
)

// returns spreads the moments at which refused callers are told to come back. It
// answers the load in which a burst is refused at once: told the same moment, all
// would come back together and be refused again.
type returns struct {
	mu   sync.Mutex
	next time.Time // before which no further caller is expected
}

// promise returns the moment at which a caller is told to come back: earliest at
// the soonest, a gap after the one before, and latest at the last.
func (r *returns) promise(earliest, latest time.Time, gap time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := earliest
	if r.next.After(at) {
		at = r.next
	}
	if at.After(latest) {
		return latest // who can't wait longer takes nobody's place
	}
	r.next = at.Add(gap)
	return at
}
