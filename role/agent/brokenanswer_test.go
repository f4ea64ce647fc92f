package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/httpserver"
)

const (
	uploadBytes   = 4 << 20 // more than the socket buffers hold
	partReadBytes = 1 << 10
	// beforeTheReset is the time between the last byte of an answer and the reset of its
	// connection, in which the byte is read.
	beforeTheReset = 50 * time.Millisecond
)

// rawService is a plain service that answers with the same bytes once it has read a part of a
// request, and then resets the connection.
type rawService struct {
	t      *testing.T
	answer atomic.Value // a string
	calls  atomic.Int32
}

func (s *rawService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/boot":
		_, _ = io.WriteString(w, `{"boot_id":"b1"}`) // the agent asks again
	case "/load":
		_, _ = io.WriteString(w, `{"boot_id":"b1","admissible":4}`)
	case "/book":
		s.calls.Add(1)
		_, _ = io.CopyN(io.Discard, r.Body, partReadBytes) // the body may be shorter
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			s.t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, s.answer.Load().(string)) // the agent may have left
		time.Sleep(beforeTheReset)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	default:
		http.NotFound(w, r)
	}
}

// startWithService starts an agent beside a service and returns a client of its gate.
func startWithService(t *testing.T, service http.Handler) wire.GateClient {
	t.Helper()
	peers, address := startFakePeers(t)
	server := httpserver.Start(t, service)
	options := newOptions(t, address)
	agent, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = agent.Run(t.Context()) }() // ends with the test
	go announce(t, options.AnnounceListen, fmt.Sprintf(`{"endpoint":"s1","address":%q,"service":"booking","boot_id":"b1","concurrency":4,"cold_concurrency":4}`, server.Listener.Addr()))
	awaitReport(t, peers, (*wire.GateReport).GetReady)
	conn, err := link.Dial(options.Listen, link.Security{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return wire.NewGateClient(conn)
}

// checkFails sends an attempt that may not run twice. It must run once and fail, as one that
// may have run. An attempt that the gate refuses, as it asks the endpoint whether it has
// restarted, is sent again.
func (s *rawService) checkFails(client wire.GateClient, id string, body []byte) {
	s.t.Helper()
	s.calls.Store(0)
	for n := 0; ; n++ {
		open := &wire.AttemptOpen{Attempt: fmt.Sprintf("%s-%d", id, n), Method: "POST", Path: "/book"}
		stream := startAttemptAt(s.t, client, open, body)
		text, down := "", receive(s.t, stream)
		for ; down.GetEnd() == nil && down.GetRefused() == nil; down = receive(s.t, stream) {
			text += string(down.GetChunk().GetData())
		}
		if down.GetRefused() != nil && s.calls.Load() == 0 {
			time.Sleep(beforeTheReset)
			continue
		}
		if end := down.GetEnd(); end.GetFailure() == nil || !end.MayHaveRun || s.calls.Load() != 1 {
			s.t.Errorf("%s: %q, %v, ran %d times", id, text, down, s.calls.Load())
		}
		return
	}
}

// Guards against a part of a service's answer that counts as the whole one, after a reset while
// the request was still being written.
func TestAnswerOfAServiceResetDuringAnUploadIsNotWhole(t *testing.T) {
	service := &rawService{t: t}
	client := startWithService(t, service)
	for name, answer := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nX-Boot-Id: b1\r\nContent-Length: 20\r\n\r\n0123456789",
		"chunks":   "HTTP/1.1 200 OK\r\nX-Boot-Id: b1\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n",
		"none":     "HTTP/1.1 200 OK\r\nX-Boot-Id: b1\r\n\r\n0123456789",
		"HTTP/1.0": "HTTP/1.0 200 OK\r\nX-Boot-Id: b1\r\n\r\n0123456789",
		"events":   "HTTP/1.1 200 OK\r\nX-Boot-Id: b1\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n",
	} {
		service.answer.Store(answer)
		for try := range 3 {
			service.checkFails(client, fmt.Sprintf("%s-%d", strings.ReplaceAll(name, "/", ""), try), make([]byte, uploadBytes))
		}
	}
}

// Guards against an answer of a service with a broken head, or with a status that no answer has,
// that is passed on as an answer.
func TestAnswerOfAServiceWithABrokenHeadIsNoAnswer(t *testing.T) {
	service := &rawService{t: t}
	client := startWithService(t, service)
	for name, head := range map[string]string{
		"blank":              "HTTP/1.1 200 OK\r\nX Broken: 1\r\n",
		"blank-behind":       "HTTP/1.1 200 OK\r\nX-Broken : 1\r\n",
		"control-byte":       "HTTP/1.1 200 OK\r\nX-Bro\x01ken: 1\r\n",
		"chunks-in-1.0":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"status-000":         "HTTP/1.1 000 x\r\n",
		"status-099":         "HTTP/1.1 099 x\r\nX-Not-Run: true\r\n",
		"status-600":         "HTTP/1.1 600 x\r\n",
		"refusal-with-blank": "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nX Broken: 1\r\n",
	} {
		service.answer.Store(head + "X-Boot-Id: b1\r\nContent-Length: 10\r\n\r\n0123456789")
		service.checkFails(client, name, []byte("booking"))
	}
}
