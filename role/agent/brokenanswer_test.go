package agent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/httpserver"
	"github.com/apricotspoke/apricotspoke/trials/rawservice"
)

// startWithService starts an agent beside a service and returns a client of its gate.
func startWithService(t *testing.T) (*rawservice.Service, wire.GateClient) {
	t.Helper()
	peers, address := startFakePeers(t)
	options := newOptions(t, address)
	service := rawservice.New("booking", options.AnnounceListen)
	server := httpserver.Start(t, service)
	agent, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = agent.Run(t.Context()) }() // ends with the test
	go service.Announce(t.Context(), server.Listener.Addr().String())
	awaitReport(t, peers, (*wire.GateReport).GetReady)
	conn, err := link.Dial(options.Listen, link.Security{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return service, wire.NewGateClient(conn)
}

// checkFails sends an attempt that may not run twice, and that is answered with some bytes. It
// must run once and fail, as one that may have run. An attempt that the gate refuses, as it asks
// the endpoint whether it has restarted, is sent again.
func checkFails(t *testing.T, client wire.GateClient, service *rawservice.Service, id, answer string, body []byte) {
	t.Helper()
	const pause = 50 * time.Millisecond
	service.SetAnswer(answer)
	for n := 0; ; n++ {
		open := &wire.AttemptOpen{Attempt: fmt.Sprintf("%s-%d", id, n), Method: "POST", Path: rawservice.Path}
		stream := startAttemptAt(t, client, open, body)
		text, down := "", receive(t, stream)
		for ; down.GetEnd() == nil && down.GetRefused() == nil; down = receive(t, stream) {
			text += string(down.GetChunk().GetData())
		}
		if down.GetRefused() != nil && service.Calls() == 0 {
			time.Sleep(pause)
			continue
		}
		if end := down.GetEnd(); end.GetFailure() == nil || !end.MayHaveRun || service.Calls() != 1 {
			t.Errorf("%s: %q, %v, ran %d times", id, text, down, service.Calls())
		}
		return
	}
}

// Guards against a part of a service's answer that counts as the whole one, after a reset while
// the request was still being written.
func TestAnswerOfAServiceResetDuringAnUploadIsNotWhole(t *testing.T) {
	service, client := startWithService(t)
	for name, answer := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n0123456789",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n",
		"none":     "HTTP/1.1 200 OK\r\n\r\n0123456789",
		"HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n0123456789",
		"events":   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n",
	} {
		for try := range 3 {
			id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, "/", ""), try)
			checkFails(t, client, service, id, answer, make([]byte, rawservice.UploadBytes))
		}
	}
}

// Guards against an answer of a service with a broken head, or with a status that no answer has,
// that is passed on as an answer.
func TestAnswerOfAServiceWithABrokenHeadIsNoAnswer(t *testing.T) {
	service, client := startWithService(t)
	for name, head := range map[string]string{
		"blank":              "HTTP/1.1 200 OK\r\nX Broken: 1\r\n",
		"blank-behind":       "HTTP/1.1 200 OK\r\nX-Broken : 1\r\n",
		"control-byte":       "HTTP/1.1 200 OK\r\nX-Bro\x01ken: 1\r\n",
		"chunks-in-1.0":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"status-000":         "HTTP/1.1 000 x\r\n",
		"status-099":         "HTTP/1.1 099 x\r\nX-Not-Run: true\r\n",
		"status-600":         "HTTP/1.1 600 x\r\n",
		"status-000-events":  "HTTP/1.1 000 x\r\nContent-Type: text/event-stream\r\n",
		"HTTP-3.7":           "HTTP/3.7 200 OK\r\n",
		"HTTP-3.7-events":    "HTTP/3.7 200 OK\r\nContent-Type: text/event-stream\r\n",
		"refusal-with-blank": "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nX Broken: 1\r\n",
	} {
		checkFails(t, client, service, name, head+"Content-Length: 10\r\n\r\n0123456789", []byte("booking"))
	}
}
