package host

import (
	"errors"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

func TestVoterWhoseProcessServesWithoutItsReplicaCountsAsSilent(t *testing.T) {
	const linked, pause = 100 * time.Millisecond, 500 * time.Millisecond
	now := monotonic.Time(time.Hour)
	a := newAbsences()
	a.now = func() monotonic.Time { return now }
	without, unreachable := status.Error(codes.Unimplemented, "unknown service"), errors.New("no answer")
	for i, step := range []struct {
		err   error
		pause time.Duration // after the call
		want  time.Duration
	}{
		{nil, 0, linked},
		{without, pause, linked},
		{without, pause, pause},
		{unreachable, pause, pause},
		{without, pause, 3 * pause},
		{nil, pause, linked},
		{without, pause, linked},
		{without, 10 * pause, pause},
		{without, pause, linked}, // not seen for long in between
		{without, 10 * pause, pause},
		{unreachable, 0, linked},
	} {
		a.record("a", step.err)
		if got := a.addTo(map[string]time.Duration{"a": linked, "b": linked}); got["a"] != step.want || got["b"] != linked {
			t.Errorf("step %d: %v, want %v", i, got, step.want)
		}
		now = now.Add(step.pause)
	}
}
