package host

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

func TestVoterWhoseProcessServesWithoutItsReplicaCountsAsSilent(t *testing.T) {
	const linked = 100 * time.Millisecond
	now := monotonic.Time(time.Hour)
	a := newAbsences(func() monotonic.Time { return now })
	for _, step := range []struct {
		votes bool
		pause time.Duration
		want  time.Duration
	}{
		{true, time.Minute, linked},
		{false, 5 * time.Second, linked},
		{false, 3 * time.Second, 5 * time.Second},
		{false, 0, 8 * time.Second},
		{true, 0, linked},
		{false, 0, linked},
	} {
		got := a.silence(map[string]time.Duration{"a": linked}, []*wire.ProcessRecord{{Address: "a", Votes: step.votes}, {Address: "b"}})
		if len(got) != 1 || got["a"] != step.want {
			t.Errorf("at %v, votes %v: %v, want %v", time.Duration(now), step.votes, got, step.want)
		}
		now = now.Add(step.pause)
	}
}
