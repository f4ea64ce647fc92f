package control

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// confirmedFor is how old a quorum's confirmation may be for a lease to rest on it.
const confirmedFor = 2 * feedInterval

// leadership is the proof that this replica led at a moment. A later leader
// cannot have been elected before confirmedAt.
type leadership struct {
	since       time.Time
	confirmedAt time.Time
}

// leadership returns a recent proof, or asks the quorum for one.
func (s *Service) leadership(ctx context.Context) (leadership, error) {
	st := s.Replica.Status()
	confirmed := s.confirmed.Load()
	if confirmed == nil || !confirmed.since.Equal(st.LeaderSince) || time.Since(confirmed.confirmedAt) > confirmedFor {
		if _, err := s.barrier(ctx); err != nil {
			return leadership{}, err
		}
		confirmed = s.confirmed.Load()
		st = s.Replica.Status()
	}
	if !st.IsLeader || confirmed == nil || !confirmed.since.Equal(st.LeaderSince) {
		return leadership{}, fault.New(fault.NotLeader, "replica %s leads no more", st.ID)
	}
	return *confirmed, nil
}

// remaining is what is left of a lease that began at the confirmation.
func (l leadership) remaining(lease time.Duration) time.Duration {
	return lease - time.Since(l.confirmedAt)
}
