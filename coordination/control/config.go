package control

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
)

// Run keeps the store current until ctx ends: from the quorum while this
// replica leads, and from the other replicas while it follows.
func (s *Service) Run(ctx context.Context) error {
	go configsync.NewFollower(s.Store, s.Process, s.neighbours).Run(ctx)
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	pruner := time.NewTicker(forgetAfter)
	defer pruner.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.Machine.Changed():
			s.adopt(s.Store.CurrentAt())
		case <-ticker.C:
			s.confirm(ctx)
		case <-pruner.C:
			s.seen.prune()
		}
	}
}

// confirm has a quorum confirm that the applied configuration is current.
func (s *Service) confirm(ctx context.Context) {
	if !s.Replica.Status().IsLeader {
		return
	}
	if _, err := s.barrier(ctx); err != nil && ctx.Err() == nil {
		s.log.Warn().Err(err).Msg("No quorum confirmed the leader.")
	}
}

// barrier confirms the leader and makes the store current as of that moment.
func (s *Service) barrier(ctx context.Context) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	before := s.Replica.Status()
	currentAt, err := s.Replica.Barrier(ctx)
	if err != nil {
		return time.Time{}, err
	}
	after := s.Replica.Status()
	if before.IsLeader && after.IsLeader && before.LeaderSince.Equal(after.LeaderSince) {
		s.confirmed.Store(&leadership{since: after.LeaderSince, confirmedAt: currentAt})
	}
	s.adopt(currentAt)
	return currentAt, nil
}

// adopt gives the store the applied configuration. Applied means committed, so
// it is at least as new as what was current at any moment already confirmed.
func (s *Service) adopt(currentAt time.Time) {
	if currentAt.IsZero() {
		return
	}
	published := s.Machine.Published()
	response := &wire.SyncResponse{Revision: published.View.Revision()}
	known := s.Store.Revision()
	if deltas, ok := since(published.History, known); ok {
		response.Deltas = deltas
	} else if known < response.Revision || s.Store.View() == nil {
		response.Snapshot = published.View.Config()
	}
	s.Store.Update(response, currentAt)
}

// since returns the changes above a revision when none of them is missing.
func since(history []*wire.ConfigDelta, revision uint64) ([]*wire.ConfigDelta, bool) {
	for i, delta := range history {
		if delta.Revision == revision {
			return history[i+1:], true
		}
	}
	return nil, false
}

// neighbours are the other replicas, the leader first. A leader asks nobody.
func (s *Service) neighbours() []configsync.Peer {
	st := s.Replica.Status()
	if st.IsLeader {
		return nil
	}
	var peers []configsync.Peer
	for _, member := range st.Members {
		if member.Id == st.ID || member.Removed {
			continue
		}
		conn, err := s.Dial(member.Address)
		if err != nil {
			continue
		}
		peer := configPeer{wire.NewConfigClient(conn)}
		if member.Id == st.Leader {
			peers = append([]configsync.Peer{peer}, peers...)
		} else {
			peers = append(peers, peer)
		}
	}
	return peers
}

type configPeer struct{ client wire.ConfigClient }

func (p configPeer) Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	return p.client.Sync(ctx, request, grpc.WaitForReady(false))
}
