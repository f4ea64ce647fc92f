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

// segments holds unused segments of segmentBytes, which would else be garbage after each
// large body.
var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

// Source is a request body that arrives.
type Source struct {
	Reader          io.Reader
	SetReadDeadline func(time.Time) error // of the connection
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

// unfinished is a body that is being read. The budget's lock guards the fields that change.
type unfinished struct {
	budget       *Budget
	source       Source
	began        time.Time
	progressAt   time.Time // when progressBytes had arrived again, or when it began
	markedBytes  int       // received at progressAt
	chargedBytes int64
	evicted      atomic.Bool

	armedUntil    time.Time // read deadline that was set last
	receivedBytes int
	full          [][]byte // segments before current
	current       []byte
}

func (u *unfinished) isLarge() bool { return u.chargedBytes > largeBodyBytes }

// interrupt makes a read that waits return. It fails if the connection has ended.
func (u *unfinished) interrupt() { _ = u.source.SetReadDeadline(time.Unix(1, 0)) }

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

func (b *Budget) begin(source Source) *unfinished {
	now := time.Now()
	u := &unfinished{budget: b, source: source, began: now, progressAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxBodyBytes = int64(source.MaxBytes)
	b.bodies[u] = struct{}{}
	return u
}

// end removes a body and returns its bytes to the budget.
func (b *Budget) end(u *unfinished) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(u)
	b.release(u.chargedBytes)
}

// remove takes a body out of those that may be evicted.
func (b *Budget) remove(u *unfinished) {
	delete(b.bodies, u)
	if u.evicted.Load() {
		b.leavingBytes -= u.chargedBytes
	}
}

func (b *Budget) count(add func(*Counts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	add(&b.counts)
}

func (u *unfinished) readToEnd() error {
	for {
		if len(u.current) == cap(u.current) {
			if err := u.addSegment(); err != nil {
				return err
			}
		}
		if err := u.armDeadline(); err != nil {
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

// addSegment charges and adds a segment. None is larger than what remains of the limit and
// one byte more, with which the limit is exceeded.
func (u *unfinished) addSegment() error {
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
		u.current = segments.Get().(*[segmentBytes]byte)[:0]
	} else {
		u.current = make([]byte, 0, size)
	}
	return nil
}

// armDeadline sets the time until which the next bytes must arrive. An eviction sets a
// deadline too, after it has set evicted: so either this function sees evicted, or the
// deadline of the eviction is the later one.
func (u *unfinished) armDeadline() error {
	deadline := u.progressAt.Add(progressWindow)
	if !u.source.Deadline.IsZero() && u.source.Deadline.Before(deadline) {
		deadline = u.source.Deadline
	}
	if !deadline.Equal(u.armedUntil) {
		u.armedUntil = deadline
		_ = u.source.SetReadDeadline(deadline) // fails if the connection has ended, and then the read does too
	}
	if u.evicted.Load() {
		return errEvicted()
	}
	return nil
}

func (u *unfinished) recordProgress(n int) {
	u.receivedBytes += n
	if u.receivedBytes-u.markedBytes < progressBytes {
		return
	}
	u.markedBytes = u.receivedBytes
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.progressAt = time.Now()
}

// readError returns the error of a read that failed.
func (u *unfinished) readError(err error) error {
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
// the meantime is refused, as others rely on its memory.
func (u *unfinished) finish() (*Body, error) {
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

// joined returns the bytes of all segments. Large bodies are copied one at a time, so that
// limit leaves room for one copy only.
func (u *unfinished) joined() []byte {
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
func (u *unfinished) recycle() {
	for _, segment := range append(u.full, u.current) {
		if cap(segment) == segmentBytes {
			segments.Put((*[segmentBytes]byte)(segment[:segmentBytes]))
		}
	}
	u.full, u.current = nil, nil
}

func tooLarge(maxBytes int) error {
	return fault.New(fault.BodyTooLarge, "the body is larger than %d bytes", maxBytes)
}
