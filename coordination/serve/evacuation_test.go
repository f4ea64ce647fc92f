package serve

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// takeOut takes the only data centre out of service.
func (b *testbed) takeOut() {
	next := *b.stateCache.State()
	next.Index++
	next.DataCentresOut = []string{"dc1"}
	b.stateCache.Update(&next, "test")
}

// A request that waits for memory or for a permit while its data centre is taken out must
// not be sent there, nor counted as run.
func TestNothingIsSentToADataCentreTakenOutWhileARequestWaits(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := newEngineTestbed(t, good("late"))
		b.onReserve = func() {
			if b.stateCache.State().InService("dc1") {
				b.takeOut()
			}
		}
		g := b.serveLong(t)
		if len(b.sentAttempts()) != 0 || g.status != 503 {
			t.Errorf("status %d, %d requests were sent to a data centre out of service", g.status, len(b.sentAttempts()))
		}
		time.Sleep(10 * time.Second)
		if held := b.totalReserved(); held != 0 {
			t.Errorf("%d tokens stay reserved", held)
		}
	})
	bubble.Run(t, func(t *testing.T) {
		b := newTestbed(t, good("late"))
		b.setMaxStateAge(0)
		b.limitAll(1)
		b.onPermit = b.takeOut
		if g := b.serve(t.Context(), "once"); len(b.sentAttempts()) != 0 || g.status != 503 {
			t.Errorf("status %d, %d requests were sent after a permit", g.status, len(b.sentAttempts()))
		}
	})
}
