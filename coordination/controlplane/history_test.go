package controlplane

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
)

// history records the changes and reads of the catalogue that were answered, and checks
// that each one is linearizable: a version takes effect if it is higher than the one in
// effect, and a read returns what was in effect between its start and its end.
type history struct {
	mu     sync.Mutex
	next   int            // number of the next event
	texts  map[int]uint64 // version by the number of the change that submitted it
	acked  map[uint64][]ackedChange
	newest []reached      // the growing highest versions that were acknowledged or read
	read   map[uint64]int // by version: the change whose content was read
	faults []string
}

// ackedChange is a change that was acknowledged at an event.
type ackedChange struct{ change, event int }

// reached says that a version was in effect at a time.
type reached struct {
	version uint64
	acked   bool
	at      monotonic.Time
}

// readStart is what is known when a read begins.
type readStart struct {
	event int
	least uint64 // version that it must return at least
}

func newHistory() *history {
	return &history{texts: map[int]uint64{}, acked: map[uint64][]ackedChange{}, read: map[uint64]int{}}
}

func (h *history) failf(format string, args ...any) {
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// highest returns the highest version that is known to have been in effect.
func (h *history) highest() uint64 {
	if n := len(h.newest); n > 0 {
		return h.newest[n-1].version
	}
	return 0
}

// submit records a new change and returns its content.
func (h *history) submit(version uint64) simText {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	h.texts[h.next] = version
	return simText{Version: version, Of: h.next}
}

// acknowledge records that a change was acknowledged.
func (h *history) acknowledge(text simText) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	h.acked[text.Version] = append(h.acked[text.Version], ackedChange{text.Of, h.next})
	h.reach(text.Version, true)
}

func (h *history) reach(version uint64, acked bool) {
	if version > h.highest() {
		h.newest = append(h.newest, reached{version, acked, monotonic.Now()})
	}
}

// refuse records that a change was refused for a conflict. One that was acknowledged
// before it was sent again may not be.
func (h *history) refuse(text simText, sentAt int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.acked[text.Version] {
		if a.change == text.Of && a.event < sentAt {
			h.failf("change %d of version %d was acknowledged, sent again and refused", text.Of, text.Version)
		}
	}
}

// begin returns what is known at the start of a read or a change.
func (h *history) begin() readStart {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	return readStart{event: h.next, least: h.highest()}
}

// end checks and records the result of a read.
func (h *history) end(where string, start readStart, text []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var got simText
	if err := json.Unmarshal(text, &got); err != nil {
		h.failf("%s returned %q: %v", where, text, err)
		return
	}
	if got.Version < start.least {
		h.failf("stale read: %s returned version %d, sent after version %d was in effect", where, got.Version, start.least)
	}
	if version, submitted := h.texts[got.Of]; !submitted || version != got.Version {
		h.failf("%s returned version %d of change %d, which was not submitted", where, got.Version, got.Of)
	}
	if other, known := h.read[got.Version]; known && other != got.Of {
		h.failf("%s returned version %d of change %d, an earlier read that of change %d", where, got.Version, got.Of, other)
	}
	for _, a := range h.acked[got.Version] {
		if a.event < start.event && a.change != got.Of {
			h.failf("%s returned version %d of change %d, but that of change %d was acknowledged", where, got.Version, got.Of, a.change)
		}
	}
	h.read[got.Version] = got.Of
	h.reach(got.Version, false)
}

// checkConfirmed checks a state that was confirmed to be the newest at a time.
func (h *history) checkConfirmed(where string, version uint64, asOf monotonic.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range slices.Backward(h.newest) {
		if r.at < asOf {
			if version < r.version {
				h.failf("%s was confirmed at version %d after version %d was in effect", where, version, r.version)
			}
			return
		}
	}
}
