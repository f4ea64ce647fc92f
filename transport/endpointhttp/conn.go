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

// conn is a connection to an endpoint. A malformed head of an answer is an error of a read. So
// is its end, in place of io.EOF, if it broke while a request was being written.
//
// The kernel reports a reset once, to the read or the write that comes first. After a write
// has got it, reads return io.EOF, as if the endpoint had ended its answer in order, which
// net/http's client takes for the end of an answer without a length and chunks.
type conn struct {
	net.Conn
	closed     signal
	readFailed signal

	readError error // of the last read, which only one goroutine makes at a time

	writing    sync.Mutex // held during a write
	writeError error      // of the first write that failed as the connection broke; guarded by writing

	mu             sync.Mutex
	requestWritten signal      // or the writing of the current request has failed; guarded by mu
	head           headChecker // of the answer to the current request; guarded by mu
}

func newConn(c net.Conn) *conn {
	written := newSignal()
	written.send() // there is no request yet
	return &conn{Conn: c, closed: newSignal(), readFailed: newSignal(), requestWritten: written}
}

// signal says once that something has happened.
type signal struct {
	sent chan struct{} // closed when it has
	send func()
}

func newSignal() signal {
	sent := make(chan struct{})
	return signal{sent: sent, send: sync.OnceFunc(func() { close(sent) })}
}

// beginRequest is called before the first byte of a request is written. On a kept connection,
// the next bytes are those of a new head.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestWritten = newSignal()
	if c.head.done {
		c.head = headChecker{}
	}
}

// endRequest is called when a request is written, except for what is still buffered, or when
// its writing has failed.
func (c *conn) endRequest() { c.currentRequestWritten().send() }

func (c *conn) currentRequestWritten() signal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestWritten
}

// Read implements net.Conn. After an error it reads no more, as net/http's client may drop the
// error and read on.
func (c *conn) Read(p []byte) (n int, err error) {
	if c.readError == nil {
		n, c.readError = c.readChecked(p)
	}
	if c.readError != nil {
		c.readFailed.send()
	}
	return n, c.readError
}

// readChecked reads once and checks what has come.
func (c *conn) readChecked(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if sound, headErr := c.checkHead(p[:n]); headErr != nil {
		return sound, headErr
	}
	if errors.Is(err, io.EOF) {
		return n, c.checkEnd()
	}
	return n, err
}

// checkHead checks the part of an answer's head that p holds, and returns how many bytes
// precede a malformed line.
func (c *conn) checkHead(p []byte) (sound int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.check(p)
}

// checkEnd returns io.EOF if the endpoint has ended the connection in order. Otherwise it
// returns an error.
func (c *conn) checkEnd() error {
	c.awaitRequest()
	if err := c.endWriting(); err != nil {
		return fmt.Errorf("the connection broke while the request was being written: %w", err)
	}
	return io.EOF
}

// awaitRequest waits until the current request is written or has failed, for maxResetDelay at
// most.
func (c *conn) awaitRequest() {
	timer := time.NewTimer(maxResetDelay)
	defer timer.Stop()
	select {
	case <-c.currentRequestWritten().sent:
	case <-c.closed.sent:
	case <-timer.C:
	}
}

// endWriting ends a write that runs, and returns the error of the first one that failed as the
// connection broke.
func (c *conn) endWriting() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails if the connection is closed, which ends the write too
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeError
}

// Write implements net.Conn. An error is returned once all that the endpoint has sent is read:
// net/http's client drops an answer, also a whole one, when it can't write the request.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.writeOnce(p)
	if err != nil {
		c.endRequest()
		c.awaitReader()
	}
	return n, err
}

// awaitReader waits until a read has failed or the connection is closed. On a connection that
// broke, the read behind the last byte that has come fails.
func (c *conn) awaitReader() {
	select {
	case <-c.readFailed.sent:
	case <-c.closed.sent:
	}
}

// writeOnce writes and keeps the error if the connection broke.
func (c *conn) writeOnce(p []byte) (int, error) {
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
	c.closed.send()
	return c.Conn.Close()
}
