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
	// membershipCheckAfter is the time without a leader after which a replica checks
	// whether it is still a member, and the time between two such checks.
	membershipCheckAfter = 3 * time.Second
	// membershipCallTimeout bounds the calls of checkMembership to the other processes.
	membershipCallTimeout = time.Second
)

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
