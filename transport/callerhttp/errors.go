package callerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/claims"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// errorBody is an error in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// encodeFault returns the JSON body of an error. The message includes the remedy.
func encodeFault(err *fault.Error) []byte {
	text, _ := json.Marshal(errorBody{errorDetail{
		Message: err.Message + "; " + err.Kind.Remedy(),
		Type:    string(err.Kind),
		Code:    string(err.Kind),
	}})
	return text
}

// toFault returns err as a typed error. An expired context becomes Timeout, a cancelled
// one Cancelled.
func toFault(err error) *fault.Error {
	var e *fault.Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, context.DeadlineExceeded):
		return fault.New(fault.Timeout, "the deadline has passed")
	case errors.Is(err, context.Canceled):
		return fault.New(fault.Cancelled, "the caller has disconnected")
	}
	return fault.From(err)
}

// smallWriteTimeout bounds the writing of a small response to a caller that doesn't read.
const smallWriteTimeout = 5 * time.Second

// limitWrite bounds the time for writing a small response.
func limitWrite(w http.ResponseWriter) {
	deadline := time.Now().Add(smallWriteTimeout)
	_ = http.NewResponseController(w).SetWriteDeadline(deadline) // fails if the caller has disconnected
}

// notRunScope is the value of the header X-Not-Run. It says which sends of a request a
// refusal covers. A caller may send a request several times under one idempotency key.
type notRunScope string

const (
	requestScope notRunScope = "true"         // no send of the request has run or will run
	sendScope    notRunScope = "this-sending" // this send has not run; another one under the same key may run or have run
)

// scopeBeforeClaim returns the scope of a refusal that is sent before the claim of the
// request's idempotency key has been looked up.
func scopeBeforeClaim(r *http.Request) notRunScope {
	if r.Header.Get(idempotencyKeyHeader) != "" {
		return sendScope
	}
	return requestScope
}

// writeFault sends an error response. It sets X-Not-Run only when it is certain that
// nothing ran, and reduces the scope to this send when that is all that is certain.
func writeFault(w http.ResponseWriter, err error, scope notRunScope) {
	limitWrite(w)
	e := toFault(err)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	var mayHaveRun *claims.MayHaveRunError
	var attemptNotRun *claims.AttemptNotRunError
	if errors.As(err, &attemptNotRun) {
		scope = sendScope
	}
	if e.Kind.NotRun() && !errors.As(err, &mayHaveRun) {
		header.Set("X-Not-Run", string(scope))
	}
	if wait := retryAfter(e); wait > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	w.WriteHeader(e.Kind.Status())
	_, _ = w.Write(append(encodeFault(e), '\n'))
}

// defaultRetryAfter is the Retry-After value of a 429 or 503 response whose error gives
// no time.
const defaultRetryAfter = time.Second

// retryAfter returns the time to wait before the next try, 0 for none.
func retryAfter(e *fault.Error) time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	switch e.Kind.Status() {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return defaultRetryAfter
	}
	return 0
}
