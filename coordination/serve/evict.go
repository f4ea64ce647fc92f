package serve

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
)

const (
	// bufferWait is how long an answer waits for the budget. A longer wait delays the answers
	// that are being read; a shorter one fails them before a stalled caller is ended.
	bufferWait = 300 * time.Millisecond
	// bufferPollInterval is the pause between two tries to reserve bytes.
	bufferPollInterval = 20 * time.Millisecond
	// evictableAfter is how long a queue must have held something, and how long its caller
	// must need for the rest, to be ended when the budget is short. Callers that read take
	// something within a round trip.
	evictableAfter = time.Second
	// plainShareWait is how long a plain answer, which its endpoint has sent already, waits
	// for the share of plain answers: until a caller that began to read just before can be
	// ended.
	plainShareWait = evictableAfter + bufferWait
	// evictionWait is how long an eviction waits for the bytes of the caller that it ends. Its
	// write returns at once after ResponseWriter.Interrupt.
	evictionWait = 100 * time.Millisecond
)

// takeRate measures how fast a caller takes what is queued, over the last one or two
// windows of evictableAfter since the queue was last empty.
type takeRate struct {
	from         time.Time     // of the window
	taken        int           // bytes, in the window
	lengthBefore time.Duration // of the window before
	takenBefore  int           // in the window before
	takenAt      time.Time     // when the caller last took something
}

// start begins when something is queued for a caller that has taken everything.
func (r *takeRate) start(now time.Time) { *r = takeRate{from: now, takenAt: now} }

// record records that the caller has taken n bytes.
func (r *takeRate) record(now time.Time, n int) {
	r.advance(now)
	r.taken += n
	r.takenAt = now
}

func (r *takeRate) advance(now time.Time) {
	if length := now.Sub(r.from); length >= evictableAfter {
		r.lengthBefore, r.takenBefore = length, r.taken
		r.from, r.taken = now, 0
	}
}

// timeFor predicts how long the caller needs to take the given bytes: 0 while the queue is
// too young to tell, and callerStallTimeout at most, also if it has taken nothing for
// evictableAfter.
func (r *takeRate) timeFor(now time.Time, bytes int) time.Duration {
	r.advance(now)
	switch taken := r.taken + r.takenBefore; {
	case bytes == 0 || r.lengthBefore == 0:
		return 0
	case taken == 0 || now.Sub(r.takenAt) >= evictableAfter:
		return callerStallTimeout
	default:
		seconds := float64(bytes) / float64(taken) * (r.lengthBefore + now.Sub(r.from)).Seconds()
		return time.Duration(min(seconds, callerStallTimeout.Seconds()) * float64(time.Second))
	}
}

// slowest returns the queue whose caller would need longest for what it holds, and at least
// evictableAfter; of those that need as long, the one that holds the most. Callers that take
// nothing and callers that take little of much are thus the same. With plainOnly it
// considers plain answers only. It returns nil if there is none.
func (c *callers) slowest(plainOnly bool) *callerQueue {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found *callerQueue
	now, longest, most := time.Now(), evictableAfter, 0
	for q := range c.queues {
		needs, holds := q.timeLeft(now, plainOnly)
		if needs > longest || needs == longest && holds > most {
			found, longest, most = q, needs, holds
		}
	}
	return found
}

// timeLeft returns how long the caller would need for what is queued, and its bytes; zeros
// for a caller that has failed.
func (q *callerQueue) timeLeft(now time.Time, plainOnly bool) (needs time.Duration, holds int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil || plainOnly && q.plain == 0 {
		return 0, 0
	}
	return q.rate.timeFor(now, q.bytes), q.reserved
}

// awaitBytes reserves n bytes of the budget. While it is used up, it ends the slowest callers
// and waits for up to bufferWait.
func (s *Server) awaitBytes(ctx context.Context, n int) error {
	return s.awaitBuffers(ctx, bufferWait, false, func() error { return s.reserveBytes(n) })
}

// awaitPlainShare reserves n bytes of the share of plain answers in queues. While it is used
// up, it ends the slowest callers of plain answers and waits for up to plainShareWait.
func (s *Server) awaitPlainShare(ctx context.Context, n int) error {
	return s.awaitBuffers(ctx, plainShareWait, true, func() error { return s.callers.reservePlain(n, s.callersShare()) })
}

// reservePlain adds n bytes to those of plain answers, or fails if they would exceed the
// share.
func (c *callers) reservePlain(n int, share int64) error {
	if c.plain.Add(int64(n)) <= share {
		return nil
	}
	c.plain.Add(-int64(n))
	return errBufferFull
}

// awaitBuffers calls reserve until it succeeds or the time is over, and ends callers for it.
func (s *Server) awaitBuffers(ctx context.Context, limit time.Duration, plainOnly bool, reserve func() error) error {
	until := time.Now().Add(limit)
	for {
		err := reserve()
		if err == nil || !time.Now().Before(until) {
			return err
		}
		if s.evictFor(ctx, plainOnly, reserve) {
			return nil
		}
		if !wait.For(ctx, bufferPollInterval) {
			return ctx.Err()
		}
	}
}

// evictFor ends one caller and reports whether reserve then succeeded. Only one caller is
// ended at a time, and the next one only if the bytes of the one before were not enough.
func (s *Server) evictFor(ctx context.Context, plainOnly bool, reserve func() error) bool {
	if !s.callers.evicting.TryLock() {
		return false
	}
	defer s.callers.evicting.Unlock()
	if reserve() == nil {
		return true // the eviction before was enough
	}
	q := s.callers.slowest(plainOnly)
	if q == nil || !q.endCaller(errCallerEvicted) {
		return false
	}
	limit := time.NewTimer(evictionWait)
	defer limit.Stop()
	select {
	case <-q.done:
	case <-limit.C:
	case <-ctx.Done():
	}
	return reserve() == nil
}
