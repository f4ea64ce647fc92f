package rendezvous

import (
	"context"
	"time"
)

// Ask makes a call to another process and returns its result, or the error of ctx if that
// ends first. The call is not ended with ctx: it fails when its own time has run out, so
// that its failure tells of the process and not of the caller.
func Ask[T any](ctx context.Context, limit time.Duration, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	var none T
	if ctx.Err() != nil {
		return none, ctx.Err()
	}
	done := make(chan result, 1)
	go func() {
		asking, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer cancel()
		value, err := call(asking)
		done <- result{value, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
