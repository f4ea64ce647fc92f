package agent

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// Guards against announcements whose endpoint has gone silent and that hold a connection for
// good.
func TestSilentAnnouncementIsGivenUp(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		near, far := net.Pipe()
		agent := &Agent{options: &Options{}}
		servers := agent.serveHTTP(bubble.Listen(far), make(chan error, 1))
		if _, err := io.WriteString(near, "POST /announce HTTP/1.1\r\nHost: agent\r\nContent-Length: 1000\r\n\r\n{"); err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() { _, _ = io.Copy(io.Discard, near); close(ended) }() // ends with the connection
		time.Sleep(time.Hour)
		select {
		case <-ended:
		default:
			t.Error("the call is open after an hour")
		}
		_ = near.Close() // ends what is open
		for _, server := range servers {
			_ = server.Close() // it was told to end
		}
	})
}
