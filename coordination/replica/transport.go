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
	// peerQueueCapacity is the number of messages that wait to be sent to one peer.
	// Further ones are dropped.
	peerQueueCapacity = 256

	// fullBatchBytes is the size from which takeBatch adds no message to a batch. The
	// last message may exceed it, by as much as an append with one large command.
	fullBatchBytes = 2 << 20
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
	for {
		select {
		case <-p.transport.ctx.Done():
			return
		case m := <-p.queue:
			_ = conn.call(takeBatch(m, p.queue))
		}
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
// has at least fullBatchBytes or the queue is empty.
func takeBatch(first *wire.PeerMessage, queue chan *wire.PeerMessage) *wire.PeerMessages {
	batch := &wire.PeerMessages{Messages: []*wire.PeerMessage{first}}
	size := proto.Size(first)
	for size < fullBatchBytes {
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
