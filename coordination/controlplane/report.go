package controlplane

import "time"

const (
	// slowCallAfter is the time after which a call that this process got as the leader is
	// reported. Callers ask again some time before that.
	slowCallAfter = 2 * hedgeDelay
	// replicaStandsStillAfter is the age of a replica's status from which it is reported to
	// stand still. It publishes one with each tick.
	replicaStandsStillAfter = time.Second
)

// reportSlowCall logs that a forwarded call has reached this process, the leader, and took
// long here.
func (s *Service) reportSlowCall(took time.Duration, err error) {
	if took < slowCallAfter {
		return
	}
	s.logger.RateLimitedWarn("slow call").Dur("took", took).Uint64("commit", s.replica.Status().Commit).Err(err).
		Msg("A forwarded call took long at the leader.")
}

// reportStandstill logs that this process's replica publishes nothing: it waits for its disk,
// or its process was suspended.
func (s *Service) reportStandstill() {
	status := s.replica.Status()
	age := time.Since(status.PublishedAt)
	if age < replicaStandsStillAfter {
		return
	}
	s.logger.RateLimitedWarn("standstill").Str("replica", status.ID).Dur("age", age).Bool("leads", status.IsLeader).
		Str("leader", status.Leader).Uint64("commit", status.Commit).Msg("The replica stands still; its beliefs are old.")
}
