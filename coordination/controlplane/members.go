package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	// unreachableAfter is the time without a message after which a voter counts as
	// unreachable.
	unreachableAfter = 2 * time.Second
	// removeUnreachableAfter is the time without a message after which a voter is
	// removed, if enough other voters are reachable. A removed replica can't join
	// again with the same data folder. A smaller value thus removes voters that are
	// only slow or restarting; with a larger one, a lost voter counts towards the
	// quorum for longer.
	removeUnreachableAfter = 6 * time.Second
	// membershipCheckAfter is the time without a leader after which a replica checks
	// whether it is still a member, and the time between two such checks.
	membershipCheckAfter = 3 * time.Second
	// membershipCallTimeout bounds the removal of a voter, for which Run waits, and the
	// calls of checkMembership to the other processes.
	membershipCallTimeout = time.Second
)

// removableVoter returns a voter that was not heard for longer than
// removeUnreachableAfter. It returns nil if there is none, or if fewer than
// minReachable voters are reachable, as the group would be too small without the
// unreachable one. Learners don't count as voters.
func removableVoter(members []*wire.Member, self string, minReachable int, sinceLastHeard func(address string) time.Duration) *wire.Member {
	reachable := 0
	var removable *wire.Member
	for _, m := range members {
		if m.Learner || m.Removed {
			continue
		}
		since := sinceLastHeard(m.Address)
		switch {
		case m.Id == self || since < unreachableAfter:
			reachable++
		case since > removeUnreachableAfter:
			removable = m
		}
	}
	if reachable < minReachable {
		return nil
	}
	return removable
}

// removeUnreachableVoter removes the voter that removableVoter returns, so that lost
// voters don't raise the number of voters that a quorum needs. The message is logged
// also if the removal fails; it then has an error.
func (s *Service) removeUnreachableVoter(ctx context.Context, status replica.Status) {
	removable := removableVoter(status.Members, status.ID, s.minReachableVoters(), s.timeSinceHeard)
	if removable == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membershipCallTimeout)
	defer cancel()
	err := s.replica.ChangeMembers(ctx, &wire.MemberChange{RemoveId: removable.Id})
	s.logger.Info().Str("replica", removable.Id).Str("address", removable.Address).Dur("silence", s.timeSinceHeard(removable.Address)).
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

// watchMembership checks this replica's membership until ctx ends. Hosts that are down keep
// it waiting, so it has a goroutine of its own.
func (s *Service) watchMembership(ctx context.Context) {
	for wait.For(ctx, confirmInterval) {
		s.checkMembership(ctx, s.replica.Status())
	}
}

// checkMembership finds out whether this replica was removed from the group while it
// was down or unreachable, and closes s.removed if it was. It sends all other
// processes at once a request to join, which only the leader carries out: for a member at
// this address it changes nothing, for a member at another address it records the
// new one, and a replica that is not in the member list is added as a learner.
//
// A Conflict is taken as a removal. Join also returns it for a member that has moved
// to an address that another member uses.
func (s *Service) checkMembership(ctx context.Context, status replica.Status) {
	if status.Leader != "" || len(status.Members) == 0 {
		s.membershipTimerStart = time.Now()
		return
	}
	if time.Since(s.membershipTimerStart) < membershipCheckAfter {
		return
	}
	s.membershipTimerStart = time.Now()
	ctx, cancel := context.WithTimeout(ctx, membershipCallTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range s.peerAddresses() {
		calls.Go(func() { s.askMembership(ctx, address, status.ID) })
	}
	calls.Wait()
}

// askMembership sends a process a request to join and closes s.removed if it says that
// this replica was removed.
func (s *Service) askMembership(ctx context.Context, address, id string) {
	conn, err := s.connections.Get(address)
	if err != nil {
		s.logger.RateLimitedWarn("membership").Str("address", address).Err(err).Msg("Another process can't be dialled to ask about this replica's membership.")
		return
	}
	answer, err := wire.NewPeerClient(conn).Join(ctx, &wire.JoinRequest{Id: id, Address: s.address})
	if err != nil {
		s.connections.Retire(address, conn)
		s.logger.RateLimitedWarn("membership").Str("address", address).Err(err).Msg("Another process could not be asked about this replica's membership.")
		return
	}
	if fault.KindOf(fault.FromWire(answer.Failure)) == fault.Conflict {
		s.logger.Warn().Str("replica", id).Str("address", address).Msg("This replica has been removed from the group.")
		s.removedOnce.Do(func() { close(s.removed) })
	}
}

// Removed returns a channel that is closed when this replica was removed from the
// group. Its data folder must be emptied before it can join again.
func (s *Service) Removed() <-chan struct{} { return s.removed }
