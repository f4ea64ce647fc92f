package shortcall

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

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
	ended := make(chan struct{})
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
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
	near, far := net.Pipe()
	go func() { _ = server.Serve(bubble.Listen(far)) }() // ends when the server is closed
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
