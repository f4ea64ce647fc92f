package controlplane

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// Guards against a new leader that does not confirm the state, so that no entry serves,
// while hosts that are down do not answer whether it is still a member.
func TestNewLeaderConfirmsWhileHostsThatAreDownDoNotAnswer(t *testing.T) {
	const voters, down, rounds = 7, 3, 5
	for seed := range uint64(rounds) {
		var took time.Duration
		bubble.Run(t, func(t *testing.T) {
			s := newSimRun(seed)
			s.simFleet = newSimFleet(seed, voters, 0)
			s.links.usual = time.Millisecond
			for _, h := range s.hosts {
				h.start()
			}
			for s.leader() == nil || len(activeVoters(s.leader().process.Load().replica.Status())) < voters {
				time.Sleep(confirmInterval)
			}
			for _, h := range s.hosts[voters-down-1:] { // one too many
				s.isolate(h, true, true)
			}
			time.Sleep(membershipCheckAfter + time.Second)
			s.links.heal()
			for _, h := range s.hosts[voters-down:] {
				s.isolate(h, true, true)
			}
			took = s.untilConfirmed(monotonic.Now())
			for _, h := range s.hosts {
				h.losePower()
			}
		})
		if took > 2*confirmInterval {
			t.Errorf("seed %d: the new leader has confirmed the state only %v after it could", seed, took)
		}
	}
}

// untilConfirmed waits until a leader can confirm reads, and returns the time from then on
// until it has confirmed its state as of a time after healed.
func (s *simRun) untilConfirmed(healed monotonic.Time) time.Duration {
	for s.leader() == nil || !s.leader().process.Load().replica.Status().CanConfirmReads {
		time.Sleep(time.Millisecond)
	}
	began, p := time.Now(), s.leader().process.Load()
	for time.Since(began) < recoveryTime {
		now := monotonic.Now()
		if age, known := p.service.store.Age(); known && now.Add(-age) > healed {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}
