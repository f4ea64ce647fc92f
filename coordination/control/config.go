package control

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/coordination/connections"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
)

// Run keeps the configuration store current until ctx ends: from this replica's
// log, as confirmed by a quorum, while the replica leads, and from the other
// replicas while it follows.
func (s *Service) Run(ctx context.Context) error {
	go configsync.NewFollower(s.Store, s.Process, s.configPeers).Run(ctx)
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	pruner := time.NewTicker(livenessTTL)
	defer pruner.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.Machine.Changed():
			s.updateStore(s.Store.CurrentAt())
		case <-ticker.C:
			s.confirmLeadership(ctx)
		case <-pruner.C:
			s.liveness.prune()
		}
	}
}

// confirmLeadership lets a quorum confirm that the applied configuration is
// current.
func (s *Service) confirmLeadership(ctx context.Context) {
	if !s.Replica.Status().IsLeader {
		return
	}
	if _, err := s.barrier(ctx); err != nil && ctx.Err() == nil {
		s.log.Warn().Err(err).Msg("No quorum confirmed the leadership of this replica.")
	}
}

// barrier lets a quorum confirm this replica's leadership, and updates the
// store as of that moment.
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
		s.confirmed.Store(&leadershipProof{since: after.LeaderSince, confirmedAt: currentAt})
	}
	s.updateStore(currentAt)
	return currentAt, nil
}

// updateStore passes the applied configuration to the store. Applied changes
// are committed, so the configuration is at least as new as at any moment that
// a quorum has confirmed.
func (s *Service) updateStore(currentAt time.Time) {
	if currentAt.IsZero() {
		return
	}
	published := s.Machine.Published()
	response := &wire.SyncResponse{Revision: published.View.Revision()}
	known := s.Store.Revision()
	if deltas, ok := deltasSince(published.History, known); ok {
		response.Deltas = deltas
	} else if known < response.Revision || s.Store.View() == nil {
		response.Snapshot = published.View.Config()
	}
	s.Store.Update(response, currentAt)
}

// deltasSince returns the changes after a revision, and false if the history
// does not reach back that far.
func deltasSince(history []*wire.ConfigDelta, revision uint64) ([]*wire.ConfigDelta, bool) {
	for i, delta := range history {
		if delta.Revision == revision {
			return history[i+1:], true
		}
	}
	return nil, false
}

// configPeers returns the other replicas, the leader first. It returns none on
// the leader, which does not sync from others.
func (s *Service) configPeers() []configsync.Peer {
	st := s.Replica.Status()
	if st.IsLeader {
		return nil
	}
	var peers []configsync.Peer
	for _, member := range st.Members {
		if member.Id == st.ID || member.Removed {
			continue
		}
		peer := configPeer{service: s, address: member.Address}
		if member.Id == st.Leader {
			peers = append([]configsync.Peer{peer}, peers...)
		} else {
			peers = append(peers, peer)
		}
	}
	return peers
}

// configPeer is another replica, which serves its configuration.
type configPeer struct {
	service *Service
	address string
}

// Sync implements configsync.Peer.
func (p configPeer) Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	return connections.Call(p.service.Connections, p.address, func(conn grpc.ClientConnInterface) (*wire.SyncResponse, error) {
		return wire.NewConfigClient(conn).Sync(ctx, request, grpc.WaitForReady(false))
	})
}
