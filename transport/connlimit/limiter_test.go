package connlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// testServer answers requests, those to /hold once release is closed.
type testServer struct {
	t       *testing.T
	limiter *Limiter
	address string
	held    chan struct{}
	release chan struct{}
	evicted atomic.Int64
	stalled atomic.Bool // there is a body without progress
}

func newTestServer(t *testing.T, limits Limits) *testServer {
	t.Helper()
	s := &testServer{t: t, held: make(chan struct{}, 100), release: make(chan struct{})}
	s.limiter = New(func() Limits { return limits }, func() bool { s.evicted.Add(1); return s.stalled.Load() })
	l, err := s.limiter.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			s.held <- struct{}{}
			<-s.release
		}
	})}
	s.limiter.Attach(server)
	go func() { _ = server.Serve(l) }() // ends when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// connect opens a connection and sends text.
func (s *testServer) connect(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(time.Minute)) // ends a test that hangs
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// awaitHeld waits until a request to /hold is handled.
func (s *testServer) awaitHeld() {
	s.t.Helper()
	select {
	case <-s.held:
	case <-time.After(time.Minute): // ends a test that hangs
		s.t.Fatal("a request is not handled")
	}
}

// status reads an answer; 0 for none.
func status(c net.Conn) int {
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return answer.StatusCode
}

// awaitPhase waits until as many connections are in a phase.
func (s *testServer) awaitPhase(p phase, n int) {
	s.t.Helper()
	for range 6000 {
		s.limiter.mu.Lock()
		found := 0
		for c := range s.limiter.open {
			if c.phase == p {
				found++
			}
		}
		s.limiter.mu.Unlock()
		if found == n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("never %d connections in phase %d", n, p)
}

// age makes all connections look as if they had been in their phase for a while.
func (s *testServer) age() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	for c := range s.limiter.open {
		c.since = c.since.Add(-headerStalledAfter)
	}
}

const (
	request     = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	heldRequest = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
)

// Guards against more connections than the process can hold, against a running request that
// is ended for a new connection, and against a refusal without an answer.
func TestNewConnectionTakesThePlaceOfAnIdleOne(t *testing.T) {
	s := newTestServer(t, Limits{Connections: 4})
	s.connect(heldRequest)
	s.awaitHeld()
	s.connect(heldRequest)
	s.awaitHeld()
	running := s.connect(heldRequest)
	s.awaitHeld()
	idle := s.connect(request)
	if status(idle) != 200 {
		t.Fatal("no answer")
	}
	s.awaitPhase(phaseIdle, 1)
	s.age()
	second := s.connect(heldRequest)
	s.awaitHeld()
	if status(idle) != 0 {
		t.Error("the idle connection is open")
	}
	refused := s.connect(request)
	if code := status(refused); code != 503 || s.evicted.Load() != 1 {
		t.Errorf("a connection over the limit: status %d, %d evictions asked for", code, s.evicted.Load())
	}
	s.stalled.Store(true)
	if code := status(s.connect(request)); code != 200 {
		t.Errorf("a connection in place of a body without progress: status %d", code)
	}
	close(s.release)
	if status(running) != 200 || status(second) != 200 {
		t.Error("a running request was ended")
	}
	if c := s.limiter.Counts(); c.Refused != 1 || c.EvictedIdle != 1 || c.EvictedBody != 1 || c.Open > 5 {
		t.Errorf("%+v", c)
	}
}

// Guards against clients that hold connections with a part of a header, or with nothing.
func TestTimeLimitsOfHeadersAndIdleConnections(t *testing.T) {
	s := newTestServer(t, Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
	header, idle, running := s.connect(request[:10]), s.connect(""), s.connect(heldRequest)
	s.awaitHeld()
	s.awaitPhase(phaseHeader, 1)
	s.awaitPhase(phaseIdle, 1)
	s.limiter.sweep(time.Now().Add(time.Second))
	if open := s.limiter.Counts().Open; open != 3 {
		t.Errorf("%d connections within the limits", open)
	}
	s.limiter.sweep(time.Now().Add(4 * time.Second))
	s.limiter.sweep(time.Now().Add(16 * time.Second))
	if status(header) != 0 || status(idle) != 0 {
		t.Error("a connection is open beyond its time")
	}
	close(s.release)
	if status(running) != 200 {
		t.Error("a running request was ended")
	}
	if c := s.limiter.Counts(); c.SlowHeaders != 1 || c.IdleTimeouts != 1 {
		t.Errorf("%+v", c)
	}
}

// Guards against headers without end, and against a limit that ordinary ones meet, also on a
// connection that has served bodies.
func TestHeadersAreLimited(t *testing.T) {
	s := newTestServer(t, Limits{HeaderBytes: 16 << 10})
	c := s.connect("")
	withHeader := func(n int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX: %s\r\nContent-Length: 100000\r\n\r\n", strings.Repeat("x", n))
	}
	answers := bufio.NewReader(c)
	for range 3 {
		if _, err := io.WriteString(c, withHeader(16<<10-100)+strings.Repeat("b", 100_000)); err != nil {
			t.Fatal(err)
		}
		if answer, err := http.ReadResponse(answers, nil); err != nil || answer.StatusCode != 200 {
			t.Fatalf("a header at the limit: %v", err)
		}
		s.awaitPhase(phaseIdle, 1)
	}
	if code := status(s.connect(withHeader(32 << 10))); code != 431 {
		t.Errorf("a header over the limit: status %d", code)
	}
}

// Guards against clients that hold connections for good by not reading what is written without
// a deadline, such as net/http's answer to an invalid request behind unread answers; and
// against a time limit that replaces a handler's own.
func TestUnreadWriteWithoutADeadlineEnds(t *testing.T) {
	limiter := New(func() Limits { return Limits{} }, func() bool { return false })
	limiter.writeTimeout = 50 * time.Millisecond
	listener, err := limiter.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fail := time.AfterFunc(time.Minute, func() { _ = c.Close() }) // ends a test that hangs
	defer fail.Stop()
	moreThanBuffers := make([]byte, 64<<20)
	if _, err := c.Write(moreThanBuffers); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("without a deadline: %v", err)
	}
	began, own := time.Now(), 4*limiter.writeTimeout
	_ = c.SetWriteDeadline(began.Add(own))
	if _, err := c.Write(moreThanBuffers); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(began) < own {
		t.Errorf("with a deadline: %v after %v", err, time.Since(began))
	}
	_ = c.SetWriteDeadline(time.Time{})
	if _, err := c.Write(moreThanBuffers); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the deadline was removed: %v", err)
	}
}

// Guards against bodies that are evicted for a connection that is refused all the same.
func TestNoBodyIsEvictedForARefusedConnection(t *testing.T) {
	s := newTestServer(t, Limits{Connections: 4})
	s.stalled.Store(true)
	for range 5 { // the last one beyond the limit, by a quarter
		s.connect(heldRequest)
		s.awaitHeld()
	}
	if code := status(s.connect(request)); code != 503 || s.evicted.Load() != 1 {
		t.Errorf("status %d, %d evictions asked for", code, s.evicted.Load())
	}
	close(s.release)
}
