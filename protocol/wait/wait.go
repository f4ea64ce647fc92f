// Package wait blocks a goroutine for a duration or until its context is done.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns true, or false if ctx is done first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
