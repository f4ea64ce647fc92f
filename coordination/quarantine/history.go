package quarantine

import "github.com/apricotspoke/apricotspoke/protocol/monotonic"

// maxRecentParts bounds each of the two generations of a history.
const maxRecentParts = 8192

// history remembers when an answer last went on for each of the latest parts. It keeps two
// generations and forgets the older one when the newer one is full.
type history struct {
	newer, older map[uint64]monotonic.Time
}

func newHistory() *history {
	return &history{newer: make(map[uint64]monotonic.Time)}
}

func (h *history) put(part uint64, at monotonic.Time) {
	if known, found := h.get(part); found {
		at = max(at, known)
	}
	if len(h.newer) >= maxRecentParts {
		h.newer, h.older = make(map[uint64]monotonic.Time), h.newer
	}
	h.newer[part] = at
}

func (h *history) get(part uint64) (at monotonic.Time, known bool) {
	if at, known = h.newer[part]; known {
		return at, true
	}
	at, known = h.older[part]
	return at, known
}
