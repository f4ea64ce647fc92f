// Package gatereport sends the reports of a gate to the entries, which choose endpoints by
// them, and to the control replicas, which show them to operators.
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
	entryInterval      = 250 * time.Millisecond // short, as entries choose endpoints by the reports
	controlInterval    = time.Second
	maxSilentIntervals = 4                      // without an acknowledgement, before the connection is replaced
	retryDelay         = 100 * time.Millisecond // before the next try to open a stream
	wakeCapacity       = 1                      // one pending wake-up is enough: it causes a report of the latest state
)

// target is a process that receives reports.
type target struct {
	address  string
	interval time.Duration
	wake     chan struct{}
}

// silenceTimeout returns the time without an acknowledgement after which the connection is
// replaced.
func (t target) silenceTimeout() time.Duration { return maxSilentIntervals * t.interval }

// Sender maintains a stream of reports to each process.
type Sender struct {
	gate    *gate.Gate
	pool    *link.Pool
	targets []target
}

// NewSender returns a sender to the entries and the control replicas at the addresses. A
// process that is both gets one stream, with the interval of an entry.
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

// Run sends reports at each target's interval, and at once when the gate has an urgent
// one, until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	for _, t := range s.targets {
		go s.maintainStream(ctx, t)
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

// maintainStream opens a stream to a process again whenever it fails. It waits until the
// endpoint has announced itself, as a report names the endpoint.
func (s *Sender) maintainStream(ctx context.Context, t target) {
	for ctx.Err() == nil {
		if s.gate.EndpointName() == "" {
			wait.For(ctx, retryDelay)
			continue
		}
		conn, err := s.pool.Get(t.address)
		if err == nil && s.sendUntilFailure(ctx, conn, t) {
			s.pool.Replace(t.address, conn)
		}
		wait.For(ctx, retryDelay)
	}
}

// sendUntilFailure sends reports on one stream until it fails. It returns true if the
// process has acknowledged none for the target's silenceTimeout. A timer cancels the stream
// if opening it takes longer than that; it is reset while reports are acknowledged.
func (s *Sender) sendUntilFailure(ctx context.Context, conn grpc.ClientConnInterface, t target) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var heard atomic.Int64
	opened := time.Now()
	silent := func() bool { return time.Since(opened)-time.Duration(heard.Load()) > t.silenceTimeout() }
	watch := time.AfterFunc(t.silenceTimeout(), cancel) // opening the stream may block
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
			watch.Reset(t.silenceTimeout())
		}
	}
}

// receiveAcks stores the time of the latest acknowledgement in heard, as a duration since
// opened.
func receiveAcks(stream wire.Announce_ReportsClient, opened time.Time, heard *atomic.Int64, cancel func()) {
	defer cancel()
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
		heard.Store(int64(time.Since(opened)))
	}
}

// sendReports sends a report at each interval and at each wake-up. Each report has the
// cache events since the previous one. The gate has no report before its endpoint has
// announced itself.
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
