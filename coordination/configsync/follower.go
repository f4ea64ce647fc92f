package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	// longPollWait is how long a peer may hold a poll, and the age up to which a
	// confirmation counts as recent. While nothing changes, each loop sends one poll
	// in this time, so with a third of it there would be three times as many
	// messages. Several polls fit in MaxAge, so that some may fail.
	longPollWait = 400 * time.Millisecond
	// syncTimeout bounds one poll, after which the next peer is polled. It exceeds
	// longPollWait by the time that the call itself may take. Three timeouts in a row
	// fit in MaxAge.
	syncTimeout = 900 * time.Millisecond
	// minRetryDelay is the shortest pause before the next peer is polled after a
	// failure. A random time of up to the same length is added, which spreads the
	// polls of processes that lose a peer together. While there are no peers, it is
	// the pause before they are looked for again.
	minRetryDelay = 50 * time.Millisecond
	// loops is the number of loops that poll.
	loops = 2
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

	mu sync.Mutex
	at [loops]int // place of the peer that each loop polls, modulo the number of peers
}

// NewFollower returns a follower. It calls peers before each poll. The peers see
// process as the sender.
func NewFollower(store *Store, process *wire.ProcessInfo, peers func() []Peer) *Follower {
	return &Follower{store: store, process: process, peers: peers}
}

// Run polls peers until ctx ends. Two loops poll different peers, so that one peer
// that does not respond delays no update.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.at = [loops]int{0, 1}
	f.mu.Unlock()
	go f.poll(ctx, 1)
	f.poll(ctx, 0)
}

// poll polls one peer until pollPeer returns false, and then another one.
func (f *Follower) poll(ctx context.Context, loop int) {
	for ctx.Err() == nil {
		peers := f.peers()
		if len(peers) == 0 {
			wait.For(ctx, minRetryDelay)
			continue
		}
		if !f.pollPeer(ctx, peers[f.place(loop)%len(peers)]) {
			f.advance(loop, len(peers))
			wait.For(ctx, minRetryDelay+rand.N(minRetryDelay))
		}
	}
}

func (f *Follower) place(loop int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at[loop]
}

// advance moves a loop to the next peer, past the one that the other loop polls.
func (f *Follower) advance(loop, peers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at[loop]++
	if f.at[loop]%peers == f.at[1-loop]%peers {
		f.at[loop]++
	}
}

// pollPeer sends one Sync request. It returns false when the peer did not respond, or
// when its response did not confirm the store anew and the last confirmation, which
// may come from the other loop, is longer ago than longPollWait.
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
	// The responder computes the age when it responds, which is after sentAt. So sentAt
	// less the age is not later than the time at which its revision was the newest.
	f.store.Update(response, sentAt)
	return f.store.CurrentAt().After(before) || time.Since(before) < longPollWait
}
