// Package fault holds the typed errors of apricotspoke. Each kind has an HTTP status
// and a remedy, which is part of every message.
package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/samber/oops"
)

// Kind is a class of errors. The values are stable, so that scripts and clients can
// match them.
type Kind string

// The kinds. Those for which NotRun is true are used only when nothing has run.
const (
	InvalidRequest     Kind = "invalid_request"
	Unauthenticated    Kind = "unauthenticated"
	Forbidden          Kind = "forbidden"
	UnknownModel       Kind = "unknown_model"
	UnknownService     Kind = "unknown_service"
	PromptTooLong      Kind = "prompt_too_long"
	PromptQuarantined  Kind = "prompt_quarantined" // a part of the prompt ends the endpoints that run it
	BodyTooLarge       Kind = "body_too_large"
	BodyTimeout        Kind = "body_timeout" // the body arrived too slowly; nothing of the request was used
	LimitExceeded      Kind = "limit_exceeded"
	Overloaded         Kind = "overloaded" // what could serve the request is in service but has no capacity for it now
	DeadlineUnmeetable Kind = "deadline_unmeetable"
	NotCurrent         Kind = "not_current"    // the process has no replicated state, or a quorum has not confirmed it recently enough to act on it
	OutOfService       Kind = "out_of_service" // nothing that could serve the request accepts work: it drains, is out of service, has not announced itself or lacks its lease
	KeyReused          Kind = "idempotency_key_reused"
	InProgress         Kind = "in_progress"
	OutcomeUnknown     Kind = "outcome_unknown"
	EndpointFailed     Kind = "endpoint_failed"
	Timeout            Kind = "timeout"
	Cancelled          Kind = "cancelled"
	Conflict           Kind = "conflict"
	NotFound           Kind = "not_found"
	NotLeader          Kind = "not_leader"
	Corrupt            Kind = "corrupt"
	Internal           Kind = "internal"
)

type kindInfo struct {
	status int
	notRun bool
	remedy string
}

var kinds = map[Kind]kindInfo{
	InvalidRequest:     {400, true, "correct the request and send it again"},
	Unauthenticated:    {401, true, "send a valid key as a bearer token"},
	Forbidden:          {403, true, "ask the operator to add it to the contract"},
	UnknownModel:       {404, true, "name a model of the contract"},
	UnknownService:     {404, true, "name a service of the contract"},
	PromptTooLong:      {400, true, "shorten the prompt or ask the operator for a longer limit"},
	PromptQuarantined:  {503, true, "leave that part out; operators: find out why it ends endpoints, then lift the quarantine"},
	BodyTooLarge:       {413, true, "send a smaller body"},
	BodyTimeout:        {408, true, "send the whole body without pauses"},
	LimitExceeded:      {429, true, "send again after Retry-After"},
	Overloaded:         {503, true, "send again after Retry-After"},
	DeadlineUnmeetable: {503, true, "send again after Retry-After or allow a later deadline"},
	NotCurrent:         {503, true, "send again after Retry-After; operators: check that the control group has a leader"},
	OutOfService:       {503, true, "send again after Retry-After"},
	KeyReused:          {422, true, "use a new idempotency key for a new request"},
	InProgress:         {409, false, "send again after Retry-After with the same idempotency key"},
	OutcomeUnknown:     {502, false, "check whether the request took effect before sending it under a new key"},
	EndpointFailed:     {502, false, "send again if the request may be repeated"},
	Timeout:            {504, false, "send again if the request may be repeated"},
	Cancelled:          {499, false, "send again if it is still wanted"},
	Conflict:           {409, true, "read the object again and repeat the change with its new version"},
	NotFound:           {404, true, "check the name"},
	NotLeader:          {503, true, "send again; the replicas are electing a leader"},
	Corrupt:            {500, false, "replace the replica with an empty data folder"},
	Internal:           {500, false, "report this with the request ID"},
}

// Error is a typed error.
type Error struct {
	Kind       Kind
	Message    string
	RetryAfter time.Duration // 0 if there is no need to wait
	Cause      error
}

// New returns an error of the kind. The message says what is wrong; Error adds the
// remedy of the kind.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the kind with a cause, to which oops adds the kind, the
// remedy and a stack trace.
func Wrap(cause error, kind Kind, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.Cause = oops.Code(string(kind)).Hint(kind.Remedy()).Wrap(cause)
	return e
}

// WithRetryAfter sets the time to wait before the next attempt and returns e.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	e.RetryAfter = wait
	return e
}

// Error returns the kind, the message, the remedy and the cause.
func (e *Error) Error() string {
	text := string(e.Kind) + ": " + e.Message + "; " + e.Kind.Remedy()
	if e.Cause != nil {
		text += " (" + e.Cause.Error() + ")"
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Status returns the HTTP status of the kind; 500 for an unknown kind.
func (k Kind) Status() int {
	if t, ok := kinds[k]; ok {
		return t.status
	}
	return 500
}

// Remedy returns what the caller or the operator can do about an error of the kind.
func (k Kind) Remedy() string {
	if t, ok := kinds[k]; ok {
		return t.remedy
	}
	return kinds[Internal].remedy
}

// NotRun reports whether the kind guarantees that nothing has run.
func (k Kind) NotRun() bool { return kinds[k].notRun }

// Known reports whether the kind is defined in this package.
func (k Kind) Known() bool {
	_, ok := kinds[k]
	return ok
}

// KindOf returns the kind of err, or Internal if it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// From returns err as a typed error. An error without a kind becomes Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected failure")
}

// ToWire encodes err for another process; nil stays nil. The cause is not sent.
func ToWire(err error) *wire.Failure {
	if err == nil {
		return nil
	}
	e := From(err)
	return &wire.Failure{
		Kind:         string(e.Kind),
		Message:      e.Message,
		RetryAfterMs: uint32(e.RetryAfter.Milliseconds()),
	}
}

// FromWire decodes the error of another process; nil stays nil.
func FromWire(f *wire.Failure) error {
	if f == nil {
		return nil
	}
	e := New(Kind(f.Kind), "%s", f.Message)
	return e.WithRetryAfter(time.Duration(f.RetryAfterMs) * time.Millisecond)
}
