package host

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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

// Guards against calls of operators, endpoints and checks whose other end has gone silent
// and that hold a goroutine, a descriptor and up to a whole configuration for good.
func TestSilentCallsAreGivenUp(t *testing.T) {
	for name, call := range map[string]string{
		"in the body":         "PUT / HTTP/1.1\r\nHost: control\r\nContent-Length: 1000\r\n\r\nhalf",
		"before the answer":   "GET / HTTP/1.1\r\nHost: control\r\n\r\n",
		"in a body left over": "POST /unread HTTP/1.1\r\nHost: control\r\nContent-Length: 1000\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) { testSilentCall(t, call) })
		})
	}
}

func testSilentCall(t *testing.T, call string) {
	const answer = 1 << 20
	listener := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	ended := make(chan struct{})
	server := newHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/unread" {
			return
		}
		_, _ = io.ReadAll(q.Body)                             // fails when the call is given up
		_, _ = io.WriteString(w, strings.Repeat("s", answer)) // fails when the call is given up
	}), time.Second)
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			close(ended)
		}
	}
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	near, far := net.Pipe()
	listener.conns <- far
	if _, err := io.WriteString(near, call); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Hour)
	select {
	case <-ended:
	default:
		t.Error("the call is open after an hour")
	}
	_ = near.Close()   // nothing was read
	_ = server.Close() // ends what is open
}
