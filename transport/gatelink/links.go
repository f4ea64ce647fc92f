// Package gatelink holds an entry's links to gates. A gate admits and queues the attempts
// of one endpoint. There is one connection per gate; a heartbeat stream detects when it
// is dead, and it is then replaced. The package also has the server for the gates' reports.
package gatelink

import (
	"context"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"google.golang.org/grpc"
)

const (
	beatInterval     = 250 * time.Millisecond
	heartbeatTimeout = time.Second // four intervals; a connection without an answer for so long is replaced
	// idleTimeout is the time without calls after which a failed heartbeat stream to an
	// address is not opened again. A stream that does not fail continues.
	idleTimeout = time.Minute
)

// Links provides clients of gates. It implements relay.Gates.
type Links struct {
	ctx  context.Context
	pool *link.Pool

	mu       sync.Mutex
	lastUsed map[string]time.Time // last call of Gate for each address with heartbeats
	replaced int64
}

// New returns links that use the pool. The heartbeats end with ctx.
func New(ctx context.Context, pool *link.Pool) *Links {
	return &Links{ctx: ctx, pool: pool, lastUsed: make(map[string]time.Time)}
}

// Gate returns a client on the current connection to the gate at an address, and starts
// heartbeats to it.
func (l *Links) Gate(address string) (wire.GateClient, error) {
	conn, err := l.pool.Get(address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	_, watched := l.lastUsed[address]
	l.lastUsed[address] = time.Now()
	l.mu.Unlock()
	if !watched {
		go l.watch(address)
	}
	return wire.NewGateClient(conn), nil
}

// Replaced returns the number of connections that were replaced because heartbeats were
// not answered.
func (l *Links) Replaced() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replaced
}

// watch runs heartbeat streams to an address, one after another, until a stream ends while
// the address is idle.
func (l *Links) watch(address string) {
	for l.ctx.Err() == nil && !l.removeIfIdle(address) {
		conn, err := l.pool.Get(address)
		if err != nil {
			return
		}
		if l.heartbeat(conn) {
			l.pool.Replace(address, conn)
			l.mu.Lock()
			l.replaced++
			l.mu.Unlock()
			continue
		}
		wait.For(l.ctx, beatInterval)
	}
}

// removeIfIdle removes an address without recent calls and reports whether it did.
func (l *Links) removeIfIdle(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.lastUsed[address]) < idleTimeout {
		return false
	}
	delete(l.lastUsed, address)
	return true
}

// heartbeat runs a heartbeat stream until it fails. It returns true if the gate did not
// answer for heartbeatTimeout.
func (l *Links) heartbeat(conn grpc.ClientConnInterface) bool {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	stream, err := wire.NewGateClient(conn).Beat(ctx)
	if err != nil {
		return false
	}
	heard := make(chan struct{}, 1)
	failed := make(chan struct{})
	go receiveBeats(stream, heard, failed)
	go sendBeats(ctx, stream)
	silence := time.NewTimer(heartbeatTimeout)
	defer silence.Stop()
	for {
		select {
		case <-heard:
			silence.Reset(heartbeatTimeout)
		case <-failed:
			return false
		case <-ctx.Done():
			return false
		case <-silence.C:
			return true
		}
	}
}

func receiveBeats(stream wire.Gate_BeatClient, heard chan<- struct{}, failed chan<- struct{}) {
	defer close(failed)
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
		select {
		case heard <- struct{}{}:
		default:
		}
	}
}

func sendBeats(ctx context.Context, stream wire.Gate_BeatClient) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		if stream.Send(&wire.BeatMessage{Sequence: sequence}) != nil {
			return
		}
		wait.For(ctx, beatInterval)
	}
}
