package host

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// headCut is an answer that ends with its connection after some bytes.
type headCut struct {
	framing string // header lines that tell the length of the body
	bytes   int
	reset   bool
}

// head returns the whole head of the answer to an attempt.
func (c headCut) head(id string) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n" + c.framing + "Replica-Signature: signature-of-i\r\n\r\n"
}

func (c headCut) answer(t *testing.T, w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = io.WriteString(conn, c.head(id)[:c.bytes]) // the caller may have disconnected
	if c.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// framings are the ways to tell the length of a body, of which only a close ends the last.
var framings = []string{"Content-Length: 1234\r\n", "Transfer-Encoding: chunked\r\n", ""}

// forEachCut calls test for each step-th cut of a head, closed and reset. It sets the cut of
// the endpoints.
func forEachCut(prefix string, step int, endpoints []*fakeEndpoint, test func(id string)) {
	for n, framing := range framings {
		for end, reset := range []bool{false, true} {
			cut := headCut{framing: framing, reset: reset}
			for length := len(cut.head(cutID(prefix, n, end, 0))); cut.bytes < length; cut.bytes += step {
				for _, e := range endpoints {
					e.headCut.Store(cut)
				}
				test(cutID(prefix, n, end, cut.bytes))
			}
		}
	}
}

// cutID returns an id whose length depends on the prefix alone.
func cutID(prefix string, framing, end, bytes int) string {
	return fmt.Sprintf("%s-%d-%d-%03d", prefix, framing, end, bytes)
}

// configurationWithRepeats also has a route whose requests may be repeated and a stream that
// may not be resumed.
func configurationWithRepeats() string {
	return strings.Replace(configuration(6, `"key"`), `"routes":[`, `"routes":[
{"name":"again","hostname":"site.example","pathPrefix":"/again/","routeType":"idempotent","timeoutMs":3000,"targetLatencyMs":1000,"service":"s","maxAttempts":2},
{"name":"live","hostname":"site.example","pathPrefix":"/stream/live/","routeType":"streaming","timeoutMs":5000,"targetLatencyMs":1000,"targetItlMs":500,"service":"s","maxAttempts":2},`, 1)
}

// Guards against a 200 with an empty or short body, or a refusal of a request that ran, after
// an endpoint stopped in the head of its answer.
func TestHeadCutInTheMiddleIsNoAnswer(t *testing.T) {
	p, first, second := startFleet(t)
	p.putConfiguration(2, configurationWithRepeats())
	p.await("the new routes are known", func() bool {
		status, _, _ := p.request(1, "/again/x", "key", "known")
		live, _, _ := p.request(1, "/stream/live/x", "key", "known-live")
		return status == 200 && live == 200
	})
	first.behaviour.Store("cut head")
	second.behaviour.Store("cut head")
	runs := func(id string) int { return first.runCount(id) + second.runCount(id) }
	failed := 0
	for _, path := range []string{"/once/x", "/stream/live/x"} {
		forEachCut(path[1:4], 1, []*fakeEndpoint{first, second}, func(id string) {
			status, text, _ := p.request(1, path, "key", id)
			if status < 500 || status == 503 && runs(id) > 0 || runs(id) > 1 {
				t.Errorf("%s at most once: status %d, ran %d times, %q", id, status, runs(id), text)
			}
			if status == 502 && runs(id) == 1 {
				failed++
			}
		})
	}
	if failed < 100 {
		t.Errorf("only %d requests met a cut head", failed)
	}
	checkCloseBehindAHead(t, p, first, second)
	checkRepeatsAfterACutHead(t, p, first, second)
	checkResumptionsAfterACutHead(t, p, first, second)
}

// checkCloseBehindAHead lets the endpoints close behind a whole head that tells no length.
func checkCloseBehindAHead(t *testing.T, p *fakePlatform, first, second *fakeEndpoint) {
	cut := headCut{}
	cut.bytes = len(cut.head("behind"))
	first.headCut.Store(cut)
	second.headCut.Store(cut)
	if status, text, _ := p.request(1, "/stream/live/x", "key", "behind"); status != 502 || text == "" {
		t.Errorf("a stream that was closed behind its head: status %d, %q", status, text)
	}
}

// checkRepeatsAfterACutHead sends requests that may be repeated while one endpoint is sound.
func checkRepeatsAfterACutHead(t *testing.T, p *fakePlatform, first, second *fakeEndpoint) {
	second.behaviour.Store("good")
	repeated := 0
	for _, path := range []string{"/again/x", "/stream/x"} {
		forEachCut("r"+path[1:4], 11, []*fakeEndpoint{first}, func(id string) {
			status, text, header := p.request(1, path, "key", id)
			whole := text == "ran body of "+id || path == "/stream/x" && strings.Count(text, "id: ") == 10
			if status == 200 && !(whole && header.Get("Replica-Signature") == "signature-of-"+second.id) || status < 500 && status != 200 {
				t.Errorf("%s may be repeated: status %d, %q", id, status, text)
			}
			if status == 200 && first.runCount(id) == 1 {
				repeated++
			}
		})
	}
	if repeated == 0 {
		t.Error("no request was repeated after a cut head")
	}
}

// checkResumptionsAfterACutHead lets the one endpoint break streams off and the other cut the
// heads with which it should go on.
func checkResumptionsAfterACutHead(t *testing.T, p *fakePlatform, first, second *fakeEndpoint) {
	second.behaviour.Store("cut")
	both := 0
	forEachCut("rest", 11, []*fakeEndpoint{first}, func(id string) {
		if status, text, _ := p.request(1, "/stream/x", "key", id); status == 200 {
			t.Errorf("%s: a stream that broke off looks whole: %q", id, text)
		}
		if first.runCount(id) == 1 && second.runCount(id) == 1 {
			both++
		}
	})
	if both == 0 {
		t.Error("no stream met both endpoints")
	}
}
