package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	longPollWait = 400 * time.Millisecond // of one long poll; a third of it would cost three times the messages
	syncTimeout  = 900 * time.Millisecond // after which the next peer is polled
	retryDelay   = 50 * time.Millisecond  // before the next peer is polled after a failure
)

// Peer is a process that can be polled for the configuration.
type Peer interface {
	// Sync waits for a newer revision as the request allows; see Store.Sync.
	Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error)
}

// Follower keeps a store up to date by polling peers. It is unrelated to the
// followers of a Raft group.
type Follower struct {
	store   *Store
	process *wire.ProcessInfo
	peers   func() []Peer // in order of preference; the result may change
}

// NewFollower returns a follower. It calls peers before each poll. The peers see
// process as the sender.
func NewFollower(store *Store, process *wire.ProcessInfo, peers func() []Peer) *Follower {
	return &Follower{store: store, process: process, peers: peers}
}

// Run polls peers until ctx ends. Two loops poll different peers, so that one peer
// that does not respond delays no update.
func (f *Follower) Run(ctx context.Context) {
	go f.poll(ctx, 0)
	f.poll(ctx, 1)
}

// poll polls one peer for as long as that helps, and then the next one.
func (f *Follower) poll(ctx context.Context, offset int) {
	at := offset
	for ctx.Err() == nil {
		peers := f.peers()
		if len(peers) == 0 {
			wait.For(ctx, retryDelay)
			continue
		}
		if !f.pollPeer(ctx, peers[at%len(peers)]) {
			at++
			wait.For(ctx, retryDelay+rand.N(retryDelay))
		}
	}
}

// pollPeer sends one Sync request. It returns false when the peer did not respond,
// or when its response leaves the store without a recent confirmation.
func (f *Follower) pollPeer(ctx context.Context, peer Peer) bool {
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
		WaitMs:        uint32(longPollWait.Milliseconds()),
		Process:       info,
	})
	if err != nil {
		return false
	}
	// The age in the response counts from the end of the wait at the responder, so
	// sentAt gives a lower bound.
	f.store.Update(response, sentAt)
	return f.store.CurrentAt().After(before) || time.Since(before) < longPollWait
}
