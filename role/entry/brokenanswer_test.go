package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/role/agent"
	"github.com/apricotspoke/apricotspoke/trials/httpserver"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
	"github.com/apricotspoke/apricotspoke/trials/rawservice"
)

// startAgent starts an agent beside a service until the end of the test.
func (b *testbed) startAgent() *rawservice.Service {
	b.t.Helper()
	options := &agent.Options{
		ID: "agent1", DataCentre: "d1", Listen: b.freeAddress(), AnnounceListen: b.freeAddress(),
		Control: []string{b.controlAddress}, Entries: []string{b.fleetAddress}, DrainLimit: time.Minute,
	}
	a, err := agent.New(options)
	if err != nil {
		b.t.Fatal(err)
	}
	service := rawservice.New("booking", options.AnnounceListen)
	server := httpserver.Start(b.t, service)
	go func() { _ = a.Run(b.t.Context()) }() // ends with the test
	go service.Announce(b.t.Context(), server.Listener.Addr().String())
	b.await("routable service", func() bool { return b.routableEndpoints() > 0 })
	return service
}

func (b *testbed) freeAddress() string {
	b.t.Helper()
	address, err := loopback.ReserveAddress()
	if err != nil {
		b.t.Fatal(err)
	}
	return address
}

// upload sends a long request with a key until the service has got it: the gate refuses
// requests while it asks the service whether it has restarted.
func (b *testbed) upload(service *rawservice.Service, key string) answer {
	b.t.Helper()
	const pause = 50 * time.Millisecond
	body := strings.Repeat("u", rawservice.UploadBytes)
	for n := 0; ; n++ {
		got := b.do("POST", "/services/booking"+rawservice.Path, body, "Idempotency-Key", fmt.Sprint(key, n), "X-Deadline-Ms", "6000")
		if service.Calls() > 0 || got.status < 500 {
			return got
		}
		time.Sleep(pause)
	}
}

// Guards against a part of an answer, or an answer with a broken head or status, that reaches a
// caller through an entry and an agent.
func TestBrokenAnswerOfAServiceReachesNoCaller(t *testing.T) {
	b := newTestbed(t, 0, nil)
	service := b.startAgent()
	for name, text := range map[string]string{
		"length":                   "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n0123456789",
		"chunks":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n",
		"none":                     "HTTP/1.1 200 OK\r\n\r\n0123456789",
		"HTTP/1.0":                 "HTTP/1.0 200 OK\r\n\r\n0123456789",
		"status 000":               "HTTP/1.1 000 x\r\nContent-Length: 10\r\n\r\n0123456789",
		"status 600":               "HTTP/1.1 600 x\r\nContent-Length: 10\r\n\r\n0123456789",
		"events":                   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 0123\n\n",
		"events, status 000":       "HTTP/1.1 000 x\r\nContent-Type: text/event-stream\r\nContent-Length: 12\r\n\r\ndata: 0123\n\n",
		"events, HTTP/3.7":         "HTTP/3.7 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 12\r\n\r\ndata: 0123\n\n",
		"HTTP/3.7":                 "HTTP/3.7 200 OK\r\nContent-Length: 10\r\n\r\n0123456789",
		"a blank in a name":        "HTTP/1.1 200 OK\r\nX Broken: 1\r\nContent-Length: 10\r\n\r\n0123456789",
		"a control byte in a name": "HTTP/1.1 200 OK\r\nX-Bro\x01ken: 1\r\nContent-Length: 10\r\n\r\n0123456789",
	} {
		service.SetAnswer(text)
		got := b.upload(service, name)
		if got.status < 500 || strings.Contains(got.body, "0123") || got.header.Get("X-Not-Run") != "" || service.Calls() != 1 {
			t.Errorf("%s: status %d, %q, ran %d times", name, got.status, got.body, service.Calls())
		}
	}
	service.SetAnswer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789")
	if got := b.upload(service, "whole"); got.status != 200 || got.body != "0123456789" {
		t.Errorf("a whole answer: status %d, %q", got.status, got.body)
	}
}
