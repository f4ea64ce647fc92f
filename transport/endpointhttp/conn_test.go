package endpointhttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

const (
	uploadBytes   = 4 << 20 // more than the socket buffers hold
	partReadBytes = 1 << 10
	// beforeTheEnd is the time between the last byte of an answer and the end of its
	// connection, in which the byte is read.
	beforeTheEnd = 20 * time.Millisecond
	tries        = 10 // of each case, as the reader and the writer of a connection race
)

// endpoint answers each request with the same bytes.
type endpoint struct {
	url    string
	answer string
	reads  int64 // bytes of the body of the request that are read before the answer
	end    func(conn *net.TCPConn)
}

// start listens until the end of the test.
func (e *endpoint) start(t *testing.T) {
	t.Helper()
	listener := loopback.Listen(t)
	e.url = "http://" + listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go e.serve(conn.(*net.TCPConn))
		}
	}()
}

func (e *endpoint) serve(conn *net.TCPConn) {
	defer conn.Close()
	q, err := http.ReadRequest(bufio.NewReaderSize(conn, partReadBytes))
	if err != nil {
		return // the client has left
	}
	_, _ = io.CopyN(io.Discard, q.Body, e.reads) // the body may be shorter
	_, _ = io.WriteString(conn, e.answer)        // the client may have left
	e.end(conn)
}

func reset(conn *net.TCPConn) {
	time.Sleep(beforeTheEnd)
	_ = conn.SetLinger(0)
}

// resetAtOnce lets the kernel send a reset, as a part of the request is unread.
func resetAtOnce(*net.TCPConn) {}

// endInOrder ends the answer and reads the rest of the request.
func endInOrder(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

func newTransport() *Transport {
	return New(&http.Transport{DialContext: new(net.Dialer).DialContext, DisableKeepAlives: true})
}

// send sends a request and returns its answer with the body.
func (e *endpoint) send(t *testing.T, transport http.RoundTripper, method string, upload io.Reader) (*http.Response, string, error) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), method, e.url, upload)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(q)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// upload sends a request with a body of a length and returns the body of the answer.
func (e *endpoint) upload(t *testing.T, bodyBytes int) (string, error) {
	t.Helper()
	_, body, err := e.send(t, newTransport(), http.MethodPost, bytes.NewReader(make([]byte, bodyBytes)))
	return body, err
}

// wholeAnswers are answers with the same body, by their framing.
var wholeAnswers = map[string]string{
	"length":                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789",
	"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n",
	"end of the connection": "HTTP/1.1 200 OK\r\n\r\n0123456789",
	"HTTP/1.0":              "HTTP/1.0 200 OK\r\n\r\n0123456789",
}

// cutBytes are cut off answers with a length or chunks.
const cutBytes = 6

func isFramed(name string) bool { return name == "length" || name == "chunks" }

// Guards against an answer that counts as whole though its connection broke, in whichever
// order the reader and the writer of the connection learn of it.
func TestAnswerOfABrokenConnectionIsNeverWhole(t *testing.T) {
	for _, uploaded := range []int{0, partReadBytes, uploadBytes} {
		for what, end := range map[string]func(*net.TCPConn){"reset": reset, "reset at once": resetAtOnce} {
			if what == "reset at once" && uploaded != uploadBytes {
				continue // nothing is unread
			}
			for name, text := range wholeAnswers {
				if isFramed(name) {
					text = text[:len(text)-cutBytes]
				}
				t.Run(fmt.Sprintf("%d bytes, %s, %s", uploaded, name, what), func(t *testing.T) {
					t.Parallel()
					e := &endpoint{answer: text, reads: partReadBytes, end: end}
					e.start(t)
					for range tries {
						if body, err := e.upload(t, uploaded); err == nil {
							t.Errorf("%q counts as whole", body)
						}
					}
				})
			}
		}
	}
}

// endedConn is a connection whose other side has ended in order, and fails a write after a
// time.
type endedConn struct {
	net.Conn
	failsAfter time.Duration
	closed     chan struct{}
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	select {
	case <-time.After(c.failsAfter):
		return 0, syscall.EPIPE
	case <-c.closed:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.closed)
	return nil
}

// Guards against an end that counts as that of a whole answer though the endpoint, such as one
// that has crashed when it had read all that was sent, refuses the rest of the request. Also
// against a wait for an endpoint that leaves it unread.
func TestEndBeforeTheRequestIsRefused(t *testing.T) {
	for failsAfter, whole := range map[time.Duration]bool{time.Millisecond: false, maxResetDelay - 1: false, maxResetDelay + 1: true, time.Hour: true} {
		bubble.Run(t, func(t *testing.T) {
			c := newConn(&endedConn{failsAfter: failsAfter, closed: make(chan struct{})})
			c.beginRequest()
			written := make(chan error)
			go func() {
				_, err := c.Write([]byte("rest"))
				written <- err
			}()
			began := time.Now()
			_, err := c.Read(make([]byte, 1))
			if took := time.Since(began); errors.Is(err, io.EOF) != whole || err == nil || took != min(failsAfter, maxResetDelay) {
				t.Errorf("a write that fails after %v: %v after %v", failsAfter, err, took)
			}
			if err := <-written; err == nil {
				t.Error("the write succeeded")
			}
		})
	}
}

// Guards against a whole answer that fails because its endpoint answered before it had read
// the request, or closed the connection behind an answer with a length or chunks.
func TestWholeAnswerDuringAnUploadIsWhole(t *testing.T) {
	endUnread := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		<-t.Context().Done()
	}
	ends := map[string]func(*net.TCPConn){"in order": endInOrder, "unread": endUnread, "reset": reset, "reset at once": resetAtOnce}
	for what, end := range ends {
		for name, text := range wholeAnswers {
			if !isFramed(name) && (what == "reset" || what == "reset at once") {
				continue // it looks like a cut one
			}
			t.Run(name+", "+what, func(t *testing.T) {
				t.Parallel()
				e := &endpoint{answer: text, reads: partReadBytes, end: end}
				e.start(t)
				for range tries {
					if body, err := e.upload(t, uploadBytes); err != nil || body != "0123456789" {
						t.Errorf("%q, %v", body, err)
					}
				}
			})
		}
	}
}
