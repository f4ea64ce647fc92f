// Package gatelink keeps an entry's links to gates: one connection per gate,
// watched by a heartbeat stream and replaced when it goes silent, and the
// service that takes the gates' reports.
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
	beatEvery   = 250 * time.Millisecond
	silentAfter = time.Second
	idleAfter   = time.Minute // without calls, a gate that fails is watched no more
)

// Links gives clients of gates.
type Links struct {
	ctx  context.Context
	pool *link.Pool

	mu       sync.Mutex
	used     map[string]time.Time // last call of each watched address
	replaced int64
}

// New returns links over the pool. Watching ends with ctx.
func New(ctx context.Context, pool *link.Pool) *Links {
	return &Links{ctx: ctx, pool: pool, used: make(map[string]time.Time)}
}

// Gate returns a client on the current connection to an address.
func (l *Links) Gate(address string) (wire.GateClient, error) {
	conn, err := l.pool.Get(address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	_, watched := l.used[address]
	l.used[address] = time.Now()
	l.mu.Unlock()
	if !watched {
		go l.watch(address)
	}
	return wire.NewGateClient(conn), nil
}

// Replaced returns how many connections were replaced because of silence.
func (l *Links) Replaced() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replaced
}

func (l *Links) watch(address string) {
	for l.ctx.Err() == nil && !l.idle(address) {
		conn, err := l.pool.Get(address)
		if err != nil {
			return
		}
		if l.beat(conn) {
			l.pool.Replace(address, conn)
			l.mu.Lock()
			l.replaced++
			l.mu.Unlock()
			continue
		}
		wait.For(l.ctx, beatEvery)
	}
}

func (l *Links) idle(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.used[address]) < idleAfter {
		return false
	}
	delete(l.used, address)
	return true
}

// beat runs a heartbeat stream until it fails. It reports whether the
// connection went silent.
func (l *Links) beat(conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	stream, err := wire.NewGateClient(conn).Beat(ctx)
	if err != nil {
		return false
	}
	heard := make(chan struct{}, 1)
	failed := make(chan struct{})
	go listen(stream, heard, failed)
	go speak(ctx, stream)
	silence := time.NewTimer(silentAfter)
	defer silence.Stop()
	for {
		select {
		case <-heard:
			silence.Reset(silentAfter)
		case <-failed:
			return false
		case <-ctx.Done():
			return false
		case <-silence.C:
			return true
		}
	}
}

func listen(stream wire.Gate_BeatClient, heard chan<- struct{}, failed chan<- struct{}) {
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

func speak(ctx context.Context, stream wire.Gate_BeatClient) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		if stream.Send(&wire.BeatMessage{Sequence: sequence}) != nil {
			return
		}
		wait.For(ctx, beatEvery)
	}
}
