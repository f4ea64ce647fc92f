package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// receiveBufferBytes bounds what the kernel holds of a connection that the server does
	// not read, such as requests sent behind one that is running. Without it the kernel lets
	// the buffer grow to many megabytes. It lets a client send 300 KiB a second at a
	// round-trip time of 200 ms.
	receiveBufferBytes = 64 << 10
	// serverBytes is what the server holds of a connection: two buffers of 4 KiB, a
	// stack, and the request.
	serverBytes = 24 << 10
	// BytesPerConnection is the memory that one connection may take before the body of a
	// request.
	BytesPerConnection = serverBytes + receiveBufferBytes
	// readAheadBytes is the most that the server reads beyond a header.
	readAheadBytes = 4 << 10
	// After a refusal, what the client still sends is read for at most refusalTimeout and up
	// to refusalReadBytes, so that the answer isn't lost in a reset.
	refusalTimeout   = 100 * time.Millisecond
	refusalReadBytes = 64 << 10
)

const (
	overLimitAnswer     = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headerTooLongAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

var errHeaderTooLong = errors.New("the header of a request is too long")

// phase is what the server does with a connection.
type phase int

const (
	phaseIdle    phase = iota // waiting for the first byte of a request
	phaseHeader               // reading a header
	phaseRequest              // reading a body or handling a request
	phaseClosing              // answered, with the sending side ended, and about to be closed
	phaseCount
)

// conn is a connection of a limiter. The limiter's lock guards phase, since and headerBytes.
type conn struct {
	*net.TCPConn
	limiter     *Limiter
	inRequest   atomic.Bool // phaseRequest or phaseClosing: Read counts no header bytes and takes no lock
	phase       phase
	since       time.Time // start of the phase
	headerBytes int

	writeMu sync.Mutex // guards bounded and the order of changes of the write deadline
	bounded bool       // the server or its handler has set a write deadline
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.inRequest.Load() && !c.limiter.recordHeader(c, n) {
		writeRefusal(c.TCPConn, headerTooLongAnswer)
		discardRest(c.TCPConn)
		return 0, errHeaderTooLong
	}
	return n, err
}

// Write implements net.Conn. Without a write deadline of the server or its handler, such as
// for net/http's answer to an invalid request, it sets one, as a client that doesn't read
// could otherwise hold the connection for good.
func (c *conn) Write(p []byte) (int, error) {
	c.limitWrite()
	return c.TCPConn.Write(p)
}

func (c *conn) limitWrite() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if !c.bounded {
		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(c.limiter.writeTimeout)) // fails if the connection has ended
	}
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.bounded = !deadline.IsZero()
	return c.TCPConn.SetWriteDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.remove(c)
	return c.TCPConn.Close()
}

// CloseWrite ends the sending side of the connection. The server calls it after the answer to
// a refused request, some time before it closes the connection.
func (c *conn) CloseWrite() error {
	c.limiter.markClosing(c)
	return c.TCPConn.CloseWrite()
}

// listener accepts connections within the limits.
type listener struct {
	*net.TCPListener
	limiter *Limiter
}

// Listen listens on a TCP address for a server that is attached to the limiter.
func (l *Limiter) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{TCPListener: inner.(*net.TCPListener), limiter: l}, nil
}

// limitReceiveBuffer sets the receive buffer of a listener, which its connections inherit.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(err, failed)
}

// Accept implements net.Listener. It refuses connections over the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &conn{TCPConn: inner, limiter: l.limiter, since: time.Now()}
		if l.limiter.admit(c) {
			return c, nil
		}
		l.limiter.refuse(inner)
	}
}

// refuse answers a new connection over the limit and closes it. It doesn't wait for the client,
// as it blocks Accept.
func (l *Limiter) refuse(inner *net.TCPConn) {
	l.logger.RateLimitedWarn("refused").Int("limit", l.limits().Connections).
		Msg("The limit of connections is reached; a new one is refused.")
	discardArrived(inner)
	writeRefusal(inner, overLimitAnswer)
	select {
	case l.refusals <- struct{}{}:
	default:
		_ = inner.Close()
		return
	}
	go func() {
		defer func() { <-l.refusals }()
		defer inner.Close()
		discardRest(inner)
	}()
}

// writeRefusal writes an answer, unless the client has disconnected or doesn't read.
func writeRefusal(c *net.TCPConn, answer string) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // fails if the connection has ended
	_, _ = io.WriteString(c, answer)
}

// discardArrived reads what has arrived on a connection, without waiting for more.
func discardArrived(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return // the connection has ended
	}
	_ = raw.Read(func(descriptor uintptr) bool {
		_, _ = syscall.Read(int(descriptor), make([]byte, readAheadBytes)) // nothing may have arrived
		return true
	})
}

// discardRest ends the sending side after an answer and reads what the client still sends,
// as a close with unread bytes would reset the connection.
func discardRest(c *net.TCPConn) {
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c, refusalReadBytes)) // ends at its deadline
}
