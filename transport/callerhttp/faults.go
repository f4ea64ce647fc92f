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

// errorBody is the OpenAI shape of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func encodeFault(err *fault.Error) []byte {
	text, _ := json.Marshal(errorBody{errorDetail{
		Message: err.Message + "; " + err.Kind.Remedy(),
		Type:    string(err.Kind),
		Code:    string(err.Kind),
	}})
	return text
}

// typed turns the ends of contexts into typed errors.
func typed(err error) *fault.Error {
	var e *fault.Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, context.DeadlineExceeded):
		return fault.New(fault.Timeout, "the deadline has passed")
	case errors.Is(err, context.Canceled):
		return fault.New(fault.Cancelled, "the caller has gone")
	}
	return fault.From(err)
}

// scope says for what a refusal speaks. It is the value of X-Not-Run.
type scope string

const (
	wholeRequest scope = "true"         // no sending of the request has run or will run
	thisSending  scope = "this-sending" // another one under the same key may run or have run
)

// scopeOf is the scope of a refusal before the claim of a request is known.
func scopeOf(r *http.Request) scope {
	if r.Header.Get(keyHeader) != "" {
		return thisSending
	}
	return wholeRequest
}

// writeFault answers with an error. Not-run is only said as far as it is known.
func writeFault(w http.ResponseWriter, err error, of scope) {
	e := typed(err)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	var uncertain *claims.MayHaveRunError
	var here *claims.AttemptNotRunError
	if errors.As(err, &here) {
		of = thisSending
	}
	if e.Kind.NotRun() && !errors.As(err, &uncertain) {
		header.Set("X-Not-Run", string(of))
	}
	if wait := retryAfter(e); wait > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	w.WriteHeader(e.Kind.Status())
	_, _ = w.Write(append(encodeFault(e), '\n'))
}

// leastRetry is told where a refusal carries no time of its own.
const leastRetry = time.Second

func retryAfter(e *fault.Error) time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	switch e.Kind.Status() {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return leastRetry
	}
	return 0
}
