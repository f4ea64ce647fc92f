package endpointhttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// maxResetDelay is how long a reset may take to arrive after the end of an answer whose
// endpoint has closed the connection while the request was being written. It is more than a
// round trip.
const maxResetDelay = 250 * time.Millisecond

// conn is a connection to an endpoint. Its end is an error, not io.EOF, if it broke while a
// request was being written.
//
// The kernel reports a reset once, to the read or the write that comes first. After a write
// has got it, reads return io.EOF, as if the endpoint had ended its answer in order, which
// net/http's client takes for the end of an answer without a length and chunks.
type conn struct {
	net.Conn
	closed      chan struct{}
	signalClose func()

	writing    sync.Mutex // held during a write
	writeError error      // of the first write that failed; guarded by writing

	mu      sync.Mutex
	written chan struct{} // closed when the current request is written, or has failed; guarded by mu
}

func newConn(c net.Conn) *conn {
	closed, written := make(chan struct{}), make(chan struct{})
	close(written) // there is no request yet
	return &conn{Conn: c, closed: closed, signalClose: sync.OnceFunc(func() { close(closed) }), written: written}
}

// beginRequest is called before the first byte of a request is written.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = make(chan struct{})
}

// endRequest is called when a request is written, except for what is still buffered, or when
// its writing has failed.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.written:
	default:
		close(c.written)
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if the endpoint has ended the connection in order. Otherwise it
// returns an error.
func (c *conn) checkEnd() error {
	c.awaitRequest()
	if err := c.failedWrite(); err != nil {
		return fmt.Errorf("the connection broke while the request was being written: %w", err)
	}
	return io.EOF
}

// awaitRequest waits until the current request is written or has failed, for maxResetDelay at
// most.
func (c *conn) awaitRequest() {
	c.mu.Lock()
	written := c.written
	c.mu.Unlock()
	timer := time.NewTimer(maxResetDelay)
	defer timer.Stop()
	select {
	case <-written:
	case <-c.closed:
	case <-timer.C:
	}
}

// failedWrite ends a write that runs and returns the error of the first one that failed.
func (c *conn) failedWrite() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails if the connection is closed, which ends the write too
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeError
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeError == nil && isBreak(err) {
		c.writeError = err
	}
	return n, err
}

// isBreak reports whether the error of a write says that the connection broke, and not that
// this process has ended the write.
func isBreak(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.signalClose()
	return c.Conn.Close()
}
