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
	queuedMessages = 256
	maxSendBytes   = 2 << 20
)

// outbox sends messages to the other replicas. Each has its own bounded queue
// and connection; what doesn't fit or fails is dropped, the core sends again.
type outbox struct {
	options *Options
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

func newOutbox(options *Options) *outbox {
	ctx, cancel := context.WithCancel(context.Background())
	return &outbox{
		options:   options,
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
	o.work.Go(func() { p.run(p.queue, o.options.PeerTimeout) })
	o.work.Go(func() { p.run(p.snapshots, o.options.SnapshotTimeout) })
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

// run sends one queue, over a connection that a failed call replaces.
func (p *peer) run(queue chan *wire.PeerMessage, timeout time.Duration) {
	var conn grpc.ClientConnInterface
	defer func() { closeConn(conn) }()
	for {
		select {
		case <-p.box.ctx.Done():
			return
		case m := <-queue:
			batch := collect(m, queue)
			if conn == nil {
				conn, _ = p.box.options.Dial(p.address)
			}
			if conn == nil {
				continue
			}
			if err := p.call(conn, batch, timeout); err != nil {
				closeConn(conn)
				conn = nil
			}
		}
	}
}

func (p *peer) call(conn grpc.ClientConnInterface, batch *wire.PeerMessages, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(p.box.ctx, timeout)
	defer cancel()
	_, err := wire.NewPeerClient(conn).Step(ctx, batch)
	return err
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
