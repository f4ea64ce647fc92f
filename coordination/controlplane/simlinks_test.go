package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// heardInterval is the time between two looks at which processes hear each other.
const heardInterval = 100 * time.Millisecond

// simLinks carries calls between simulated hosts. Connections may fall silent for good, and
// hosts may be cut off or slow.
type simLinks struct {
	fleet *simFleet
	usual time.Duration // most time of a message

	mu      sync.Mutex
	conns   []*simConn
	blocked map[[2]string]bool       // from and to
	delays  map[string]time.Duration // of a message from or to a host, at most, besides the usual time
	heard   map[[2]string]time.Time  // by and of whom
}

func newSimLinks(f *simFleet) *simLinks {
	return &simLinks{fleet: f, blocked: map[[2]string]bool{}, delays: map[string]time.Duration{}, heard: map[[2]string]time.Time{}}
}

// simConn is a connection. It implements grpc.ClientConnInterface.
type simConn struct {
	grpc.ClientConnInterface
	links    *simLinks
	from, to string
	silent   bool
}

func (l *simLinks) connect(from, to string) *simConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &simConn{links: l, from: from, to: to}
	l.conns = append(l.conns, c)
	return c
}

// silenceAll makes all open connections silent.
func (l *simLinks) silenceAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silent = true
	}
	l.conns = nil
}

func (l *simLinks) block(from, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked[[2]string{from, to}] = true
}

func (l *simLinks) slow(address string, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[address] = delay
}

// heal ends blocks and delays.
func (l *simLinks) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.blocked)
	clear(l.delays)
}

// travel waits for a message of a connection to arrive.
func (l *simLinks) travel(ctx context.Context, c *simConn, from, to string) error {
	l.mu.Lock()
	lost := c.silent || l.blocked[[2]string{from, to}]
	most := l.usual + l.delays[from] + l.delays[to]
	l.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	wait.For(ctx, time.Duration(l.fleet.intN(int(most))))
	return ctx.Err()
}

// Invoke implements grpc.ClientConnInterface.
func (c *simConn) Invoke(ctx context.Context, method string, request, reply any, _ ...grpc.CallOption) error {
	q := proto.Clone(request.(proto.Message))
	if err := c.links.travel(ctx, c, c.from, c.to); err != nil {
		return err
	}
	p := c.links.fleet.host(c.to).process.Load()
	if p == nil {
		return status.Error(codes.Unavailable, "connection refused")
	}
	answer, err := c.handle(ctx, p, method, q)
	if err != nil {
		return err
	}
	if err := c.links.travel(ctx, c, c.to, c.from); err != nil {
		return err
	}
	proto.Merge(reply.(proto.Message), proto.Clone(answer))
	return nil
}

// handle serves a call at the process that it has reached.
func (c *simConn) handle(ctx context.Context, p *simProcess, method string, q proto.Message) (proto.Message, error) {
	switch q := q.(type) {
	case *wire.SteeringChange:
		return p.server.Change(ctx, q)
	case *wire.SteeringRead:
		return p.server.Read(ctx, q)
	}
	if p.replica == nil {
		return nil, status.Error(codes.Unimplemented, "no replica")
	}
	switch q := q.(type) {
	case *wire.PeerMessages:
		for _, m := range q.Messages {
			if m.Kind == wire.PeerMessageKind_PEER_MESSAGE_KIND_SNAPSHOT {
				c.links.fleet.count("snapshot sent")
			}
		}
		return p.replica.Step(ctx, q)
	case *wire.JoinRequest:
		return p.replica.Join(ctx, q)
	}
	return nil, status.Error(codes.Unimplemented, method)
}

// watch records which replicas the processes hear, until ctx ends.
func (l *simLinks) watch(ctx context.Context) {
	for wait.For(ctx, heardInterval) {
		l.mu.Lock()
		for _, by := range l.fleet.hosts {
			for _, of := range l.fleet.hosts[:l.fleet.disks] {
				p := of.process.Load()
				if p != nil && p.replica != nil && !l.blocked[[2]string{of.address, by.address}] {
					l.heard[[2]string{by.address, of.address}] = time.Now()
				}
			}
		}
		l.mu.Unlock()
	}
}

// silence returns the time since the replicas were last heard at an address.
func (l *simLinks) silence(by string) map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	silence := make(map[string]time.Duration)
	for pair, at := range l.heard {
		if pair[0] == by {
			silence[pair[1]] = time.Since(at)
		}
	}
	return silence
}

// simPool keeps one connection to each address. It implements connections.Pool.
type simPool struct {
	links *simLinks
	from  string

	mu    sync.Mutex
	conns map[string]*simConn
}

// Get implements connections.Pool.
func (p *simPool) Get(address string) (grpc.ClientConnInterface, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == nil {
		p.conns[address] = p.links.connect(p.from, address)
	}
	return p.conns[address], nil
}

// Replace implements connections.Pool.
func (p *simPool) Replace(address string, conn grpc.ClientConnInterface) { p.Retire(address, conn) }

// Retire implements connections.Pool.
func (p *simPool) Retire(address string, conn grpc.ClientConnInterface) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		p.links.fleet.count("connection replaced")
		delete(p.conns, address)
	}
}
