package endpoint

import (
	"io"
	"sync"
	"time"
)

// maxStreamSilence is the time without data after which the connection of a started event
// stream counts as lost. The stream is then resumed on a new connection.
const maxStreamSilence = 5 * time.Second

// silenceTimeoutBody is a response body that closes itself when no data arrives for
// maxStreamSilence. The limit applies to each read after the first data, so the time
// between two reads does not count.
type silenceTimeoutBody struct {
	body    io.ReadCloser
	started bool
	close   sync.Once
}

// Read implements io.Reader.
func (w *silenceTimeoutBody) Read(p []byte) (int, error) {
	if !w.started {
		n, err := w.body.Read(p)
		w.started = n > 0
		return n, err
	}
	timer := time.AfterFunc(maxStreamSilence, func() { _ = w.Close() })
	defer timer.Stop()
	return w.body.Read(p)
}

// Close closes the body and ends a read in progress. Further calls do nothing.
func (w *silenceTimeoutBody) Close() (err error) {
	w.close.Do(func() { err = w.body.Close() })
	return err
}
