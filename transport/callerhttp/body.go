package callerhttp

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/transport/bodybudget"
)

const (
	// maxBodyBytes limits a request body, the answer in a bufferedSink and one event of a
	// streamed answer.
	maxBodyBytes  = 16 << 20
	maxTotalBytes = bodybudget.DefaultBytes // of all request bodies and buffered answers together
)

// bodyReadTimeout limits the time for which a slow sender occupies a part of the budget.
const bodyReadTimeout = 30 * time.Second

// BodyBudget limits the memory that the request bodies and buffered answers of a process take
// together. The answer of a non-repeatable request counts only until AttemptRunner.Run returns
// it.
type BodyBudget struct{ *bodybudget.Budget }

// NewBodyBudget returns the budget of a process, of maxTotalBytes.
func NewBodyBudget() *BodyBudget { return &BodyBudget{bodybudget.New(maxTotalBytes)} }

// reservation is the part of the budget that one request occupies.
type reservation struct {
	budget        *BodyBudget
	reservedBytes atomic.Int64
	body          *bodybudget.Body // nil before it has arrived
}

func (b *BodyBudget) newReservation() *reservation { return &reservation{budget: b} }

// grow reserves more bytes. It returns an Overloaded error when the budget is used up.
func (r *reservation) grow(bytes int) error {
	if err := r.budget.Reserve(bytes); err != nil {
		return err
	}
	r.reservedBytes.Add(int64(bytes))
	return nil
}

func (r *reservation) shrink(bytes int) {
	r.budget.Release(bytes)
	r.reservedBytes.Add(-int64(bytes))
}

// close returns all bytes to the budget. Nothing may be reserved after it.
func (r *reservation) close() {
	r.shrink(int(r.reservedBytes.Load()))
	if r.body != nil {
		r.body.Close()
	}
}

// readBody reads the request body, of at most maxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request, memory *reservation) ([]byte, error) {
	body, err := memory.budget.ReadRequest(w, r, maxBodyBytes, time.Now().Add(bodyReadTimeout))
	if err != nil {
		return nil, err
	}
	memory.body = body
	return body.Bytes, nil
}
