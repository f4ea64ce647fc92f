// Package gatereport sends a gate's reports to the entries and to control.
package gatereport

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
)

const (
	interval     = 250 * time.Millisecond
	silentAfter  = time.Second // without an acknowledgement the connection is replaced
	reopenPause  = 100 * time.Millisecond
	wakeCapacity = 1
)

// Sender keeps one stream of reports to each address.
type Sender struct {
	gate      *gate.Gate
	pool      *link.Pool
	addresses []string
	wake      []chan struct{}
}

// NewSender returns a sender to the addresses.
func NewSender(g *gate.Gate, pool *link.Pool, addresses []string) *Sender {
	s := &Sender{gate: g, pool: pool, addresses: addresses}
	for range addresses {
		s.wake = append(s.wake, make(chan struct{}, wakeCapacity))
	}
	return s
}

// Run sends reports until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	for i, address := range s.addresses {
		go s.keep(ctx, address, s.wake[i])
	}
	for {
		select {
		case <-s.gate.Changed():
			s.wakeAll()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Sender) wakeAll() {
	for _, wake := range s.wake {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// keep opens a stream to an address again and again.
func (s *Sender) keep(ctx context.Context, address string, wake <-chan struct{}) {
	for ctx.Err() == nil {
		if s.gate.Endpoint() == "" {
			pause(ctx, reopenPause)
			continue
		}
		conn, err := s.pool.Get(address)
		if err == nil && s.stream(ctx, conn, wake) {
			s.pool.Replace(address, conn)
		}
		pause(ctx, reopenPause)
	}
}

// stream sends until the stream fails; true when it went silent.
func (s *Sender) stream(ctx context.Context, conn *grpc.ClientConn, wake <-chan struct{}) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var heard atomic.Int64
	opened := time.Now()
	silent := func() bool { return time.Since(opened)-time.Duration(heard.Load()) > silentAfter }
	watch := time.AfterFunc(silentAfter, cancel) // opening a stream may block too
	defer watch.Stop()
	stream, err := wire.NewAnnounceClient(conn).Reports(ctx)
	if err != nil {
		return silent()
	}
	go receiveAcks(stream, opened, &heard, cancel)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		s.sendReports(ctx, stream, wake)
	}()
	for {
		select {
		case <-sent:
			return silent()
		case <-time.After(interval):
			if silent() {
				return true
			}
			watch.Reset(silentAfter)
		}
	}
}

func receiveAcks(stream wire.Announce_ReportsClient, opened time.Time, heard *atomic.Int64, cancel func()) {
	defer cancel()
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
		heard.Store(int64(time.Since(opened)))
	}
}

func (s *Sender) sendReports(ctx context.Context, stream wire.Announce_ReportsClient, wake <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var cacheAfter uint64
	for {
		if report := s.gate.Report(cacheAfter); report != nil {
			if stream.Send(report) != nil {
				return
			}
			cacheAfter = report.CacheSequence
		}
		select {
		case <-ticker.C:
		case <-wake:
		case <-ctx.Done():
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
