package host

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	largeEvents     = 1500 // of 16 KiB: more than the socket buffers on the way hold
	largeEventBytes = 16 << 10
	// unreadTimeout is how long an endpoint waits for its answer to be read.
	unreadTimeout = 1500 * time.Millisecond
)

// streamLarge sends the large events that follow event last. It aborts when they stay unread,
// unless it continues a stream (last is not 0).
func streamLarge(w http.ResponseWriter, last int) {
	control := http.NewResponseController(w)
	filling := strings.Repeat("x", largeEventBytes)
	for i := last + 1; i <= largeEvents; i++ {
		if last == 0 {
			_ = control.SetWriteDeadline(time.Now().Add(unreadTimeout)) // fails with the write
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, filling); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// Guards against a caller that pauses and loses or repeats events, or whose endpoint is
// marked, after the endpoint has aborted the unread answer.
func TestCallerThatPausesGetsTheWholeStream(t *testing.T) {
	p, first, second := startFleet(t)
	p.putConfiguration(2, strings.ReplaceAll(configuration(6, `"key"`), `"timeoutMs":5000`, `"timeoutMs":60000`))
	p.await("the longer time limit is in force", func() bool {
		return strings.Contains(p.log("entry1"), `"version":6,`)
	})
	first.behaviour.Store("large")
	second.behaviour.Store("large")
	conn, err := net.Dial("tcp", net.JoinHostPort(p.host(1), strconv.Itoa(p.ports[0])))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /stream/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: pausing\r\nX-Api-Key: key\r\nDeadline-Ms: 60000\r\nToken-Usage: 100,10\r\nContent-Length: 0\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * unreadTimeout)
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 2*largeEventBytes)
	events := 0
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			if events++; id != fmt.Sprint(events) {
				t.Fatalf("event %s came as event %d", id, events)
			}
		}
	}
	if lines.Err() != nil || events != largeEvents {
		t.Errorf("%d events, %v", events, lines.Err())
	}
	if runs := first.runCount("pausing") + second.runCount("pausing"); runs != 2 {
		t.Errorf("it ran %d times", runs)
	}
	checkFields(t, p.finalLine("entry1", "pausing"), map[string]any{"outcome": "served", "sends": 2.0})
	const continued = "A stream goes on whose endpoint aborted it as its caller read slowly."
	if lines := p.logLines("entry1", "pausing", continued); len(lines) != 1 {
		t.Errorf("%d lines about the continuation", len(lines))
	}
	if late := p.logLines("entry1", "pausing", "The answer is late."); len(late) != 0 {
		t.Errorf("the answer counts as late: %v", late)
	}
}
