package quarantine

import "github.com/apricotspoke/apricotspoke/protocol/monotonic"

// maxRecentKeys bounds each of the two generations of a history.
const maxRecentKeys = 8192

// history remembers a time for each of the latest keys. It keeps two generations and forgets
// the older one when the newer one is full.
type history struct {
	newer, older map[uint64]monotonic.Time
}

func newHistory() *history {
	return &history{newer: make(map[uint64]monotonic.Time)}
}

// putLatest remembers the latest time of a key.
func (h *history) putLatest(key uint64, at monotonic.Time) {
	if known, found := h.get(key); found {
		at = max(at, known)
	}
	h.put(key, at)
}

// putFirst remembers the first time of a key, and returns it.
func (h *history) putFirst(key uint64, at monotonic.Time) monotonic.Time {
	if known, found := h.get(key); found {
		at = min(at, known)
	}
	h.put(key, at)
	return at
}

func (h *history) put(key uint64, at monotonic.Time) {
	if len(h.newer) >= maxRecentKeys {
		h.newer, h.older = make(map[uint64]monotonic.Time), h.newer
	}
	h.newer[key] = at
}

func (h *history) get(key uint64) (at monotonic.Time, known bool) {
	if at, known = h.newer[key]; known {
		return at, true
	}
	at, known = h.older[key]
	return at, known
}

// soundAt returns when an answer with a part or to a request last went on. The caller holds
// the lock.
func (t *Tracker) soundAt(key uint64) (at monotonic.Time, known bool) {
	at, known = t.sound.get(key)
	if own, ownKnown := t.soundOwn.get(key); ownKnown {
		at, known = max(at, own), true
	}
	return at, known
}
