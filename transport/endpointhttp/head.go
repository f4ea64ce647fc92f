package endpointhttp

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// headError reports a head of an answer that breaks RFC 9112 in a way that net/http's client
// lets pass. A framing field may be hidden in it.
type headError struct {
	fault string
	line  string
}

func (e *headError) Error() string {
	const maxBytes = 80
	return fmt.Sprintf("the head of the answer is malformed: %s: %.*q", e.fault, maxBytes, e.line)
}

// headChecker checks the heads of an answer as their bytes arrive: those of interim answers,
// and the final one. The zero value expects the first byte. What it doesn't check, such as the
// status and values, is left to net/http's client, which also bounds the length.
type headChecker struct {
	line       []byte // the received part of the current line
	inFields   bool   // the status line of the current head is complete
	inField    bool   // so is the first line of a field
	interim    bool   // the current head is that of an interim answer
	hasChunked bool   // the version of HTTP knows chunks
	done       bool   // the final head is complete
}

// check checks the next bytes of the connection and returns how many precede a malformed line.
// Bytes behind the final head pass.
func (h *headChecker) check(p []byte) (sound int, err error) {
	for sound < len(p) && !h.done {
		part, _, complete := bytes.Cut(p[sound:], []byte{'\n'})
		h.line = append(h.line, part...)
		if !complete {
			return len(p), nil
		}
		if err := h.checkLine(strings.TrimSuffix(string(h.line), "\r")); err != nil {
			return sound, err
		}
		h.line = h.line[:0]
		sound += len(part) + 1
	}
	return len(p), nil
}

func (h *headChecker) checkLine(line string) error {
	switch {
	case !h.inFields:
		return h.readStatusLine(line)
	case line == "":
		h.endHead()
		return nil
	case line[0] == ' ' || line[0] == '\t':
		return h.checkContinuation(line)
	}
	return h.checkField(line)
}

// endHead ends the current head. Behind that of an interim answer the next one begins.
func (h *headChecker) endHead() {
	*h = headChecker{done: !h.interim}
}

// readStatusLine begins a head. net/http's client takes any version that has the right form;
// what the bytes of another major version than the request's mean is not known (RFC 9110,
// section 2.5). Other faults of the line are errors of that client.
func (h *headChecker) readStatusLine(line string) error {
	version, status, _ := strings.Cut(line, " ")
	status = strings.TrimLeft(status, " ")
	major, minor, _ := http.ParseHTTPVersion(version)
	if major != 1 {
		return &headError{"its version is not HTTP/1", line}
	}
	h.hasChunked = minor >= 1
	h.interim = strings.HasPrefix(status, "1") && !strings.HasPrefix(status, "101") // net/http takes 101 as final
	h.inFields = true
	return nil
}

// checkField checks the first line of a field. net/http's client keeps a name with a blank,
// and ignores chunks in HTTP/1.0, whose receiver must take the framing as faulty (RFC 9112,
// section 6.1).
func (h *headChecker) checkField(line string) error {
	h.inField = true
	name, _, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return &headError{"the name of a field is no token", line}
	}
	if !h.hasChunked && strings.EqualFold(name, "Transfer-Encoding") {
		return &headError{"HTTP/1.0 has no chunks", line}
	}
	return nil
}

// checkContinuation checks a line that continues the value of a field (RFC 9112, section 5.2).
// One that reads as a field itself can't be told from a name that begins with a blank.
func (h *headChecker) checkContinuation(line string) error {
	name, _, found := strings.Cut(strings.TrimLeft(line, " \t"), ":")
	if !h.inField || found && httpguts.ValidHeaderFieldName(name) {
		return &headError{"a field begins with a blank", line}
	}
	return nil
}
