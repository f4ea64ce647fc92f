package endpoint

import (
	"errors"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
)

// brokenLines are lines of a head that no sound endpoint sends.
var brokenLines = map[string]string{
	"a blank in a name":          "X Broken: 1\r\n",
	"a blank before the colon":   "X-Broken : 1\r\n",
	"a blank before the name":    " X-Broken: 1\r\n",
	"a control byte in a name":   "X-Bro\x01ken: 1\r\n",
	"a tab in a name":            "X-Bro\tken: 1\r\n",
	"a blank behind the framing": "Transfer-Encoding : chunked\r\n",
}

// Guards against an answer with a broken head that counts as an answer, or as a refusal of a
// request that may have run, for any call.
func TestAnswerWithABrokenHeadIsAnError(t *testing.T) {
	client, next := startCutter(t, false)
	for name, line := range brokenLines {
		for _, head := range []string{cutHeadStart, strings.Replace(cutHeadStart, "200 OK", "503 Busy", 1)} {
			checkNoAnswer(t, client, next, name, head+line+"Content-Length: 29\r\n\r\n"+cutBody)
		}
	}
	checkNoAnswer(t, client, next, "chunks in HTTP/1.0", strings.Replace(cutHeadStart, "1.1", "1.0", 1)+"Transfer-Encoding: chunked\r\n\r\n1d\r\n"+cutBody+"\r\n0\r\n\r\n")
}

// checkNoAnswer checks that all calls fail that are answered with a text, and that they count
// as sent.
func checkNoAnswer(t *testing.T, client *Client, next chan string, name, text string) {
	t.Helper()
	for what, call := range allCalls {
		if body, err := callForText(t, client, next, text, call); err == nil || errors.Is(err, gate.ErrNotSent) {
			t.Errorf("%s, %s: %q, %v", what, name, body, err)
		}
	}
}

// Guards against an answer whose status no answer has that counts as one, as a success of a
// call, or as a refusal.
func TestStatusThatNoAnswerHasIsAnError(t *testing.T) {
	client, next := startCutter(t, false)
	for _, status := range []string{"000", "000 x", "042 x", "099 x", "101 Switching Protocols", "600 x", "999 x"} {
		head := strings.Replace(cutHeadStart, "200 OK", status, 1)
		checkNoAnswer(t, client, next, status, head+"Content-Length: 29\r\n\r\n"+cutBody)
		checkNoAnswer(t, client, next, status+", no length", head+"\r\n"+cutBody)
	}
}
