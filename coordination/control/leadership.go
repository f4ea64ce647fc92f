package control

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// maxProofAge is the age up to which a confirmation is used to grant leases. It
// is more than confirmInterval, so that a grant usually finds a recent
// confirmation and need not wait for a quorum.
const maxProofAge = 2 * confirmInterval

// leadershipProof is a quorum's confirmation that this replica led at
// confirmedAt. A later leader cannot have been elected before that time.
type leadershipProof struct {
	since       time.Time
	confirmedAt time.Time
}

// proveLeadership returns a recent confirmation, or asks the quorum for a new
// one.
func (s *Service) proveLeadership(ctx context.Context) (leadershipProof, error) {
	st := s.Replica.Status()
	confirmed := s.confirmed.Load()
	if confirmed == nil || !confirmed.since.Equal(st.LeaderSince) || time.Since(confirmed.confirmedAt) > maxProofAge {
		if _, err := s.barrier(ctx); err != nil {
			return leadershipProof{}, err
		}
		confirmed = s.confirmed.Load()
		st = s.Replica.Status()
	}
	if !st.IsLeader || confirmed == nil || !confirmed.since.Equal(st.LeaderSince) {
		return leadershipProof{}, fault.New(fault.NotLeader, "replica %s is no longer the leader", st.ID)
	}
	return *confirmed, nil
}

// remaining returns the rest of a lease that began at the confirmation.
func (l leadershipProof) remaining(lease time.Duration) time.Duration {
	return lease - time.Since(l.confirmedAt)
}
