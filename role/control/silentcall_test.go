package control

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// Guards against checks whose other end doesn't read the answer and that hold a connection for
// good.
func TestSilentCheckIsGivenUp(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		near, far := net.Pipe()
		server := newHTTPServer("", configsync.NewStore(), nil)
		served := make(chan struct{})
		go func() { _ = server.Serve(bubble.Listen(far)); close(served) }() // ends when it is closed
		if _, err := io.WriteString(near, "GET /healthz HTTP/1.1\r\nHost: control\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Hour)
		_ = near.SetWriteDeadline(time.Now().Add(time.Second)) // never fails
		if _, err := io.WriteString(near, "GET /healthz HTTP/1.1\r\n"); !errors.Is(err, io.ErrClosedPipe) {
			t.Error("the call is open after an hour")
		}
		_ = near.Close()   // ends what is open
		_ = server.Close() // it was told to end
		<-served
	})
}
