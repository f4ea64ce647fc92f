// Package rawservice is a stand-in for a plain service in trouble: it answers with given bytes
// and resets the connection.
package rawservice

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// Path is where the service takes requests.
	Path = "/visit"
	// UploadBytes is the length of a request that the socket buffers don't hold while the
	// service doesn't read it.
	UploadBytes = 4 << 20

	bootID        = "b1"
	partReadBytes = 1 << 10 // of the body of a request, before the answer
	// beforeTheReset is the time between the last byte of an answer and the reset of its
	// connection, in which the byte is read.
	beforeTheReset       = 50 * time.Millisecond
	announcementInterval = 300 * time.Millisecond
)

// Service is an http.Handler that writes its answer itself once it has read a part of the
// request, and then resets the connection.
type Service struct {
	answer atomic.Pointer[string]
	calls  atomic.Int32
}

// SetAnswer sets the bytes of the next answers, to which it adds the boot ID as a field behind
// the status line. It sets the number of calls to 0.
func (s *Service) SetAnswer(text string) {
	text = strings.Replace(text, "\r\n", "\r\nX-Boot-Id: "+bootID+"\r\n", 1)
	s.answer.Store(&text)
	s.calls.Store(0)
}

// Calls returns how many requests the service has got since SetAnswer.
func (s *Service) Calls() int { return int(s.calls.Load()) }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/boot", "/load":
		_, _ = io.WriteString(w, `{"boot_id":"`+bootID+`","admissible":4}`) // the agent asks again
	case Path:
		s.calls.Add(1)
		_, _ = io.CopyN(io.Discard, r.Body, partReadBytes) // the body may be shorter
		writeAndReset(w, *s.answer.Load())
	default:
		http.NotFound(w, r)
	}
}

func writeAndReset(w http.ResponseWriter, answer string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, answer) // the agent may have left
	time.Sleep(beforeTheReset)
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Announce announces a service with a name to its agent until ctx ends. address is where it
// listens, agent the announce address of the agent.
func Announce(ctx context.Context, name, address, agent string) {
	text := fmt.Sprintf(`{"endpoint":"s1","address":%q,"service":%q,"boot_id":%q,"concurrency":4,"cold_concurrency":4}`, address, name, bootID)
	for ctx.Err() == nil {
		if response, err := http.Post("http://"+agent+"/announce", "application/json", strings.NewReader(text)); err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(announcementInterval)
	}
}
