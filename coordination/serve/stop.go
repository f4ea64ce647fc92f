package serve

import (
	"context"
	"sync/atomic"
	"time"
)

// finalAnswerMargin is how long before the stop of this entry the requests whose answer
// has not begun get a final one. A smaller margin risks that the answer is cut; a larger
// one ends requests earlier.
const finalAnswerMargin = 150 * time.Millisecond

// stop is the planned stop of an entry.
type stop struct {
	at      atomic.Pointer[time.Time] // when requests still running are cut; nil unless the entry is draining
	near    context.Context           // ends finalAnswerMargin before
	endNear context.CancelFunc
}

func newStop() stop {
	near, endNear := context.WithCancel(context.Background())
	return stop{near: near, endNear: endNear}
}

// StopAt sets the time at which this entry cuts the requests that still run. From now on
// the server refuses requests whose answer may take longer. Shortly before that time it
// ends those whose answer has not begun.
func (s *Server) StopAt(at time.Time) {
	s.stop.at.Store(&at)
	time.AfterFunc(time.Until(at)-finalAnswerMargin, s.stop.endNear)
}

// isNear reports whether requests that have not begun to be answered are being ended.
func (s *stop) isNear() bool { return s.near.Err() != nil }

// bound returns a context that ends with ctx, or with the stop unless the answer has begun
// by then. The caller must call release.
func (s *stop) bound(ctx context.Context, begun *atomic.Bool) (bounded context.Context, release func()) {
	bounded, cancel := context.WithCancel(ctx)
	forget := context.AfterFunc(s.near, func() {
		if !begun.Load() {
			cancel()
		}
	})
	return bounded, func() {
		forget()
		cancel()
	}
}
