package controlplane

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// ackTime is the users' bound for orders in calm (ackMs).
const ackTime = 4 * time.Second

// Guards against calls at a host that fail for good because its own replica, which led,
// stands still on a disk that hangs and still seems to lead.
func TestHostWhoseLeaderStandsStillReachesTheNewOne(t *testing.T) {
	for _, change := range []bool{true, false} {
		answered := false
		bubble.Run(t, func(t *testing.T) {
			s := newSimRun(1)
			s.simFleet = newSimFleet(1, 3, 0)
			s.links.usual = time.Millisecond
			for _, h := range s.hosts {
				h.start()
			}
			s.awaitAll("the fleet has not started", true)
			l := s.leader()
			l.disk.stall(time.Now().Add(time.Minute))
			_ = s.attempt(l, true, time.Millisecond) // the leader begins to write
			for began := time.Now(); time.Since(began) < ackTime && !answered; time.Sleep(confirmInterval) {
				answered = s.attempt(l, change, time.Second) == nil
			}
			for _, h := range s.hosts {
				h.losePower()
			}
		})
		if !answered {
			t.Errorf("no answer within %v, change: %v", ackTime, change)
		}
	}
}
