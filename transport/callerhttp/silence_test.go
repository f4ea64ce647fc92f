package callerhttp

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// pipeListener accepts one connection and then waits until it is closed.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against callers that have gone silent and hold the memory of their answers for
// good, of which all requests of the entry share one budget.
func TestAnswerThatIsNotReadIsGivenUp(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		listener := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		written := make(chan struct{})
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c := &call{w: w, r: r}
			c.writeOutcome(&wire.Outcome{Status: http.StatusOK, Body: make([]byte, 1<<20)}, "e1")
			close(written)
		})}
		go func() { _ = server.Serve(listener) }() // ends when the server is closed
		near, far := net.Pipe()
		listener.conns <- far
		if _, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Hour)
		select {
		case <-written:
		default:
			t.Error("an answer that nobody reads is held after an hour")
		}
		_ = near.Close()
		_ = server.Close()
	})
}
