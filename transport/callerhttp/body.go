package callerhttp

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

const (
	// maxBodyBytes limits a request body, the answer in a bufferedSink and one event of a
	// streamed answer.
	maxBodyBytes         = 16 << 20
	initialBufferBytes   = 8 << 20 // most that a Content-Length allocates before the body arrives
	minBufferGrowthBytes = 256 << 10
	maxTotalBytes        = 64 << 20 // of all request bodies and buffered answers together
)

// bodyReadTimeout limits the time for which a slow sender occupies a part of the budget.
const bodyReadTimeout = 30 * time.Second

// BodyBudget limits the memory of all request bodies that a process holds at once and of
// all answers while they are buffered. The answer of a non-repeatable request counts only
// until AttemptRunner.Run returns it.
type BodyBudget struct {
	mu         sync.Mutex
	usedBytes  int64
	limitBytes int64
}

// NewBodyBudget returns the budget of a process, of maxTotalBytes.
func NewBodyBudget() *BodyBudget { return &BodyBudget{limitBytes: maxTotalBytes} }

// reservation is the part of the budget that one request occupies.
type reservation struct {
	budget        *BodyBudget
	reservedBytes int64
}

func (b *BodyBudget) newReservation() *reservation { return &reservation{budget: b} }

// grow reserves more bytes. It returns an Overloaded error when the budget is used up.
func (r *reservation) grow(bytes int) error {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.budget.usedBytes+int64(bytes) > r.budget.limitBytes {
		return fault.New(fault.Overloaded, "the memory for request bodies and answers is used up").WithRetryAfter(defaultRetryAfter)
	}
	r.budget.usedBytes += int64(bytes)
	r.reservedBytes += int64(bytes)
	return nil
}

func (r *reservation) shrink(bytes int) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.usedBytes -= int64(bytes)
	r.reservedBytes -= int64(bytes)
}

// close returns all bytes to the budget.
func (r *reservation) close() { r.shrink(int(r.reservedBytes)) }

// HeldBytes returns the bytes that are reserved now.
func (b *BodyBudget) HeldBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usedBytes
}

// readBody reads the request body, of at most maxBodyBytes, and reserves memory for it
// while it arrives. The buffer has one byte more than the Content-Length, so that the read
// that returns io.EOF does not need a larger one.
func readBody(w http.ResponseWriter, r *http.Request, memory *reservation) ([]byte, error) {
	if r.ContentLength > maxBodyBytes {
		return nil, bodyTooLarge()
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	reader := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	body := make([]byte, 0, min(max(0, r.ContentLength), initialBufferBytes)+1)
	if err := memory.grow(cap(body)); err != nil {
		return nil, err
	}
	for {
		if len(body) == cap(body) {
			grown, err := growBuffer(body, memory)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, bodyReadError(err)
		}
	}
}

// growBuffer returns a copy of body with at least half as much capacity again, and
// reserves the additional bytes.
func growBuffer(body []byte, memory *reservation) ([]byte, error) {
	growth := max(minBufferGrowthBytes, cap(body)/2)
	if err := memory.grow(growth); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), cap(body)+growth)
	copy(grown, body)
	return grown, nil
}

func bodyReadError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge()
	}
	return fault.Wrap(err, fault.InvalidRequest, "the body could not be read")
}

func bodyTooLarge() error {
	return fault.New(fault.BodyTooLarge, "the body is larger than %d bytes", maxBodyBytes)
}
