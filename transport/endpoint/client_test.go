package endpoint

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

// Guards against a response header without end filling the memory: the client must give it
// up once it is far longer than any header, not when its caller loses patience.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	const headBytes = 1 << 20
	listener := loopback.Listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			defer conn.Close()                                                                        // at the end of the test, so that only the client can end the exchange
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("a", headBytes))) // fails once the client has given up
		}
	}()
	client := NewClient()
	client.SetAddress(listener.Addr().String())
	calls := map[string]func(ctx context.Context) error{
		"an attempt": func(ctx context.Context) error {
			_, err := client.Send(ctx, &gate.Call{Attempt: "a1", Method: "POST", Path: "/v1/completions", Body: []byte("{}")})
			return err
		},
		"a report": func(ctx context.Context) error {
			_, err := client.Load(ctx)
			return err
		},
	}
	for name, call := range calls {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if err := call(ctx); err == nil || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%s: %v", name, err)
		}
		cancel()
	}
}
