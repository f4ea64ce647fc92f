package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"
)

const (
	// maxQueuedBytes is the length of a queue from which its endpoint is not read further.
	// It holds the whole of most answers, so that a slow caller seldom holds a slot of an
	// endpoint. A queue exceeds it by one event at most.
	maxQueuedBytes = 64 << 10
	// minWriteBytes is the most that one write to a slow caller takes. A caller that takes less
	// than one write in callerStallTimeout is ended.
	minWriteBytes = 4 << 10
	// maxWriteBytes is the most that one write takes. Writes double while they return within
	// promptWrite, as each costs a flush. With more, a caller that becomes slow must take much
	// of one write in callerStallTimeout: of 32 KiB, 3.3 KB/s.
	maxWriteBytes = 32 << 10
	// promptWrite is the longest time of a write that counts as returning at once. It is more
	// than a copy to the kernel takes, so that a busy host does not make the pieces small.
	promptWrite = 5 * time.Millisecond
	// callerStallTimeout is how long a caller may take nothing. It exceeds the some seconds
	// after which endpoints abort an unread response, so that a caller that reads on after
	// such an abort gets the rest of a stream that can be resumed.
	callerStallTimeout = 10 * time.Second
	// unreadAbortMin and unreadAbortWindow tell when a response that breaks off was aborted
	// because it was unread: it was left unread for that long in the attempt, and until that
	// long ago, as the bytes that had arrived are read first.
	unreadAbortMin    = time.Second
	unreadAbortWindow = 2 * time.Second
	// maxLoggedPanic and maxLoggedStack bound the log line of a panic, in bytes. The stack
	// begins with some frames of the runtime; the first ones of the writer follow.
	maxLoggedPanic = 200
	maxLoggedStack = 2 << 10
)

// The errors of callers. They say nothing about the endpoint.
var (
	errCallerPanicked = errors.New("writing the answer to the caller panicked")
	errCaller         = errors.New("the caller did not take the answer")
	errCallerStalled  = errors.New("the caller has taken nothing for too long")
	errCallerEvicted  = errors.New("the buffers are full and the caller was the slowest")
	errCallerSlow     = errors.New("the caller had not taken all at the end of the request")
)

// chunk is an event, or a plain answer.
type chunk struct {
	rest []byte // to be written
	size int
}

// callerQueue holds what is to be written to one caller. Its goroutine, which start starts,
// is the only one that uses the writer until done is closed.
type callerQueue struct {
	server *Server
	writer ResponseWriter
	wake   chan struct{} // capacity 1: something has changed for the goroutine
	done   chan struct{} // closed when the goroutine has ended
	failed chan struct{} // closed when the caller takes nothing more

	mu          sync.Mutex
	chunks      []chunk
	bytes       int  // queued or being written
	reserved    int  // bytes of the budget: the whole of each chunk until its end is written
	inputClosed bool // nothing more is queued
	finished    bool // the goroutine writes nothing more
	err         error
	changed     chan struct{} // closed, and replaced, when bytes were taken or the caller has failed
	plain       int           // bytes of a plain answer
	rate        takeRate      // at which the caller takes
	unreadSince time.Time     // since when the endpoint is not read; zero while it is
	readAgainAt time.Time     // the end of the last time in which the endpoint was not read
	unread      time.Duration // of the latest attempt, in all
}

func newCallerQueue(s *Server, writer ResponseWriter) *callerQueue {
	return &callerQueue{
		server: s, writer: writer, wake: make(chan struct{}, 1), done: make(chan struct{}),
		failed: make(chan struct{}), changed: make(chan struct{}),
	}
}

// start starts the goroutine, which first writes the header.
func (q *callerQueue) start(status int, header http.Header, length int64) {
	q.server.callers.add(q)
	go func() {
		defer close(q.done)
		defer q.releaseRest()
		defer q.recoverPanic()
		q.writer.WriteHeader(status, header, length)
		q.writeAll()
	}()
}

// recoverPanic records a panic of the writer as a failure of the caller. net/http recovers
// panics only in the goroutine of its handler; in this one a panic would end the process.
func (q *callerQueue) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	stack := debug.Stack()
	q.server.logger.RateLimitedWarn("caller_panic").Str("cause", fmt.Sprintf("%.*v", maxLoggedPanic, cause)).
		Str("stack", string(stack[:min(len(stack), maxLoggedStack)])).Msg("Writing to a caller panicked.")
	q.fail(errCallerPanicked)
}

// writeAll writes what is queued until the queue is closed and empty or the caller fails.
func (q *callerQueue) writeAll() {
	stall := time.AfterFunc(callerStallTimeout, func() { q.endCaller(errCallerStalled) })
	defer stall.Stop()
	var joined []byte
	limit := minWriteBytes
	for {
		stall.Stop()
		piece, endedBytes, more := q.next(&joined, limit)
		if !more {
			return
		}
		if piece == nil {
			<-q.wake
			continue
		}
		stall.Reset(callerStallTimeout)
		began := time.Now()
		if err := q.writer.Write(piece); err != nil {
			q.fail(err)
			return
		}
		limit = nextLimit(limit, time.Since(began))
		q.take(len(piece), endedBytes)
	}
}

// nextLimit returns the most that the next write takes after one that took the given time.
func nextLimit(limit int, took time.Duration) int {
	if took > promptWrite {
		return minWriteBytes
	}
	return min(2*limit, maxWriteBytes)
}

// next returns the next piece to write, of limit bytes at most, nil while nothing is queued, and the size of the
// chunks that end in it. more is false when nothing is to be written any more. Short chunks
// are joined in *joined, so that one write takes them.
func (q *callerQueue) next(joined *[]byte, limit int) (piece []byte, endedBytes int, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.err != nil:
		return nil, 0, false
	case len(q.chunks) == 0:
		return nil, 0, !q.inputClosed
	case len(q.chunks) == 1 || len(q.chunks[0].rest) >= limit:
		first := &q.chunks[0]
		n := min(len(first.rest), limit)
		piece, first.rest = first.rest[:n], first.rest[n:]
		if len(first.rest) == 0 {
			endedBytes = q.dropFirst()
		}
		return piece, endedBytes, true
	}
	*joined = (*joined)[:0]
	for len(q.chunks) > 0 && len(*joined)+len(q.chunks[0].rest) <= limit {
		*joined = append(*joined, q.chunks[0].rest...)
		endedBytes += q.dropFirst()
	}
	return *joined, endedBytes, true
}

// dropFirst drops the first chunk, which the list would keep in memory otherwise, and
// returns its size.
func (q *callerQueue) dropFirst() (size int) {
	size = q.chunks[0].size
	q.chunks[0] = chunk{}
	if q.chunks = q.chunks[1:]; len(q.chunks) == 0 {
		q.chunks = nil
	}
	return size
}

// push queues a chunk, whose bytes the sender has reserved. If the caller has failed it
// releases them and returns the error.
func (q *callerQueue) push(text []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		q.server.releaseBytes(len(text))
		return q.err
	}
	if len(text) == 0 {
		return nil
	}
	if q.bytes == 0 {
		q.rate.start(time.Now())
	}
	q.chunks = append(q.chunks, chunk{rest: text, size: len(text)})
	q.bytes += len(text)
	q.reserved += len(text)
	q.server.callers.queued.Add(int64(len(text)))
	q.notify()
	return nil
}

// holdPlain records, before start, that a plain answer follows whose share was reserved. The
// share is released when the goroutine ends.
func (q *callerQueue) holdPlain(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.plain = n
}

// take records that the caller has taken n bytes, in which chunks of endedBytes end.
func (q *callerQueue) take(n, endedBytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bytes -= n
	q.release(endedBytes)
	q.rate.record(time.Now(), n)
	q.announce()
}

// release releases n bytes of the budget. The caller holds the lock.
func (q *callerQueue) release(n int) {
	q.reserved -= n
	q.server.callers.queued.Add(-int64(n))
	q.server.releaseBytes(n)
}

// announce wakes those who wait for room. The caller holds the lock.
func (q *callerQueue) announce() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// notify wakes the goroutine.
func (q *callerQueue) notify() {
	select {
	case q.wake <- struct{}{}:
	default: // it is about to look
	}
}

// closeInput says that nothing more is queued.
func (q *callerQueue) closeInput() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inputClosed = true
	q.notify()
}

// fail records the first error of the caller, after which nothing more is written. It
// returns false if there was one before or all has been written.
func (q *callerQueue) fail(cause error) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil || q.finished {
		return false
	}
	q.err = errors.Join(errCaller, cause)
	close(q.failed)
	q.announce()
	q.notify()
	return true
}

// endCaller ends the caller for a reason of this entry, also in the middle of a write. It returns
// what fail returns.
func (q *callerQueue) endCaller(cause error) bool {
	ended := q.fail(cause)
	if ended {
		q.writer.Interrupt()
	}
	return ended
}

// releaseRest releases what is left when the goroutine ends.
func (q *callerQueue) releaseRest() {
	q.server.callers.remove(q)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.finished = true
	q.release(q.reserved)
	q.server.callers.plain.Add(-int64(q.plain))
	q.chunks, q.bytes, q.plain = nil, 0, 0
}

// failure returns the error of the caller, nil if there is none.
func (q *callerQueue) failure() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.err
}

// hasRoom reports whether the endpoint may be read. The caller holds the lock.
func (q *callerQueue) hasRoom() bool {
	return q.bytes == 0 || q.bytes < maxQueuedBytes && !q.server.callersAreFull()
}

// awaitRoom waits until the endpoint may be read.
func (q *callerQueue) awaitRoom(ctx context.Context) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err == nil && !q.hasRoom() {
		q.server.measureCallers("queue_full")
		defer q.pauseReading()()
	}
	return q.await(ctx, q.hasRoom)
}

// pauseReading marks the endpoint as not being read until the returned function is called.
// The caller of both holds the lock.
func (q *callerQueue) pauseReading() (resume func()) {
	q.unreadSince = time.Now()
	return func() {
		q.readAgainAt = time.Now()
		q.unread += q.readAgainAt.Sub(q.unreadSince)
		q.unreadSince = time.Time{}
	}
}

// awaitEmpty waits until the caller has taken everything.
func (q *callerQueue) awaitEmpty(ctx context.Context) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.await(ctx, func() bool { return q.bytes == 0 })
}

// await waits for a condition on what is queued. The caller holds the lock, which is
// released meanwhile.
func (q *callerQueue) await(ctx context.Context, holds func() bool) error {
	for q.err == nil && !holds() {
		changed := q.changed
		q.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		q.mu.Lock()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return q.err
}

// readSince returns since when the endpoint is read as fast as it sends: now while it is
// not read, and the zero time if it always was.
func (q *callerQueue) readSince() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.unreadSince.IsZero() {
		return time.Now()
	}
	return q.readAgainAt
}

// beginAttempt resets what wasUnread goes by.
func (q *callerQueue) beginAttempt() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unread = 0
}

// wasUnread reports whether an endpoint that breaks off its response now may have done so
// because the response was left unread.
func (q *callerQueue) wasUnread() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unread >= unreadAbortMin && time.Since(q.readAgainAt) <= unreadAbortWindow
}

// holdsBytes reports whether the caller has yet to take something.
func (q *callerQueue) holdsBytes() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes > 0
}
