package callerhttp

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// An entry that has just started has a current configuration before the gates have
// reported to it. If it were ready then, a load balancer would send it requests that it
// could only refuse.
func TestNotReadyBeforeGatesHadTimeToReport(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		s := &Server{Store: configsync.NewStore(), Drain: NewDrain(), ReadyFrom: time.Now().Add(time.Second)}
		status := func() int {
			s.Store.Update(&wire.SyncResponse{Revision: 1, Snapshot: &wire.FleetConfig{Revision: 1}}, time.Now())
			w := httptest.NewRecorder()
			s.handleReady(w, nil)
			return w.Code
		}
		if got := status(); got != 503 {
			t.Errorf("at the start: %d", got)
		}
		time.Sleep(time.Second)
		if got := status(); got != 200 {
			t.Errorf("after the wait: %d", got)
		}
	})
}
