package host

import (
	"bytes"
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
	// uploadBytes is more than the socket buffers on the way hold. A sound endpoint repeats the
	// body in its answer, which an entry takes up to 4 MiB.
	uploadBytes = 4<<20 - 1<<10
	// partReadBytes is how much of an upload an endpoint reads that answers early.
	partReadBytes = 1 << 10
	// beforeTheEnd is the time between the last byte of an early answer and the end of its
	// connection, in which the entry reads that byte.
	beforeTheEnd  = 50 * time.Millisecond
	uploadTimeout = time.Minute // far above the time of a run without faults
)

// rawAnswer is an answer that an endpoint writes byte by byte. ID in the text stands for that
// of the attempt.
type rawAnswer struct {
	text  string
	early bool // it is written when partReadBytes of the request's body are read, not all
	end   func(conn *net.TCPConn)
}

// reset ends a connection so that its other side reads a reset after the last byte.
func reset(conn *net.TCPConn) {
	time.Sleep(beforeTheEnd)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// endInOrder ends the answer and reads what still comes, as RFC 9112, section 9.6, asks of a
// server.
func endInOrder(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// write answers an attempt whose body has not been read.
func (a rawAnswer) write(t *testing.T, w http.ResponseWriter, q *http.Request) {
	var body io.Reader = q.Body
	if a.early {
		body = io.LimitReader(body, partReadBytes)
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return // the entry has left
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(a.text, "ID", q.Header.Get("Attempt-Id"))) // the entry may have left
	a.end(conn.(*net.TCPConn))
}

const soundLines = "Attempt-Id: ID\r\nReplica-Signature: signature-of-raw\r\n"

const (
	tenBytes         = "0123456789"
	tenBytesInChunks = "a\r\n0123456789\r\n" // without the last chunk, which ends them
)

// resetAnswers are answers that a reset cuts behind their tenth byte, by their framing.
var resetAnswers = map[string]string{
	"length":   "HTTP/1.1 200 OK\r\n" + soundLines + "Content-Length: 20\r\n\r\n" + tenBytes,
	"chunks":   "HTTP/1.1 200 OK\r\n" + soundLines + "Transfer-Encoding: chunked\r\n\r\n" + tenBytesInChunks,
	"none":     "HTTP/1.1 200 OK\r\n" + soundLines + "\r\n" + tenBytes,
	"HTTP/1.0": "HTTP/1.0 200 OK\r\n" + soundLines + "\r\n" + tenBytes,
}

// upload sends a request with a long body to an entry.
func (p *fakePlatform) upload(n int, path, id string) (int, string, http.Header) {
	return callWithin(uploadTimeout, "POST", fmt.Sprintf("http://%s:%d%s", p.host(n), p.ports[0], path), bytes.Repeat([]byte("u"), uploadBytes), map[string]string{
		"Attempt-Id": id, "X-Api-Key": "key", "Deadline-Ms": strconv.FormatInt(uploadTimeout.Milliseconds(), 10), "Token-Usage": "100,10",
	})
}

// startFleetForUploads starts a fleet whose routes take long bodies and of which some may be
// repeated.
func startFleetForUploads(t *testing.T) (p *fakePlatform, first, second *fakeEndpoint) {
	t.Helper()
	p, first, second = startFleet(t)
	p.putConfiguration(2, strings.NewReplacer(
		`"maxBodyBytes":100000`, `"maxBodyBytes":8000000`, `"timeoutMs":3000`, `"timeoutMs":60000`, `"timeoutMs":5000`, `"timeoutMs":60000`,
	).Replace(configurationWithRepeats()))
	p.await("uploads are taken", func() bool {
		status, _, _ := p.upload(1, "/again/x", "known")
		return status == 200
	})
	return p, first, second
}

// answerRaw makes endpoints answer with the same bytes.
func answerRaw(a rawAnswer, endpoints ...*fakeEndpoint) {
	for _, e := range endpoints {
		e.rawAnswer.Store(a)
		e.behaviour.Store("raw")
	}
}

// Guards against a part of an answer that its caller takes for the whole one, after a reset
// while the request was still being written (MIXED).
func TestAnswerResetDuringAnUploadIsNoAnswer(t *testing.T) {
	p, first, second := startFleetForUploads(t)
	for name, text := range resetAnswers {
		name = strings.ReplaceAll(name, "/", "")
		answerRaw(rawAnswer{text: text, early: true, end: reset}, first, second)
		for try := range 3 {
			id := fmt.Sprintf("once-%s-%d", name, try)
			status, body, _ := p.upload(1, "/once/x", id)
			if runs := first.runCount(id) + second.runCount(id); status != 502 || runs != 1 {
				t.Errorf("%s: status %d, %q, ran %d times", id, status, body, runs)
			}
			p.await("a line says that an attempt at an endpoint failed", func() bool {
				return strings.Contains(p.log("entry1"), `"request":"`+id+`","endpoint":"i-`)
			})
		}
		second.behaviour.Store("good")
		status, body, header := p.upload(1, "/again/x", "again-"+name)
		if status != 200 || len(body) != len("ran ")+uploadBytes || header.Get("Replica-Signature") != "signature-of-"+second.id {
			t.Errorf("%s, repeated: status %d with %d bytes", name, status, len(body))
		}
	}
}

// twoEvents are the first events of the stream of a fakeEndpoint, without a length.
const twoEvents = "HTTP/1.1 200 OK\r\n" + soundLines + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"

// Guards against a part of a stream that counts as the whole one, and that is not resumed where
// it may be, after a reset while the request was still being written (ORDER).
func TestStreamResetDuringAnUploadIsNotWhole(t *testing.T) {
	p, first, second := startFleetForUploads(t)
	answerRaw(rawAnswer{text: twoEvents, early: true, end: reset}, first, second)
	for try := range 3 {
		id := fmt.Sprintf("live-%d", try)
		status, text, _ := p.upload(1, "/stream/live/x", id)
		if runs := first.runCount(id) + second.runCount(id); status != 0 || runs != 1 {
			t.Errorf("%s: status %d, %q, ran %d times", id, status, text, runs)
		}
	}
	second.behaviour.Store("good")
	try := 0
	p.await("a stream has met both endpoints", func() bool {
		try++
		id := fmt.Sprintf("stream-%d", try)
		status, text, _ := p.upload(1, "/stream/x", id)
		if status != 200 || strings.Count(text, "id: ") != 10 {
			t.Errorf("%s: status %d, %q", id, status, text)
		}
		return first.runCount(id) == 1 && second.runCount(id) == 1
	})
}

// wholeAnswers are sound answers, by their framing.
var wholeAnswers = map[string]string{
	"length":   "HTTP/1.1 200 OK\r\n" + soundLines + "Content-Length: 10\r\n\r\n" + tenBytes,
	"chunks":   "HTTP/1.1 200 OK\r\n" + soundLines + "Transfer-Encoding: chunked\r\n\r\n" + tenBytesInChunks + "0\r\n\r\n",
	"none":     "HTTP/1.1 200 OK\r\n" + soundLines + "\r\n" + tenBytes,
	"HTTP/1.0": "HTTP/1.0 200 OK\r\n" + soundLines + "\r\n" + tenBytes,
}

// closeUnread closes a connection with a part of the request unread, which lets the kernel
// reset it at once.
func closeUnread(conn *net.TCPConn) { _ = conn.Close() }

// Guards against sound answers that are not served as they come, whole, while the request is
// still being written.
func TestWholeAnswerDuringAnUploadIsServed(t *testing.T) {
	p, first, second := startFleetForUploads(t)
	for name, text := range wholeAnswers {
		p.checkEarlyAnswer(name, rawAnswer{text: text, early: true, end: endInOrder}, first, second)
		if name == "length" || name == "chunks" {
			p.checkEarlyAnswer(name+"-reset", rawAnswer{text: text, early: true, end: reset}, first, second)
			p.checkEarlyAnswer(name+"-closed", rawAnswer{text: text, early: true, end: closeUnread}, first, second)
		}
	}
}

// Guards against a sound stream that is broken off as its request is still being written.
func TestWholeStreamDuringAnUploadIsServed(t *testing.T) {
	p, first, second := startFleetForUploads(t)
	answerRaw(rawAnswer{text: twoEvents, early: true, end: endInOrder}, first, second)
	for _, path := range []string{"/stream/live/x", "/stream/x"} {
		status, text, _ := p.upload(1, path, strings.ReplaceAll(path[1:], "/", "-"))
		if status != 200 || strings.Count(text, "id: ") != 2 {
			t.Errorf("%s: status %d, %q", path, status, text)
		}
	}
}

// checkEarlyAnswer checks that callers of uploads get the body of an answer of all endpoints.
func (p *fakePlatform) checkEarlyAnswer(name string, a rawAnswer, endpoints ...*fakeEndpoint) {
	p.t.Helper()
	answerRaw(a, endpoints...)
	for try := range 3 {
		id := fmt.Sprintf("early-%s-%d", strings.ReplaceAll(name, "/", ""), try)
		if status, body, _ := p.upload(1, "/once/x", id); status != 200 || body != tenBytes {
			p.t.Errorf("%s: status %d, %q", id, status, body)
		}
	}
}

// Guards against an early refusal that is lost, so that a request which has not run, and may
// not run twice, fails instead of going to another endpoint.
func TestEarlyRefusalOfAnUploadIsHeeded(t *testing.T) {
	p, first, _ := startFleetForUploads(t)
	refusal := "HTTP/1.1 503 Busy\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	answerRaw(rawAnswer{text: refusal, early: true, end: closeUnread}, first)
	try := 0
	p.await("a request has met the endpoint that refuses", func() bool {
		try++
		id := fmt.Sprintf("refused-%d", try)
		if status, body, _ := p.upload(1, "/once/x", id); status != 200 || len(body) != len("ran ")+uploadBytes {
			t.Errorf("%s: status %d with %d bytes", id, status, len(body))
		}
		return first.runCount(id) == 1
	})
}

// brokenHeads are answers whose heads no endpoint in order sends, by what is wrong.
var brokenHeads = map[string]string{
	"a blank in a name":          "HTTP/1.1 200 OK\r\n" + soundLines + "X Broken: 1\r\nContent-Length: 10\r\n\r\n" + tenBytes,
	"a blank before the colon":   "HTTP/1.1 200 OK\r\n" + soundLines + "X-Broken : 1\r\nContent-Length: 10\r\n\r\n" + tenBytes,
	"a blank behind the length":  "HTTP/1.1 200 OK\r\n" + soundLines + "Content-Length : 20\r\n\r\n" + tenBytes,
	"a blank behind the framing": "HTTP/1.1 200 OK\r\n" + soundLines + "Transfer-Encoding : chunked\r\n\r\n" + tenBytesInChunks,
	"a blank before the length":  "HTTP/1.1 200 OK\r\n" + soundLines + " Content-Length: 20\r\n\r\n" + tenBytes,
	"a blank before all":         "HTTP/1.1 200 OK\r\n X-Broken: 1\r\n" + soundLines + "Content-Length: 10\r\n\r\n" + tenBytes,
	"a control byte in a name":   "HTTP/1.1 200 OK\r\n" + soundLines + "X-Bro\x01ken: 1\r\nContent-Length: 10\r\n\r\n" + tenBytes,
	"a tab in a name":            "HTTP/1.1 200 OK\r\n" + soundLines + "X-Bro\tken: 1\r\nContent-Length: 10\r\n\r\n" + tenBytes,
	"DEL in a name":              "HTTP/1.1 200 OK\r\n" + soundLines + "X-Bro\x7fken: 1\r\nContent-Length: 10\r\n\r\n" + tenBytes,
	"CR in a name":               "HTTP/1.1 200 OK\r\n" + soundLines + "X-Bro\rken: 1\r\nContent-Length: 10\r\n\r\n" + tenBytes,
	"NUL in a name":              "HTTP/1.1 200 OK\r\n" + soundLines + "X-Bro\x00ken: 1\r\nContent-Length: 10\r\n\r\n" + tenBytes,
	"no name":                    "HTTP/1.1 200 OK\r\n" + soundLines + ": 1\r\nContent-Length: 10\r\n\r\n" + tenBytes,
	"a blank in an interim head": "HTTP/1.1 103 x\r\nX Broken: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + soundLines + "Content-Length: 10\r\n\r\n" + tenBytes,
	"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\n" + soundLines + "Transfer-Encoding: chunked\r\n\r\n" + tenBytesInChunks,
	"HTTP/3.7":                   "HTTP/3.7 200 OK\r\n" + soundLines + "Content-Length: 10\r\n\r\n" + tenBytes,
	"HTTP/2.0":                   "HTTP/2.0 200 OK\r\n" + soundLines + "\r\n" + tenBytes,
	"a refusal with HTTP/3.7":    "HTTP/3.7 503 x\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"a refusal with a blank":     "HTTP/1.1 503 x\r\nAttempt-Id: ID\r\nNot-Executed: 1\r\nX Broken: 1\r\nContent-Length: 0\r\n\r\n",
}

// Guards against an answer with a broken head that reaches its caller, whole or in part, or
// whose statements are believed, after a field whose name is no token (MIXED).
func TestAnswerWithABrokenHeadIsNoAnswer(t *testing.T) {
	p, first, second := startFleetForUploads(t)
	p.checkNoAnswers(brokenHeads, first, second)
}

// brokenStatuses are answers whose status no answer has.
var brokenStatuses = map[string]string{
	"status 000":            "HTTP/1.1 000 x\r\n" + soundLines + "Content-Length: 10\r\n\r\n" + tenBytes,
	"status 000, no length": "HTTP/1.1 000 x\r\n" + soundLines + "\r\n" + tenBytes,
	"status 000, no reason": "HTTP/1.0 000\r\n" + soundLines + "\r\n" + tenBytes,
	"status 099":            "HTTP/1.1 099 x\r\n" + soundLines + "Content-Length: 10\r\n\r\n" + tenBytes,
	"status 600":            "HTTP/1.1 600 x\r\n" + soundLines + "Content-Length: 10\r\n\r\n" + tenBytes,
}

// Guards against an answer whose status no answer has that reaches its caller (MIXED).
func TestAnswerWithoutAValidStatusIsNoAnswer(t *testing.T) {
	p, first, second := startFleetForUploads(t)
	p.checkNoAnswers(brokenStatuses, first, second)
}

// Guards against a stream with a broken head, or with a status that no answer has, of which its
// caller gets events (MIXED).
func TestStreamWithABrokenHeadOrStatusIsNoAnswer(t *testing.T) {
	p, first, second := startFleetForUploads(t)
	fields := soundLines + "Content-Type: text/event-stream\r\n"
	events := "\r\nid: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	for name, head := range map[string]string{
		"status-000": "HTTP/1.1 000 x\r\n" + fields,
		"status-600": "HTTP/1.1 600 x\r\n" + fields,
		"version":    "HTTP/3.7 200 OK\r\n" + fields,
		"blank":      "HTTP/1.1 200 OK\r\n" + fields + "X Broken: 1\r\n",
	} {
		answerRaw(rawAnswer{text: head + events, end: endInOrder}, first, second)
		if status, body, header := p.request(1, "/stream/live/x", "key", "live-"+name); status != 502 {
			t.Errorf("%s: status %d, %q, %v", name, status, body, header)
		}
		second.behaviour.Store("good")
		if status, body, _ := p.request(1, "/stream/x", "key", "stream-"+name); status != 200 || strings.Count(body, "id: ") != 10 {
			t.Errorf("%s, repeated: status %d, %q", name, status, body)
		}
	}
}

// checkNoAnswers checks that none of some answers of all endpoints reaches a caller, and that
// the answer of a sound endpoint does in its place where the request may be repeated.
func (p *fakePlatform) checkNoAnswers(answers map[string]string, first, second *fakeEndpoint) {
	p.t.Helper()
	for name, text := range answers {
		answerRaw(rawAnswer{text: text, end: endInOrder}, first, second)
		id := strings.NewReplacer(" ", "-", "/", "", ",", "").Replace(name)
		status, body, header := p.request(1, "/once/x", "key", id)
		if runs := first.runCount(id) + second.runCount(id); status != 502 || runs != 1 {
			p.t.Errorf("%s: status %d, %q, %v, ran %d times", name, status, body, header, runs)
		}
		second.behaviour.Store("good")
		status, body, header = p.request(1, "/again/x", "key", "again-"+id)
		if status != 200 || body != "ran body of again-"+id || header.Get("Replica-Signature") != "signature-of-"+second.id {
			p.t.Errorf("%s, repeated: status %d, %q, %v", name, status, body, header)
		}
	}
}

// unusualHeads are sound heads of a body of ten bytes, with the fields that a caller must get.
var unusualHeads = map[string]string{
	"a rare status":     "HTTP/1.1 299 \r\n",
	"a reason in bytes": "HTTP/1.1 200 \xe4 : 1\r\n",
	"no reason":         "HTTP/1.1 200\r\n",
	"interim heads":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// unusualFields are fields that a caller must get unchanged.
var unusualFields = map[string]string{
	"!#$%&'*+-.^_`|~0az": "1", "X-Empty": "", "X-Tab": "a\tb", "X-Bytes": "\xe4\xff", "X-Colon": "x y: z", "X-Long": strings.Repeat("a", 8<<10),
}

// Guards against sound answers that are refused or changed for their unusual heads.
func TestAnswerWithAnUnusualHeadIsServed(t *testing.T) {
	p, first, second := startFleetForUploads(t)
	for name, head := range unusualHeads {
		text := head + soundLines + "CONTENT-length:  10 \r\n"
		for field, value := range unusualFields {
			text += field + ": " + value + "\r\n"
		}
		answerRaw(rawAnswer{text: text + "\r\n" + tenBytes, end: endInOrder}, first, second)
		status, body, header := p.request(1, "/once/x", "key", strings.ReplaceAll(name, " ", "-"))
		if status/100 != 2 || body != tenBytes {
			t.Errorf("%s: status %d, %q", name, status, body)
		}
		for field, value := range unusualFields {
			if got := header.Values(field); len(got) != 1 || got[0] != value {
				t.Errorf("%s: %s: %q", name, field, got)
			}
		}
	}
}
