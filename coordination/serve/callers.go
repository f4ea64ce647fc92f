package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

const (
	// callersShareDivisor divides the budget: from that length of the queues of all callers
	// together on, only endpoints of callers with an empty queue are read. The rest is left
	// for the answers of callers that read.
	callersShareDivisor = 2
)

// callers are the queues of all callers whose answer has begun.
type callers struct {
	queued   atomic.Int64 // bytes in all queues
	plain    atomic.Int64 // of plain answers in them
	evicting sync.Mutex   // held while a caller is being ended for want of memory

	mu     sync.Mutex
	queues map[*callerQueue]struct{}
}

func (c *callers) add(q *callerQueue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queues == nil {
		c.queues = make(map[*callerQueue]struct{})
	}
	c.queues[q] = struct{}{}
}

func (c *callers) remove(q *callerQueue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.queues, q)
}

// reserveBytes reserves n bytes of the budget that all buffers share.
func (s *Server) reserveBytes(n int) error { return reserve(&s.bufferedBytes, n) }

// releaseBytes releases bytes that reserveBytes or a reader has reserved.
func (s *Server) releaseBytes(n int) { s.bufferedBytes.Add(-int64(n)) }

// callersShare returns the part of the budget that the queues of callers may take.
func (s *Server) callersShare() int64 { return s.bufferedBytes.capacity() / callersShareDivisor }

// callersAreFull reports whether the queues of all callers together use up their share of
// the budget.
func (s *Server) callersAreFull() bool {
	return s.callers.queued.Load() >= s.callersShare()
}

// measureCallers counts an event of the queues of callers.
func (s *Server) measureCallers(class string) {
	s.metrics.Count("serve_slow_callers", metrics.Labels{Class: class})
}

// writeCallerMetrics writes the bytes that are buffered for callers.
func (s *Server) writeCallerMetrics(w io.Writer) {
	fmt.Fprintf(w, "serve_caller_queue_bytes %d\nserve_buffered_bytes %d\n", s.callers.queued.Load(), s.bufferedBytes.Load())
}

// pacedBody reads a response no faster than the caller takes the answer and the budget
// allows.
type pacedBody struct {
	ctx   context.Context
	body  io.Reader
	queue *callerQueue
}

// Read implements io.Reader.
func (p *pacedBody) Read(buffer []byte) (int, error) {
	if err := p.queue.awaitRoom(p.ctx); err != nil {
		return 0, err
	}
	// What the reader keeps, it reserves itself.
	if err := p.queue.server.awaitBytes(p.ctx, len(buffer)); err != nil {
		return 0, err
	}
	p.queue.server.releaseBytes(len(buffer))
	return p.body.Read(buffer)
}

// errAbortedUnread marks a response that its endpoint aborted after the caller's slowness
// had left it unread.
var errAbortedUnread = errors.New("the endpoint aborted a response that was left unread for a slow caller")

// awaitCaller returns nil when a stream whose endpoint aborted it unread can go on: it may
// be resumed, and the caller has taken what was queued.
func (r *run) awaitCaller(ctx context.Context, aborted error) error {
	if !r.mayRunAgain() {
		return aborted
	}
	began := time.Now()
	if err := r.out.awaitEmpty(ctx); err != nil {
		return err
	}
	r.lastEventAt = time.Now() // what the caller did not read is no pause of the answer
	r.server.measureCallers("continued")
	r.server.logger.Info().Str("request", r.request.ID).Str("last_event", r.lastEventID).Dur("waited", time.Since(began)).
		Int("sends", r.attempts).Msg("A stream goes on whose endpoint aborted it as its caller read slowly.")
	return nil
}

// settle returns when the caller has taken all of the answer that was queued, or is ended
// because it has not by the end of ctx. err is the result of the attempts.
func (r *run) settle(ctx context.Context, err error) error {
	if !r.headerWritten.Load() {
		return err
	}
	r.out.closeInput()
	select {
	case <-r.out.done:
	case <-ctx.Done():
		if r.out.holdsBytes() && r.out.endCaller(errCallerSlow) && isContextError(err) {
			err = nil // the caller had not taken what the endpoint was in time with
		}
		<-r.out.done
	}
	failure := r.out.failure()
	switch {
	case errors.Is(err, errAbortedUnread):
		failure = err
	case failure == nil && isContextError(err) && errors.Is(ctx.Err(), context.Canceled):
		return fault.Wrap(err, fault.Cancelled, "the caller closed the connection")
	case failure == nil, err != nil && !errors.Is(err, errCaller):
		return err
	}
	r.server.measureCallers("ended")
	r.server.logger.Warn().Str("request", r.request.ID).Int("events", r.eventsSent).Str("last_event", r.lastEventID).
		Err(failure).Msg("A caller was ended that did not take its answer.")
	return fault.Wrap(failure, fault.Cancelled, "the caller did not take the whole answer")
}

// isContextError reports whether an error says only that a context has ended.
func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
