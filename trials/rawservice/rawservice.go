// Package rawservice is a stand-in for a plain service in trouble: the fake endpoint, but for
// one path, which it answers with given bytes and a reset of the connection.
package rawservice

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/fakeendpoint"
)

const (
	// Path is where the service takes requests that it answers so.
	Path = "/visit"
	// UploadBytes is the length of a request that the socket buffers don't hold while the
	// service doesn't read it.
	UploadBytes = 4 << 20

	concurrency   = 4
	partReadBytes = 1 << 10 // of the body of a request, before the answer
	// beforeTheReset is the time between the last byte of an answer and the reset of its
	// connection, in which the byte is read.
	beforeTheReset = 50 * time.Millisecond
)

// Service is an http.Handler that writes its answer itself once it has read a part of the
// request, and then resets the connection.
type Service struct {
	*fakeendpoint.Endpoint // answers all other calls of the agent, and announces the service
	answer                 atomic.Pointer[string]
	calls                  atomic.Int32
}

// New returns a service with a name, which announces itself to an agent at its announce
// address.
func New(name, agent string) *Service {
	return &Service{Endpoint: fakeendpoint.New(fakeendpoint.Config{
		Name: "s1", Service: name, Agent: "http://" + agent, Concurrency: concurrency, ColdConcurrency: concurrency,
	})}
}

// SetAnswer sets the bytes of the next answers, to which it adds the boot ID as a field behind
// the status line. It sets the number of calls to 0.
func (s *Service) SetAnswer(text string) {
	text = strings.Replace(text, "\r\n", "\r\nX-Boot-Id: "+s.State().BootID+"\r\n", 1)
	s.answer.Store(&text)
	s.calls.Store(0)
}

// Calls returns how many requests the service has got since SetAnswer.
func (s *Service) Calls() int { return int(s.calls.Load()) }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != Path {
		s.Handler().ServeHTTP(w, r)
		return
	}
	s.calls.Add(1)
	_, _ = io.CopyN(io.Discard, r.Body, partReadBytes) // the body may be shorter
	writeAndReset(w, *s.answer.Load())
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
