package gate_test

import (
	"io"
	"testing"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

func cutHead() (*gate.Response, error) { return nil, io.ErrUnexpectedEOF }

// Guards against an answer whose head was cut that counts as one, or as a refusal, at first
// or at a resumption.
func TestCutHeadIsAFailureThatMayHaveRun(t *testing.T) {
	for name, set := range map[string]func(*fakeEngine){
		"of an attempt":   func(e *fakeEngine) { e.answer = cutHead },
		"of a resumption": func(e *fakeEngine) { e.breakAfter, e.resumption = 2, cutHead },
		"of a service":    func(e *fakeEngine) { e.service, e.answer = "s", cutHead },
	} {
		for _, repeatable := range []bool{false, true} {
			bubble.Run(t, func(t *testing.T) {
				e := newFakeEngine()
				set(e)
				r := newGate(e, inService)
				defer r.stop()
				_, last := readAnswer(r.submit(t, newOpen("a1", repeatable)), 1)
				failure := last.GetEnd().GetFailure()
				if failure == nil || !last.GetEnd().MayHaveRun || fault.KindOf(fault.FromWire(failure)) != fault.EndpointFailed || e.runs["a1"] != 1 {
					t.Errorf("%s, repeatable %v: %v, sent %d times", name, repeatable, last, e.runs["a1"])
				}
				state := r.Inquire(&wire.InquireRequest{Attempt: "a1"})
				if state.State != wire.AttemptState_ATTEMPT_STATE_DONE || state.Failure == nil || state.Outcome != nil {
					t.Errorf("%s, repeatable %v: recorded as %v", name, repeatable, state)
				}
			})
		}
	}
}
