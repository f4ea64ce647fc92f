package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

const (
	cutHeadStart = "HTTP/1.1 200 OK\r\nX-Boot-Id: b\r\nX-Not-Run: true\r\nContent-Type: application/json\r\n"
	cutBody      = `{"boot_id":"b","result":"ok"}`
)

// framedAnswers are whole answers by how the end of the body is told. The last part of each
// is the body.
var framedAnswers = map[string][2]string{
	"length":                {cutHeadStart + "Content-Length: 29\r\n\r\n", cutBody},
	"chunks":                {cutHeadStart + "Transfer-Encoding: chunked\r\n\r\n", "1d\r\n" + cutBody + "\r\n0\r\n\r\n"},
	"chunks with a trailer": {cutHeadStart + "Trailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n", "1d\r\n" + cutBody + "\r\n0\r\nX-A: b\r\n\r\n"},
	"end of the connection": {cutHeadStart + "\r\n", cutBody},
	"lines ending in LF":    {strings.ReplaceAll(cutHeadStart, "\r\n", "\n") + "Content-Length: 29\n\n", cutBody},
	"after an interim head": {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + cutHeadStart + "Content-Length: 29\r\n\r\n", cutBody},
}

// startCutter returns a client of an endpoint that sends the texts of next and then closes
// or resets.
func startCutter(t *testing.T, reset bool) (client *Client, next chan string) {
	t.Helper()
	listener := loopback.Listen(t)
	next = make(chan string, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body) // a close with bytes unread would be a reset
				_, _ = io.WriteString(conn, <-next)      // fails once the client has given up
			}
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	client = NewClient()
	client.SetAddress(listener.Addr().String())
	return client, next
}

// readWhole returns the body of a response.
func readWhole(response *gate.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// callForText makes a call that is answered with a text. If no connection could be opened in
// time, so that the endpoint has read no request for the text, it calls again.
func callForText(t *testing.T, client *Client, next chan string, text string, call func(context.Context, *Client) (string, error)) (string, error) {
	next <- text
	body, err := call(t.Context(), client)
	if err != nil {
		select {
		case <-next:
			return callForText(t, client, next, text, call)
		default:
		}
	}
	return body, err
}

// allCalls are the calls that an agent makes at its endpoint. Each returns the body of its
// answer, or cutBody if that was decoded or isn't needed.
var allCalls = map[string]func(ctx context.Context, c *Client) (string, error){
	"an attempt": func(ctx context.Context, c *Client) (string, error) {
		return readWhole(c.Send(ctx, &gate.Call{Attempt: "a1", Method: "POST", Path: "/v1/completions", Body: []byte("{}")}))
	},
	"a resumption": func(ctx context.Context, c *Client) (string, error) { return readWhole(c.Resume(ctx, "a1", 3)) },
	"a list":       func(ctx context.Context, c *Client) (string, error) { _, err := c.List(ctx); return cutBody, err },
	"a report":     func(ctx context.Context, c *Client) (string, error) { _, err := c.Load(ctx); return cutBody, err },
	"an order": func(ctx context.Context, c *Client) (string, error) {
		result, err := c.Order(ctx, gate.OrderCall{Number: 1, Kind: wire.OrderKind_ORDER_KIND_LOAD_MODEL})
		if err == nil && result != "ok" {
			err = errors.New("it has the result " + result)
		}
		return cutBody, err
	},
	"a cancellation": func(ctx context.Context, c *Client) (string, error) { return cutBody, c.Cancel(ctx, "a1") },
	"a deletion":     func(ctx context.Context, c *Client) (string, error) { return cutBody, c.DeleteBlock(ctx, "b1") },
	"cache events": func(ctx context.Context, c *Client) (string, error) {
		_, err := c.fetchCacheEvents(ctx, 0)
		return cutBody, err
	},
}

// Guards against an answer of an engine that counts as whole, or as never sent, though it was
// cut at any byte of its head or its framed body.
func TestAnswerCutAtAnyByteIsNeverWhole(t *testing.T) {
	for _, reset := range []bool{false, true} {
		client, next := startCutter(t, reset)
		for name, parts := range framedAnswers {
			text := parts[0] + parts[1]
			for what, call := range allCalls {
				for cut := range len(text) {
					body, err := callForText(t, client, next, text[:cut], call)
					endedByClose := !reset && parts[1] == cutBody && name == "end of the connection" && cut >= len(parts[0])
					if err == nil && !endedByClose || errors.Is(err, gate.ErrNotSent) {
						t.Errorf("%s, %s cut at %d, reset %v: %q, %v", what, name, cut, reset, body, err)
					}
				}
				if reset {
					continue // a reset may overtake the last bytes
				}
				if body, err := callForText(t, client, next, text, call); err != nil || body != cutBody {
					t.Errorf("%s, %s: the whole answer: %q, %v", what, name, body, err)
				}
			}
		}
	}
}
