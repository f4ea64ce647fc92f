package serve

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

const (
	// maxPlainBytes bounds a plain answer, which is held whole before it is
	// passed on.
	maxPlainBytes = 4 << 20
	// maxHeldBytes bounds all plain answers that are held at once.
	maxHeldBytes = 32 << 20
	// plainChunk is how much of an answer is read at once.
	plainChunk = 16 << 10
)

// errHeld marks an answer for which no memory is left beside the others.
var errHeld = errors.New("too many bytes of answers are held already")

// errTooLong marks an answer beyond maxPlainBytes.
var errTooLong = errors.New("the answer is too long")

func (response *Response) isGood() bool { return response.Status >= 200 && response.Status < 300 }

// deliverPlain reads an answer whole and passes it on.
func (r *run) deliverPlain(plan *placement.Plan, response *Response, cancel func()) error {
	body, err := r.readPlain(plan, response, cancel)
	defer r.server.held.Add(-int64(len(body)))
	good := response.isGood()
	switch {
	case errors.Is(err, errStalled):
		return err
	case err != nil:
		return errors.Join(errGarbled, err)
	case good && !response.Signed:
		return errGarbled
	case !good && (r.begun || r.repeatable() && r.mayHaveRun < r.route.MaxEndpoints):
		return fault.New(fault.EndpointFailed, "the endpoint answered %d", response.Status)
	case !good && !response.Signed:
		return fault.New(fault.EndpointFailed, "the endpoint answered %d", response.Status)
	}
	r.firstAt = time.Now()
	r.begin(response.Status, response.Header, int64(len(body)))
	return r.answer.Write(body)
}

// readPlain reads an answer to its end. One that takes too long is given up once
// another endpoint is found. The bytes returned count as held.
func (r *run) readPlain(plan *placement.Plan, response *Response, cancel func()) ([]byte, error) {
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		body, err := readHeld(response.Body, &r.server.held)
		done <- result{body, err}
	}()
	stall := time.NewTimer(r.firstStall(plan))
	defer stall.Stop()
	for {
		select {
		case got := <-done:
			return got.body, got.err
		case <-stall.C:
			if r.findOther() {
				cancel()
				got := <-done
				return got.body, errStalled
			}
			stall.Reset(stallRetry)
		}
	}
}

// readHeld reads a body to its end and adds what it returns to held.
func readHeld(body io.Reader, held *atomic.Int64) ([]byte, error) {
	var text []byte
	chunk := make([]byte, plainChunk)
	for {
		n, err := body.Read(chunk)
		if len(text)+n > maxPlainBytes {
			return text, errTooLong
		}
		if held.Add(int64(n)) > maxHeldBytes {
			held.Add(-int64(n))
			return text, errHeld
		}
		text = append(text, chunk[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			return text, nil
		case err != nil:
			return text, err
		}
	}
}
