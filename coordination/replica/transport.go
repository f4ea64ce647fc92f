package replica

import (
	"context"
	"io"
	"sync"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

const (
	queuedMessages = 256
	maxSendBytes   = 2 << 20
)

// outbox sends messages to the other replicas. Each has its own bounded queue
// and connection; what doesn't fit or fails is dropped, the core sends again.
type outbox struct {
	options *Options
	lost    func(id string) // told of snapshots that did not arrive
	ctx     context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup

	addresses map[string]string // by identity; owned by the replica's goroutine
	peers     map[string]*peer  // by address
}

type peer struct {
	box       *outbox
	address   string
	queue     chan *wire.PeerMessage
	snapshots chan *wire.PeerMessage
}

func newOutbox(options *Options, snapshotLost func(id string)) *outbox {
	ctx, cancel := context.WithCancel(context.Background())
	return &outbox{
		options:   options,
		lost:      snapshotLost,
		ctx:       ctx,
		cancel:    cancel,
		addresses: make(map[string]string),
		peers:     make(map[string]*peer),
	}
}

func (o *outbox) close() {
	o.cancel()
	o.work.Wait()
}

// learn notes the address from which an identity has written.
func (o *outbox) learn(id, address string) {
	if address != "" {
		o.addresses[id] = address
	}
}

func (o *outbox) send(messages []*wire.PeerMessage, members []*wire.Member) {
	if len(messages) == 0 {
		return
	}
	for _, m := range members {
		o.learn(m.Id, m.Address)
	}
	for _, m := range messages {
		if address := o.addresses[m.To]; address != "" {
			o.peer(address).enqueue(m)
		}
	}
}

func (o *outbox) peer(address string) *peer {
	if p := o.peers[address]; p != nil {
		return p
	}
	p := &peer{
		box:       o,
		address:   address,
		queue:     make(chan *wire.PeerMessage, queuedMessages),
		snapshots: make(chan *wire.PeerMessage, 1),
	}
	o.peers[address] = p
	o.work.Go(p.sendMessages)
	o.work.Go(p.sendSnapshots)
	return p
}

func (p *peer) enqueue(m *wire.PeerMessage) {
	queue := p.queue
	if m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_SNAPSHOT {
		queue = p.snapshots
	}
	select {
	case queue <- m:
	default:
	}
}

// sendMessages sends the queue of ordinary messages.
func (p *peer) sendMessages() {
	link := &peerLink{peer: p}
	defer link.drop()
	for {
		select {
		case <-p.box.ctx.Done():
			return
		case m := <-p.queue:
			_ = link.call(collect(m, p.queue))
		}
	}
}

// sendSnapshots sends snapshots in parts, on a connection of their own so that
// heartbeats don't wait behind them.
func (p *peer) sendSnapshots() {
	link := &peerLink{peer: p}
	defer link.drop()
	for {
		select {
		case <-p.box.ctx.Done():
			return
		case m := <-p.snapshots:
			if err := sendParts(link, m); err != nil {
				p.box.lost(m.To)
			}
		}
	}
}

func sendParts(link *peerLink, m *wire.PeerMessage) error {
	for _, part := range split(m) {
		if err := link.call(&wire.PeerMessages{Messages: []*wire.PeerMessage{part}}); err != nil {
			return err
		}
	}
	return nil
}

// peerLink is a connection that a failed call replaces: one that has gone
// silent can't hold up later messages.
type peerLink struct {
	peer *peer
	conn grpc.ClientConnInterface
}

func (l *peerLink) call(batch *wire.PeerMessages) error {
	if l.conn == nil {
		conn, err := l.peer.box.options.Dial(l.peer.address)
		if err != nil {
			return err
		}
		l.conn = conn
	}
	ctx, cancel := context.WithTimeout(l.peer.box.ctx, l.peer.box.options.PeerTimeout)
	defer cancel()
	_, err := wire.NewPeerClient(l.conn).Step(ctx, batch)
	if err != nil {
		l.drop()
	}
	return err
}

func (l *peerLink) drop() {
	closeConn(l.conn)
	l.conn = nil
}

// collect takes further queued messages up to a size.
func collect(first *wire.PeerMessage, queue chan *wire.PeerMessage) *wire.PeerMessages {
	batch := &wire.PeerMessages{Messages: []*wire.PeerMessage{first}}
	size := proto.Size(first)
	for size < maxSendBytes {
		select {
		case m := <-queue:
			batch.Messages = append(batch.Messages, m)
			size += proto.Size(m)
		default:
			return batch
		}
	}
	return batch
}

func closeConn(conn grpc.ClientConnInterface) {
	if closer, ok := conn.(io.Closer); ok && closer != nil {
		_ = closer.Close()
	}
}
