package bodybudget

import (
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

const (
	// A body must bring progressBytes, or its end, within each progressWindow. Ordinary
	// clients send a whole body within a second.
	progressBytes  = 16 << 10
	progressWindow = 3 * time.Second
	// The buffer of a body is a list of segments, the first of firstSegmentBytes and each
	// following one twice as large, up to segmentBytes.
	firstSegmentBytes = 4 << 10
	segmentBytes      = 64 << 10
)

// segmentPool reuses segments of segmentBytes, which would otherwise be garbage after each
// large body.
var segmentPool = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

// Source is a request body to read, and its limits.
type Source struct {
	Reader          io.Reader
	SetReadDeadline func(time.Time) error // sets the read deadline of the connection
	AnnouncedBytes  int64                 // Content-Length, negative if unknown
	MaxBytes        int
	Deadline        time.Time // for the whole body; zero for none
}

// Body is a body that has arrived. Its bytes are charged until Close.
type Body struct {
	Bytes  []byte
	budget *Budget
	once   sync.Once
}

// Close returns the bytes to the budget.
func (b *Body) Close() { b.once.Do(func() { b.budget.Release(len(b.Bytes)) }) }

// unfinishedBody is a body that is being read. The budget's lock guards progressAt and
// chargedBytes, which only the reader changes; the fields from setDeadline on are the reader's.
type unfinishedBody struct {
	budget          *Budget
	source          Source
	began           time.Time
	progressAt      time.Time // when progressBytes more had arrived, or when the body began
	bytesAtProgress int       // received until progressAt; used by the reader only
	chargedBytes    int64
	evicted         atomic.Bool

	setDeadline   time.Time // read deadline that was set last
	receivedBytes int
	full          [][]byte // segments before current
	current       []byte
}

func (u *unfinishedBody) isLarge() bool { return u.chargedBytes > largeBodyBytes }

// interrupt makes a read that waits return.
func (u *unfinishedBody) interrupt() {
	_ = u.source.SetReadDeadline(time.Unix(1, 0)) // fails if the connection has ended
}

// Read reads a body to its end. The errors are of the kinds BodyTooLarge, BodyTimeout,
// Overloaded and InvalidRequest; after one of them the connection can't be used further, and
// its read deadline may have passed.
func (b *Budget) Read(source Source) (*Body, error) {
	if source.AnnouncedBytes > int64(source.MaxBytes) {
		b.count(func(c *Counts) { c.TooLarge++ })
		return nil, tooLarge(source.MaxBytes)
	}
	u := b.begin(source)
	if err := u.readToEnd(); err != nil {
		b.end(u)
		u.recycle()
		return nil, err
	}
	return u.finish()
}

func (b *Budget) begin(source Source) *unfinishedBody {
	now := time.Now()
	u := &unfinishedBody{budget: b, source: source, began: now, progressAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxBodyBytes = int64(source.MaxBytes)
	b.bodies[u] = struct{}{}
	return u
}

// end removes a body and returns its bytes to the budget.
func (b *Budget) end(u *unfinishedBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(u)
	b.release(u.chargedBytes)
}

// remove removes a body from those that may be evicted. The caller holds the lock.
func (b *Budget) remove(u *unfinishedBody) {
	delete(b.bodies, u)
	if u.evicted.Load() {
		b.evictedBytes -= u.chargedBytes
	}
}

func (b *Budget) count(add func(*Counts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	add(&b.counts)
}

func (u *unfinishedBody) readToEnd() error {
	for {
		if len(u.current) == cap(u.current) {
			if err := u.addSegment(); err != nil {
				return err
			}
		}
		if err := u.setReadDeadline(); err != nil {
			return err
		}
		n, err := u.source.Reader.Read(u.current[len(u.current):cap(u.current)])
		u.current = u.current[:len(u.current)+n]
		u.recordProgress(n)
		switch {
		case u.receivedBytes > u.source.MaxBytes:
			u.budget.count(func(c *Counts) { c.TooLarge++ })
			return tooLarge(u.source.MaxBytes)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return u.readError(err)
		}
	}
}

// addSegment charges and adds a segment. It holds at most one byte more than the body may
// still bring, so that a body over the limit is noticed.
func (u *unfinishedBody) addSegment() error {
	size := min(max(firstSegmentBytes, 2*cap(u.current)), segmentBytes, u.source.MaxBytes+1-u.receivedBytes)
	u.budget.mu.Lock()
	err := u.budget.charge(u, int64(size))
	u.budget.mu.Unlock()
	if err != nil {
		return err
	}
	if u.current != nil {
		u.full = append(u.full, u.current)
	}
	if size == segmentBytes {
		u.current = segmentPool.Get().(*[segmentBytes]byte)[:0]
	} else {
		u.current = make([]byte, 0, size)
	}
	return nil
}

// setReadDeadline sets the time until which the next bytes must arrive. An eviction first sets
// evicted and then a deadline, and this function sets the deadline first and then reads evicted.
// So either it sees the eviction, or the deadline of the eviction is set last.
func (u *unfinishedBody) setReadDeadline() error {
	deadline := u.progressAt.Add(progressWindow)
	if !u.source.Deadline.IsZero() && u.source.Deadline.Before(deadline) {
		deadline = u.source.Deadline
	}
	if !deadline.Equal(u.setDeadline) {
		u.setDeadline = deadline
		_ = u.source.SetReadDeadline(deadline) // fails if the connection has ended, and then the read does too
	}
	if u.evicted.Load() {
		return errEvicted()
	}
	return nil
}

func (u *unfinishedBody) recordProgress(n int) {
	u.receivedBytes += n
	if u.receivedBytes-u.bytesAtProgress < progressBytes {
		return
	}
	u.bytesAtProgress = u.receivedBytes
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.progressAt = time.Now()
}

// readError returns the error of a read that failed.
func (u *unfinishedBody) readError(err error) error {
	switch {
	case u.evicted.Load():
		return errEvicted()
	case errors.Is(err, os.ErrDeadlineExceeded):
		u.budget.count(func(c *Counts) { c.TimedOut++ })
		return fault.Wrap(err, fault.BodyTimeout, "the body arrived too slowly: %d bytes in %s", u.receivedBytes, time.Since(u.began).Round(time.Millisecond))
	}
	return fault.Wrap(err, fault.InvalidRequest, "the body is incomplete")
}

// finish makes one buffer of the segments and ends the reading. A body that was evicted in
// the meantime is refused, as other requests wait for its memory.
func (u *unfinishedBody) finish() (*Body, error) {
	b := u.budget
	b.mu.Lock()
	b.remove(u)
	if u.evicted.Load() {
		b.release(u.chargedBytes)
		b.mu.Unlock()
		u.recycle()
		return nil, errEvicted()
	}
	b.mu.Unlock()
	body := &Body{Bytes: u.joined(), budget: b}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(u.chargedBytes - int64(len(body.Bytes)))
	return body, nil
}

// joined returns the bytes of all segments in one slice. Large bodies are copied one at a time,
// as the budget leaves room for one copy only.
func (u *unfinishedBody) joined() []byte {
	if u.receivedBytes > largeBodyBytes {
		u.budget.joining.Lock()
		defer u.budget.joining.Unlock()
	}
	text := make([]byte, 0, u.receivedBytes)
	for _, segment := range append(u.full, u.current) {
		text = append(text, segment...)
	}
	u.recycle()
	return text
}

// recycle makes the segments of a body available to others.
func (u *unfinishedBody) recycle() {
	for _, segment := range append(u.full, u.current) {
		if cap(segment) == segmentBytes {
			segmentPool.Put((*[segmentBytes]byte)(segment[:segmentBytes]))
		}
	}
	u.full, u.current = nil, nil
}

func tooLarge(maxBytes int) error {
	return fault.New(fault.BodyTooLarge, "the body is larger than %d bytes", maxBytes)
}
