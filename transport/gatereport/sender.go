// Package gatereport sends a gate's reports to the entries and to control.
package gatereport

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"google.golang.org/grpc"
)

const (
	entryInterval   = 250 * time.Millisecond // entries route by the reports
	controlInterval = time.Second            // control shows them to operators
	silentIntervals = 4                      // without an acknowledgement the connection is replaced
	reopenPause     = 100 * time.Millisecond
	wakeCapacity    = 1
)

// target is a process that takes reports.
type target struct {
	address  string
	interval time.Duration
	wake     chan struct{}
}

// silentAfter is how long an acknowledgement may be missing.
func (t target) silentAfter() time.Duration { return silentIntervals * t.interval }

// Sender keeps one stream of reports to each process.
type Sender struct {
	gate    *gate.Gate
	pool    *link.Pool
	targets []target
}

// NewSender returns a sender to the entries and to control. A process that is
// both gets one stream.
func NewSender(g *gate.Gate, pool *link.Pool, entries, control []string) *Sender {
	s := &Sender{gate: g, pool: pool}
	for _, address := range entries {
		s.add(address, entryInterval)
	}
	for _, address := range control {
		s.add(address, controlInterval)
	}
	return s
}

func (s *Sender) add(address string, interval time.Duration) {
	known := func(t target) bool { return t.address == address }
	if slices.ContainsFunc(s.targets, known) {
		return
	}
	s.targets = append(s.targets, target{address: address, interval: interval, wake: make(chan struct{}, wakeCapacity)})
}

// Run sends reports until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	for _, t := range s.targets {
		go s.keep(ctx, t)
	}
	for {
		select {
		case <-s.gate.ReportDue():
			s.wakeAll()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Sender) wakeAll() {
	for _, t := range s.targets {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// keep opens a stream to a process again and again.
func (s *Sender) keep(ctx context.Context, t target) {
	for ctx.Err() == nil {
		if s.gate.EndpointName() == "" {
			wait.For(ctx, reopenPause)
			continue
		}
		conn, err := s.pool.Get(t.address)
		if err == nil && s.stream(ctx, conn, t) {
			s.pool.Replace(t.address, conn)
		}
		wait.For(ctx, reopenPause)
	}
}

// stream sends until the stream fails; true when it went silent.
func (s *Sender) stream(ctx context.Context, conn *grpc.ClientConn, t target) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var heard atomic.Int64
	opened := time.Now()
	silent := func() bool { return time.Since(opened)-time.Duration(heard.Load()) > t.silentAfter() }
	watch := time.AfterFunc(t.silentAfter(), cancel) // opening a stream may block too
	defer watch.Stop()
	stream, err := wire.NewAnnounceClient(conn).Reports(ctx)
	if err != nil {
		return silent()
	}
	go receiveAcks(stream, opened, &heard, cancel)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		s.sendReports(ctx, stream, t)
	}()
	for {
		select {
		case <-sent:
			return silent()
		case <-time.After(t.interval):
			if silent() {
				return true
			}
			watch.Reset(t.silentAfter())
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

func (s *Sender) sendReports(ctx context.Context, stream wire.Announce_ReportsClient, t target) {
	ticker := time.NewTicker(t.interval)
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
		case <-t.wake:
			ticker.Reset(t.interval)
		case <-ctx.Done():
			return
		}
	}
}
