package controlplane

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	// unreachableAfter is the time without a message after which a voter counts as
	// unreachable.
	unreachableAfter = 2 * time.Second
	// removeReplacedAfter is the time without a message after which a voter is
	// removed, once another one has replaced it.
	removeReplacedAfter = 6 * time.Second
	// membershipCheckAfter is the time without a leader after which a replica asks
	// whether it is still a member.
	membershipCheckAfter  = 3 * time.Second
	membershipCallTimeout = time.Second
)

// replacedVoter returns a voter that was not heard for removeReplacedAfter. It
// returns nil if there is none, or if fewer than minReachable voters are reachable, in
// which case no other voter has replaced it.
func replacedVoter(members []*wire.Member, self string, minReachable int, sinceLastHeard func(address string) time.Duration) *wire.Member {
	reachable := 0
	var replaced *wire.Member
	for _, m := range members {
		if m.Learner || m.Removed {
			continue
		}
		since := sinceLastHeard(m.Address)
		switch {
		case m.Id == self || since < unreachableAfter:
			reachable++
		case since > removeReplacedAfter:
			replaced = m
		}
	}
	if reachable < minReachable {
		return nil
	}
	return replaced
}

// removeReplacedVoter removes an unreachable voter that another one has replaced, so
// that quorums are counted only over voters that exist.
func (s *Service) removeReplacedVoter(ctx context.Context, status replica.Status) {
	replaced := replacedVoter(status.Members, status.ID, s.minReachableVoters(), s.timeSinceHeard)
	if replaced == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membershipCallTimeout)
	defer cancel()
	err := s.replica.ChangeMembers(ctx, &wire.MemberChange{RemoveId: replaced.Id})
	s.logger.Info().Str("replica", replaced.Id).Str("address", replaced.Address).Dur("silence", s.timeSinceHeard(replaced.Address)).
		Int("members", len(status.Members)).Err(err).Msg("A voter that was replaced is removed.")
}

// timeSinceHeard returns the time since a process was last heard. It is the
// longest duration if there is no link to the process.
func (s *Service) timeSinceHeard(address string) time.Duration {
	if since, linked := s.sinceLastHeard()[address]; linked {
		return since
	}
	return time.Duration(1<<63 - 1)
}

// checkMembership asks the other processes whether this replica was removed from
// the group while it was down or unreachable, and closes s.removed if it was.
func (s *Service) checkMembership(ctx context.Context, status replica.Status) {
	if status.Leader != "" || len(status.Members) == 0 {
		s.leaderSeenAt = time.Now()
		return
	}
	if time.Since(s.leaderSeenAt) < membershipCheckAfter {
		return
	}
	s.leaderSeenAt = time.Now()
	for _, address := range s.peerAddresses() {
		conn, err := s.dial(address)
		if err != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, membershipCallTimeout)
		answer, err := wire.NewPeerClient(conn).Join(callCtx, &wire.JoinRequest{Id: status.ID, Address: s.address})
		cancel()
		if err != nil {
			s.logger.RateLimitedWarn("membership").Str("address", address).Err(err).Msg("Another process could not be asked about this replica's membership.")
			continue
		}
		if fault.KindOf(fault.FromWire(answer.Failure)) == fault.Conflict {
			s.logger.Warn().Str("replica", status.ID).Str("address", address).Msg("This replica has been removed from the group.")
			s.removedOnce.Do(func() { close(s.removed) })
			return
		}
	}
}

// Removed returns a channel that is closed when this replica was removed from the
// group. Its data folder must be emptied before it can join again.
func (s *Service) Removed() <-chan struct{} { return s.removed }
