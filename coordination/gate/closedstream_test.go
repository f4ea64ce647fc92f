package gate_test

import "testing"

// Guards against a stream of a service without a length that is closed behind its head or
// inside an event and counts as whole.
func TestServiceStreamCutByACloseIsNotWhole(t *testing.T) {
	const kind = "text/event-stream"
	whole := event(1) + event(2)
	for cut := range len(whole) {
		between := cut == len(event(1))
		if end := endOf(t, "s", kind, whole[:cut], true); (end.GetFailure() == nil) != between {
			t.Errorf("%q: %v", whole[:cut], end)
		}
	}
	for body, endsWithClose := range map[string]bool{whole: true, "id: 1\r\ndata: a\r\n\r\n": true, "": false, whole[:5]: false} {
		if end := endOf(t, "s", kind, body, endsWithClose); end == nil || end.Failure != nil {
			t.Errorf("%q: %v", body, end)
		}
	}
}
