package loopback

import (
	"io"
	"net"
	"testing"
)

// Guards against a port that is given back while its server is restarted: nobody else may
// listen on it, callers must be turned away meanwhile, and the next server gets the calls.
func TestKeptPortIsNeverFree(t *testing.T) {
	kept := KeepFor(t)
	for range 3 {
		listener := kept.Listen()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "served") // the caller sees if it is lost
				_ = conn.Close()
			}
		}()
		if text := answerOf(kept.Address()); text != "served" {
			t.Errorf("the server answered %q", text)
		}
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
		if other, err := net.Listen("tcp", kept.Address()); err == nil {
			_ = other.Close()
			t.Error("somebody else could listen on the port")
		}
		if text := answerOf(kept.Address()); text != "" {
			t.Errorf("a stopped server answered %q", text)
		}
	}
}

// answerOf returns what is read from a new connection to an address until it ends; nothing
// if it is reset.
func answerOf(address string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "" // it was reset already
	}
	defer conn.Close()
	text, _ := io.ReadAll(conn) // fails when the connection is reset
	return string(text)
}
