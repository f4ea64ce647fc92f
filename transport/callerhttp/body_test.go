package callerhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// Guards against callers that send a part of a body and stop, and so hold a connection, or
// memory that all requests of the entry share, for good.
func TestUnfinishedBodyIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		head   string
		status int
	}{
		"announced":      {"Content-Length: 1000\r\n\r\nx", 408},
		"chunked":        {"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", 408},
		"over the limit": {fmt.Sprintf("Content-Length: %d\r\n\r\nx", maxBodyBytes+1), 413},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				budget := NewBodyBudget()
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					s := &Server{BodyBudget: budget, Metrics: metrics.New(), Log: logs.For("entry")}
					c := &call{server: s, w: w, r: r, memory: budget.newReservation()}
					if _, err := readBody(w, r, c.memory); err != nil {
						c.refuse(err)
					}
				})}
				near, far := net.Pipe()
				go func() { _ = server.Serve(bubble.Listen(far)) }() // ends when the server is closed
				go func() { _, _ = io.WriteString(near, "POST / HTTP/1.1\r\nHost: entry\r\n"+c.head) }()
				answer, err := http.ReadResponse(bufio.NewReader(near), nil)
				if err != nil {
					t.Fatal(err)
				}
				text, err := io.ReadAll(answer.Body)
				if answer.StatusCode != c.status || !answer.Close || answer.Header.Get("X-Not-Run") != "true" || err != nil || budget.HeldBytes() != 0 {
					t.Errorf("status %d, closed %v, %s, %v, %d bytes held", answer.StatusCode, answer.Close, text, err, budget.HeldBytes())
				}
				if c.status == 408 && !strings.Contains(string(text), string(fault.BodyTimeout)) {
					t.Errorf("%s", text)
				}
				time.Sleep(time.Second) // the server closes a little later
				_ = near.Close()
				_ = server.Close()
			})
		})
	}
}

// Guards against callers that hold connections for good by not reading small responses.
func TestUnreadSmallResponseEndsItsConnection(t *testing.T) {
	for _, path := range []string{"/no-route", "/healthz", "/metrics"} {
		t.Run(path, func(t *testing.T) { testUnreadResponse(t, path) })
	}
}

func testUnreadResponse(t *testing.T, path string) {
	bubble.Run(t, func(t *testing.T) {
		closed := make(chan struct{})
		server := &http.Server{
			Handler: (&Server{Metrics: metrics.New()}).Handler(),
			ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateClosed {
					close(closed)
				}
			},
		}
		near, far := net.Pipe()
		go func() { _ = server.Serve(bubble.Listen(far)) }() // ends when the server is closed
		_, _ = io.WriteString(near, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		select {
		case <-closed:
		case <-time.After(time.Minute):
			t.Error("the connection is open")
		}
		_ = near.Close()
		_ = server.Close()
	})
}
