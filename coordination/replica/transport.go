package replica

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

const (
	// peerQueueCapacity is the number of messages that wait to be sent to one peer.
	// Further ones are dropped.
	peerQueueCapacity = 256

	// minBatchBytes and fullBatchBytes bound batchBound. The last message of a batch may
	// exceed it, by as much as an append with one large command.
	minBatchBytes  = 64 << 10
	fullBatchBytes = 2 << 20

	// A full batch that is transferred in less than this part of Options.PeerTimeout is
	// followed by a larger one, and one that takes more than the other part by a smaller.
	fastBatchDivisor = 8
	slowBatchDivisor = 4
)

// transport sends messages to the other replicas. Each peer has bounded queues and
// connections of its own. Messages that don't fit or fail are dropped, since Raft
// sends them again.
type transport struct {
	options           *Options
	onSnapshotFailure func(id string) // called if a snapshot could not be delivered
	ctx               context.Context
	cancel            context.CancelFunc
	senders           sync.WaitGroup

	addresses map[string]string // by replica ID; owned by the replica's goroutine
	peers     map[string]*peer  // by address; owned by the replica's goroutine
}

type peer struct {
	transport *transport
	address   string
	queue     chan *wire.PeerMessage
	snapshots chan *wire.PeerMessage
}

func newTransport(options *Options, onSnapshotFailure func(id string)) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &transport{
		options:           options,
		onSnapshotFailure: onSnapshotFailure,
		ctx:               ctx,
		cancel:            cancel,
		addresses:         make(map[string]string),
		peers:             make(map[string]*peer),
	}
}

func (t *transport) close() {
	t.cancel()
	t.senders.Wait()
}

// setAddress records the address of a replica, from the member list or from a
// message that it sent.
func (t *transport) setAddress(id, address string) {
	if address != "" {
		t.addresses[id] = address
	}
}

// send queues messages. A message to a replica whose address is unknown is dropped.
func (t *transport) send(messages []*wire.PeerMessage, members []*wire.Member) {
	if len(messages) == 0 {
		return
	}
	for _, m := range members {
		t.setAddress(m.Id, m.Address)
	}
	for _, m := range messages {
		if address := t.addresses[m.To]; address != "" {
			t.peer(address).enqueue(m)
		}
	}
}

func (t *transport) peer(address string) *peer {
	if p := t.peers[address]; p != nil {
		return p
	}
	p := &peer{
		transport: t,
		address:   address,
		queue:     make(chan *wire.PeerMessage, peerQueueCapacity),
		snapshots: make(chan *wire.PeerMessage, 1),
	}
	t.peers[address] = p
	t.senders.Go(p.sendMessages)
	t.senders.Go(p.sendSnapshots)
	return p
}

// enqueue drops m if its queue is full. Only one snapshot is queued.
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

// sendMessages sends the queued messages other than snapshots.
func (p *peer) sendMessages() {
	conn := &peerConn{peer: p}
	defer conn.disconnect()
	bound := batchBound{bytes: minBatchBytes}
	for {
		select {
		case <-p.transport.ctx.Done():
			return
		case m := <-p.queue:
			batch, size := takeBatch(m, p.queue, bound.bytes)
			began := time.Now()
			err := conn.call(batch)
			bound.observe(size, time.Since(began), p.transport.options.PeerTimeout, err)
		}
	}
}

// batchBound is the size from which takeBatch adds no message to a batch. It follows
// the speed of the link, so that calls end well within their timeout and heartbeats
// don't wait long behind entries.
type batchBound struct {
	bytes     int
	roundTrip time.Duration // of the fastest call since one has failed, 0 if none
}

// observe takes in a call with a batch of size bytes.
func (b *batchBound) observe(size int, took, timeout time.Duration, err error) {
	if err != nil {
		*b = batchBound{bytes: minBatchBytes}
		return
	}
	if b.roundTrip == 0 || took < b.roundTrip {
		b.roundTrip = took
	}
	transfer := took - b.roundTrip
	switch {
	case transfer > timeout/slowBatchDivisor:
		b.bytes = max(b.bytes/2, minBatchBytes)
	case size >= b.bytes && transfer < timeout/fastBatchDivisor:
		b.bytes = min(2*b.bytes, fullBatchBytes)
	}
}

// sendSnapshots sends snapshots in chunks, on a separate connection so that they
// don't delay heartbeats.
func (p *peer) sendSnapshots() {
	conn := &peerConn{peer: p}
	defer conn.disconnect()
	for {
		select {
		case <-p.transport.ctx.Done():
			return
		case m := <-p.snapshots:
			if err := sendChunks(conn, m); err != nil {
				p.transport.onSnapshotFailure(m.To)
			}
		}
	}
}

func sendChunks(conn *peerConn, m *wire.PeerMessage) error {
	for _, chunk := range splitSnapshot(m) {
		if err := conn.call(&wire.PeerMessages{Messages: []*wire.PeerMessage{chunk}}); err != nil {
			return err
		}
	}
	return nil
}

// peerConn is a connection that is reopened after a failed call, so that an
// unresponsive connection doesn't block later messages.
type peerConn struct {
	peer *peer
	conn grpc.ClientConnInterface
}

func (c *peerConn) call(batch *wire.PeerMessages) error {
	if c.conn == nil {
		conn, err := c.peer.transport.options.Dial(c.peer.address)
		if err != nil {
			return err
		}
		c.conn = conn
	}
	ctx, cancel := context.WithTimeout(c.peer.transport.ctx, c.peer.transport.options.PeerTimeout)
	defer cancel()
	_, err := wire.NewPeerClient(c.conn).Step(ctx, batch)
	if err != nil {
		c.disconnect()
	}
	return err
}

func (c *peerConn) disconnect() {
	closeConn(c.conn)
	c.conn = nil
}

// takeBatch returns a batch of first and further queued messages, until the batch
// has at least bound bytes or the queue is empty, and its size.
func takeBatch(first *wire.PeerMessage, queue chan *wire.PeerMessage, bound int) (batch *wire.PeerMessages, size int) {
	batch = &wire.PeerMessages{Messages: []*wire.PeerMessage{first}}
	size = proto.Size(first)
	for size < bound {
		select {
		case m := <-queue:
			batch.Messages = append(batch.Messages, m)
			size += proto.Size(m)
		default:
			return batch, size
		}
	}
	return batch, size
}

func closeConn(conn grpc.ClientConnInterface) {
	if closer, ok := conn.(io.Closer); ok && closer != nil {
		_ = closer.Close()
	}
}
