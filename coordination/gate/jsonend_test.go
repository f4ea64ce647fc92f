package gate_test

import (
	"io"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// endOf returns the end of an attempt that is answered with a body.
func endOf(t *testing.T, service, contentType, body string, endsWithClose bool) (end *wire.End) {
	bubble.Run(t, func(t *testing.T) {
		e := newFakeEngine()
		e.service = service
		e.answer = func() (*gate.Response, error) {
			return &gate.Response{Status: 200, ContentType: contentType, BootID: e.bootID(), Body: io.NopCloser(strings.NewReader(body)), EndsWithClose: endsWithClose}, nil
		}
		r := newGate(e, inService)
		defer r.stop()
		_, last := readAnswer(r.submit(t, newOpen("a1", true)), 1)
		end = last.GetEnd()
	})
	return end
}

// Guards against a JSON answer of an engine without a length that ends early and counts as
// whole.
func TestJSONAnswerCutByACloseIsNotWhole(t *testing.T) {
	const whole = `{"choices":[{"text":"a \"b\\"}],"usage":{"n":1}}`
	for cut := range len(whole) {
		if end := endOf(t, "", "application/json", whole[:cut], true); end.GetFailure() == nil {
			t.Errorf("%q counts as whole", whole[:cut])
		}
	}
	for body, endsWithClose := range map[string]bool{whole: true, whole + "\n": true, "[1]": true, "": false, whole[:9]: false} {
		if end := endOf(t, "", "application/json", body, endsWithClose); end == nil || end.Failure != nil {
			t.Errorf("%q: %v", body, end)
		}
	}
	if end := endOf(t, "s", "text/plain", "any", true); end == nil || end.Failure != nil {
		t.Errorf("of a service: %v", end)
	}
}
