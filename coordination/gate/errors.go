package gate

import "errors"

var (
	// ErrNotSent says that a call provably never reached the endpoint.
	ErrNotSent = errors.New("request was not sent")
	// ErrFenced says that the endpoint refused an order's number as old.
	ErrFenced = errors.New("endpoint has seen a higher order number")

	errReleased = errors.New("attempt is no longer kept")
	errGone     = errors.New("answer is no longer buffered from that sequence")
)
