package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	syncWait    = 400 * time.Millisecond // long poll; a third of it would cost thrice the messages
	syncTimeout = 900 * time.Millisecond // a silent peer is left for the next one after this
	retryPause  = 50 * time.Millisecond  // between a failure and the next peer
)

// Peer is a neighbour that can be asked for the configuration.
type Peer interface {
	Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error)
}

// Follower keeps a store current by asking neighbours in turn.
type Follower struct {
	store   *Store
	process *wire.ProcessInfo
	peers   func() []Peer // in order of preference, may change
}

// NewFollower returns a follower; peers is called before each round.
func NewFollower(store *Store, process *wire.ProcessInfo, peers func() []Peer) *Follower {
	return &Follower{store: store, process: process, peers: peers}
}

// Run asks peers until ctx ends. Two loops run at once, so that one silent
// peer delays no update.
func (f *Follower) Run(ctx context.Context) {
	go f.loop(ctx, 0)
	f.loop(ctx, 1)
}

func (f *Follower) loop(ctx context.Context, offset int) {
	at := offset
	for ctx.Err() == nil {
		peers := f.peers()
		if len(peers) == 0 {
			wait.For(ctx, retryPause)
			continue
		}
		if !f.ask(ctx, peers[at%len(peers)]) {
			at++
			wait.For(ctx, retryPause+rand.N(retryPause))
		}
	}
}

// ask reports whether the peer helped the store to become more current.
func (f *Follower) ask(ctx context.Context, peer Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	info := &wire.ProcessInfo{
		Id:         f.process.Id,
		Role:       f.process.Role,
		DataCentre: f.process.DataCentre,
		Address:    f.process.Address,
		Revision:   f.store.Revision(),
	}
	before := f.store.CurrentAt()
	sentAt := time.Now()
	response, err := peer.Sync(ctx, &wire.SyncRequest{
		KnownRevision: info.Revision,
		WaitMs:        uint32(syncWait.Milliseconds()),
		Process:       info,
	})
	if err != nil {
		return false
	}
	// The responder answers after its wait, so its age counts from the answer.
	f.store.Update(response, sentAt)
	return f.store.CurrentAt().After(before) || time.Since(before) < syncWait
}
