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

// Guards against callers that have gone silent and hold the memory of their answers for
// good, of which all requests of the entry share one budget.
func TestAnswerThatIsNotReadIsGivenUp(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		written := make(chan struct{})
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c := &call{w: w, r: r}
			c.writeOutcome(&wire.Outcome{Status: http.StatusOK, Body: make([]byte, 1<<20)}, "e1")
			close(written)
		})}
		near, far := net.Pipe()
		go func() { _ = server.Serve(bubble.Listen(far)) }() // ends when the server is closed
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
