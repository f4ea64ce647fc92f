package endpointhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

const soundHead = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"

// brokenHeads are heads up to the line that breaks them.
var brokenHeads = map[string]string{
	"a blank in a name":                     soundHead + "X Broken: 1\r\n",
	"a blank before the colon":              soundHead + "X-Broken : 1\r\n",
	"a blank behind the length":             "HTTP/1.1 200 OK\r\nContent-Length : 10\r\n",
	"a blank behind the framing":            "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"a tab before the colon":                soundHead + "X-Broken\t: 1\r\n",
	"a control byte in a name":              soundHead + "X-Bro\x01ken: 1\r\n",
	"NUL in a name":                         soundHead + "X-Bro\x00ken: 1\r\n",
	"CR in a name":                          soundHead + "X-Bro\rken: 1\r\n",
	"DEL in a name":                         soundHead + "X-Bro\x7fken: 1\r\n",
	"a byte over 127 in a name":             soundHead + "X-Bro\xe4ken: 1\r\n",
	"no name":                               soundHead + ": 1\r\n",
	"no colon":                              soundHead + "X-Broken\r\n",
	"a field that begins so":                soundHead + " X-Broken: 1\r\n",
	"a length that begins so":               "HTTP/1.1 200 OK\r\nX-A: 1\r\n\tContent-Length: 10\r\n",
	"a continuation of nothing":             "HTTP/1.1 200 OK\r\n x y\r\n",
	"a continuation behind an interim head": "HTTP/1.1 103 x\r\nX-A: 1\r\n\r\nHTTP/1.1 200 OK\r\n x y\r\n",
	"chunks in HTTP/1.0":                    "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n",
	"a name in an interim head":             "HTTP/1.1 103 x\r\nX Broken: 1\r\n",
	"a name behind an interim head":         "HTTP/1.1 103 x\r\nLink: a\r\n\r\n" + soundHead + "X Broken: 1\r\n",
	"a name, with lines ending in LF":       "HTTP/1.1 200 OK\nContent-Length: 10\nX Broken: 1\n",
	"HTTP/3.7":                              "HTTP/3.7 200 OK\r\n",
	"HTTP/2.0":                              "HTTP/2.0 200 OK\r\n",
	"HTTP/0.9":                              "HTTP/0.9 200 OK\r\n",
	"no version":                            "200 OK\r\n",
	"HTTP/2.0 behind an interim head":       "HTTP/1.1 103 x\r\n\r\nHTTP/2.0 200 OK\r\n",
}

// unusualHeads are heads of a body of ten bytes that are sound.
var unusualHeads = map[string]string{
	"no reason":                "HTTP/1.1 200 \r\nContent-Length: 10\r\n\r\n",
	"no blank for the reason":  "HTTP/1.1 200\r\nContent-Length: 10\r\n\r\n",
	"a reason with any bytes":  "HTTP/1.1 200 \xe4 : 1\r\nContent-Length: 10\r\n\r\n",
	"a rare status":            "HTTP/1.1 299 x\r\nContent-Length: 10\r\n\r\n",
	"the highest status":       "HTTP/1.1 599 x\r\nContent-Length: 10\r\n\r\n",
	"all bytes of a token":     soundHead + "!#$%&'*+-.^_`|~0aZ: 1\r\n\r\n",
	"values":                   soundHead + "X-A:\r\nX-B: \t a\tb \t\r\nX-C: \xe4\xff\r\nX-D:x y: z\r\nX-E: \"a, b\", c;d=\"e:f\"\r\n\r\n",
	"fields again":             soundHead + "Set-Cookie: a=b\r\nset-cookie: c=d\r\nSET-COOKIE: a=b\r\n\r\n",
	"the length twice":         soundHead + "Content-Length: 10\r\n\r\n",
	"a length with zeros":      "HTTP/1.1 200 OK\r\ncontent-length: 00010\r\n\r\n",
	"a long value":             soundHead + "X-A: " + strings.Repeat("a", 40<<10) + "\r\n\r\n",
	"many fields":              soundHead + strings.Repeat("X-A: 1\r\n", 200) + "\r\n",
	"lines ending in LF":       "HTTP/1.1 200 OK\nContent-Length: 10\n\n",
	"a value over two lines":   soundHead + "X-A: a,\r\n\t b c\r\n  \"d: e\"\r\n\r\n",
	"interim heads":            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nLink: <a>; rel=b\r\n\r\n" + soundHead + "\r\n",
	"HTTP/1.0 with a length":   "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 10\r\n\r\n",
	"HTTP/1.2":                 "HTTP/1.2 200 OK\r\nContent-Length: 10\r\n\r\n",
	"no length":                "HTTP/1.1 200 OK\r\nConnection: close, x\r\n\r\n",
	"a trailer without chunks": soundHead + "Trailer: X-A\r\n\r\n",
}

// checkInParts checks bytes that arrive in two parts.
func checkInParts(text string, cut int) error {
	var h headChecker
	if _, err := h.check([]byte(text[:cut])); err != nil {
		return err
	}
	_, err := h.check([]byte(text[cut:]))
	return err
}

// Guards against a malformed head that passes, in whichever parts its bytes arrive.
func TestBrokenHeadIsAnError(t *testing.T) {
	for name, text := range brokenHeads {
		for cut := range len(text) {
			var malformed *headError
			if err := checkInParts(text, cut); !errors.As(err, &malformed) {
				t.Errorf("%s, cut at %d: %v", name, cut, err)
			}
		}
	}
}

// Guards against a sound head that is refused, and bytes of a body that are taken for a head.
func TestUnusualHeadPasses(t *testing.T) {
	const body = "\r\nX Broken: 1\r\n x: y"
	for name, text := range unusualHeads {
		step := 1 + len(text)/200
		for cut := 0; cut < len(text); cut += step {
			if err := checkInParts(text+body, cut); err != nil {
				t.Errorf("%s, cut at %d: %v", name, cut, err)
			}
		}
	}
}

// Guards against a broken head that net/http's client lets pass, and one after which it reads
// other bytes than the endpoint's body.
func TestAnswerWithABrokenHeadIsAnError(t *testing.T) {
	for name, text := range brokenHeads {
		e := &endpoint{answer: text + "\r\n0123456789", end: endInOrder}
		e.start(t)
		if response, body, err := e.send(t, newTransport(), http.MethodGet, nil); err == nil {
			t.Errorf("%s: %v, %q", name, response, body)
		}
	}
}

// Guards against a sound answer that differs from what net/http's client makes of it.
func TestUnusualAnswerIsUnchanged(t *testing.T) {
	for name, head := range unusualHeads {
		e := &endpoint{answer: head + "0123456789", end: endInOrder}
		e.start(t)
		want, _, err := e.send(t, &http.Transport{DisableKeepAlives: true}, http.MethodGet, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got, body, err := e.send(t, newTransport(), http.MethodGet, nil)
		if err != nil || body != "0123456789" || got.Status != want.Status || !reflect.DeepEqual(got.Header, want.Header) {
			t.Errorf("%s: %q, %v, %+v, want %+v", name, body, err, got, want)
		}
	}
}

// Guards against heads that are checked for the first request of a kept connection only, and
// bodies on it that are taken for heads.
func TestEachHeadOfAKeptConnectionIsChecked(t *testing.T) {
	sound := "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nX Broken: 1\r\n x"
	answers := []string{sound, sound, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX Broken: 1\r\n\r\n"}
	listener := loopback.Listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return // the test has ended
		}
		defer conn.Close()
		_ = listener.Close() // all requests use this connection
		requests := bufio.NewReader(conn)
		for _, answer := range answers {
			if _, err := http.ReadRequest(requests); err != nil {
				return // the client has left
			}
			_, _ = io.WriteString(conn, answer) // the client may have left
		}
	}()
	e := &endpoint{url: "http://" + listener.Addr().String()}
	transport := New(&http.Transport{DialContext: new(net.Dialer).DialContext})
	defer transport.CloseIdleConnections()
	for n := range answers {
		_, body, err := e.send(t, transport, http.MethodGet, nil)
		var malformed *headError
		if broken := n == len(answers)-1; errors.As(err, &malformed) != broken || !broken && err != nil {
			t.Errorf("answer %d: %q, %v", n, body, err)
		}
	}
}
