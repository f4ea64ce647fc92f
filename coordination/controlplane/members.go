package controlplane

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	// silentAfter is when a voter counts as not reachable.
	silentAfter = 2 * time.Second
	// replacedAfter is the silence after which a voter is removed once another
	// one has taken its place.
	replacedAfter = 6 * time.Second
	// leaderlessAfter is when a replica without a leader asks whether it is still
	// a member.
	leaderlessAfter = 3 * time.Second
	removeTimeout   = time.Second
)

// replacedVoter returns a voter that is silent for long while enough others are
// reachable, nil when there is none. least is the number of reachable voters below which none is removed.
func replacedVoter(members []*wire.Member, self string, least int, silence func(address string) time.Duration) *wire.Member {
	reachable := 0
	var gone *wire.Member
	for _, m := range members {
		if m.Learner || m.Removed {
			continue
		}
		silent := silence(m.Address)
		switch {
		case m.Id == self || silent < silentAfter:
			reachable++
		case silent > replacedAfter:
			gone = m
		}
	}
	if reachable < least {
		return nil
	}
	return gone
}

// removeReplaced removes a voter whose place another one has taken, so that the
// quorum counts only hosts that exist.
func (s *Service) removeReplaced(ctx context.Context, status replica.Status) {
	gone := replacedVoter(status.Members, status.ID, s.least(), s.silenceOf)
	if gone == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	err := s.replica.ChangeMembers(ctx, &wire.MemberChange{RemoveId: gone.Id})
	s.logger.Info().Str("replica", gone.Id).Str("address", gone.Address).Dur("silence", s.silenceOf(gone.Address)).
		Int("members", len(status.Members)).Err(err).Msg("A voter that was replaced is removed.")
}

// silenceOf returns how long a process was not heard; one without a link was
// never heard.
func (s *Service) silenceOf(address string) time.Duration {
	if silent, linked := s.silence()[address]; linked {
		return silent
	}
	return time.Duration(1<<63 - 1)
}

// checkMembership asks the other processes whether this replica was removed
// from the group while it was away.
func (s *Service) checkMembership(ctx context.Context, status replica.Status) {
	if status.Leader != "" || len(status.Members) == 0 {
		s.leaderAt = time.Now()
		return
	}
	if time.Since(s.leaderAt) < leaderlessAfter {
		return
	}
	s.leaderAt = time.Now()
	for _, address := range s.others() {
		conn, err := s.dial(address)
		if err != nil {
			continue
		}
		asked, cancel := context.WithTimeout(ctx, removeTimeout)
		answer, err := wire.NewPeerClient(conn).Join(asked, &wire.JoinRequest{Id: status.ID, Address: s.address})
		cancel()
		if err != nil {
			s.logger.Repeated("membership").Str("address", address).Err(err).Msg("A process was not asked about this replica's membership.")
			continue
		}
		if fault.KindOf(fault.FromWire(answer.Failure)) == fault.Conflict {
			s.logger.Warn().Str("replica", status.ID).Str("address", address).Msg("This replica was removed from the group.")
			s.removedOnce.Do(func() { close(s.removed) })
			return
		}
	}
}

// Removed is closed when this replica was removed from the group: its folder
// must be emptied before it may join again.
func (s *Service) Removed() <-chan struct{} { return s.removed }
