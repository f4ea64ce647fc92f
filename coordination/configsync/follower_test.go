package configsync

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// fakePeer holds each poll for the time that the request allows, and then confirms the
// revision.
type fakePeer struct {
	refuses atomic.Bool
	silent  atomic.Bool
	polled  atomic.Int32 // polls in progress
}

// Sync implements Peer.
func (p *fakePeer) Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	p.polled.Add(1)
	defer p.polled.Add(-1)
	if p.refuses.Load() {
		return nil, errors.New("refused")
	}
	if p.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Duration(request.WaitMs) * time.Millisecond)
	if p.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &wire.SyncResponse{Revision: 1, Snapshot: &wire.FleetConfig{Revision: 1}}, nil
}

// Guards against both loops polling one peer after another one was away for a moment, so
// that its silence makes the configuration old although other peers would confirm it.
func TestLoopsPollDifferentPeersAfterAFailure(t *testing.T) {
	for count := 2; count <= 5; count++ {
		for away := range 2 {
			bubble.Run(t, func(t *testing.T) {
				fakes := make([]*fakePeer, count)
				peers := make([]Peer, count)
				for i := range fakes {
					fakes[i] = &fakePeer{}
					peers[i] = fakes[i]
				}
				store := NewStore()
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(time.Second) // until both loops have ended
				defer cancel()
				go NewFollower(store, &wire.ProcessInfo{Id: "p"}, func() []Peer { return peers }).Run(ctx)
				fakes[away].refuses.Store(true)
				time.Sleep(time.Second)
				fakes[away].refuses.Store(false)
				time.Sleep(time.Second)
				for _, p := range fakes {
					if p.polled.Load() > 0 {
						p.silent.Store(true)
						break
					}
				}
				oldest := time.Duration(0)
				for range 100 {
					time.Sleep(20 * time.Millisecond)
					oldest = max(oldest, time.Since(store.CurrentAt()))
				}
				if oldest > 2*longPollWait {
					t.Errorf("%d peers, peer %d was away, then another one silent: the configuration was unconfirmed for %v, want at most %v", count, away, oldest, 2*longPollWait)
				}
			})
		}
	}
}
