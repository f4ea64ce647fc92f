package endpoint

import (
	"io"
	"sync"
	"time"
)

// silentFor is how long an event stream that has begun may stay without data
// before its connection counts as lost. It is then resumed on a new one.
const silentFor = 5 * time.Second

// watchedBody closes a stream that goes silent after its first data. The time
// during which nobody reads does not count.
type watchedBody struct {
	body  io.ReadCloser
	begun bool
	close sync.Once
}

func (w *watchedBody) Read(p []byte) (int, error) {
	if !w.begun {
		n, err := w.body.Read(p)
		w.begun = n > 0
		return n, err
	}
	watch := time.AfterFunc(silentFor, func() { _ = w.Close() })
	defer watch.Stop()
	return w.body.Read(p)
}

// Close ends a read that is under way.
func (w *watchedBody) Close() (err error) {
	w.close.Do(func() { err = w.body.Close() })
	return err
}
