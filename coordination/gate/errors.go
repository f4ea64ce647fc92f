package gate

import "errors"

var (
	// ErrNotSent means that the call is known not to have reached the endpoint.
	ErrNotSent = errors.New("request was not sent")
	// ErrFenced means that the endpoint rejected the number of an order as
	// outdated.
	ErrFenced = errors.New("endpoint has seen a higher order number")

	errReleased = errors.New("answer has been released")
	errGone     = errors.New("answer is no longer buffered from the requested sequence")
)
