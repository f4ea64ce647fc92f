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
	maxBodyBytes   = 16 << 20
	firstStep      = 8 << 20 // held at once for a body of announced length
	readStep       = 256 << 10
	maxBodiesBytes = 64 << 20 // of all requests and whole answers together
)

// bodyTimeout bounds the time for which a slow sender holds a part of the bound.
const bodyTimeout = 30 * time.Second

// BodyBudget bounds the bytes of bodies that are held at once.
type BodyBudget struct {
	mu   sync.Mutex
	held int64
	most int64
}

// NewBodyBudget returns the bound of a process.
func NewBodyBudget() *BodyBudget { return &BodyBudget{most: maxBodiesBytes} }

// reservation is what one request holds of the bound.
type reservation struct {
	bodies *BodyBudget
	bytes  int64
}

func (b *BodyBudget) open() *reservation { return &reservation{bodies: b} }

// grow takes more bytes, or fails with Overloaded.
func (r *reservation) grow(bytes int) error {
	r.bodies.mu.Lock()
	defer r.bodies.mu.Unlock()
	if r.bodies.held+int64(bytes) > r.bodies.most {
		return fault.New(fault.Overloaded, "too many large requests are held").WithRetryAfter(leastRetry)
	}
	r.bodies.held += int64(bytes)
	r.bytes += int64(bytes)
	return nil
}

func (r *reservation) shrink(bytes int) {
	r.bodies.mu.Lock()
	defer r.bodies.mu.Unlock()
	r.bodies.held -= int64(bytes)
	r.bytes -= int64(bytes)
}

func (r *reservation) close() { r.shrink(int(r.bytes)) }

// HeldBytes returns the bytes held now.
func (b *BodyBudget) HeldBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// readBody reads a body within the bounds.
func readBody(w http.ResponseWriter, r *http.Request, hold *reservation) ([]byte, error) {
	if r.ContentLength > maxBodyBytes {
		return nil, bodyTooLarge()
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	reader := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	body := make([]byte, 0, min(max(0, r.ContentLength), firstStep)+1)
	if err := hold.grow(cap(body)); err != nil {
		return nil, err
	}
	for {
		if len(body) == cap(body) {
			grown, err := extend(body, hold)
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
			return nil, readFailure(err)
		}
	}
}

func extend(body []byte, hold *reservation) ([]byte, error) {
	more := max(readStep, cap(body)/2)
	if err := hold.grow(more); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), cap(body)+more)
	copy(grown, body)
	return grown, nil
}

func readFailure(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge()
	}
	return fault.Wrap(err, fault.InvalidRequest, "the body could not be read")
}

func bodyTooLarge() error {
	return fault.New(fault.BodyTooLarge, "a body may have %d bytes", maxBodyBytes)
}
