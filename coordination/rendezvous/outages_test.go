package rendezvous

import (
	"errors"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

// Calls that fail together, as when their connection breaks, must not leave an entry
// unasked for longer than one that fails.
func TestCallsThatFailTogetherCountAsOneFailure(t *testing.T) {
	now := monotonic.Time(0)
	o := NewOutages("self", func() monotonic.Time { return now }, logs.For("test"))
	const first = "first"
	for range 5 {
		o.RecordFailure(first, errors.New("no answer"))
	}
	now = now.Add(unreachableWait)
	if !o.MayAsk(first) {
		t.Error("the entry isn't asked after one pause")
	}
	o.RecordFailure(first, errors.New("no answer"))
	now = now.Add(unreachableWait)
	if o.MayAsk(first) {
		t.Error("the pause did not grow with the second failure")
	}
	o.RecordAnswer(first)
	if !o.MayAsk(first) {
		t.Error("an entry that answered isn't asked")
	}
}
