package rendezvous

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

const (
	limit   = 100 * time.Millisecond
	hasLeft = 5 * time.Millisecond // time that the caller has
)

// Guards against callers with little time left that make a sound process look silent, and
// against such callers hiding a silent one.
func TestCallFailsOnlyAfterItsOwnTime(t *testing.T) {
	for answersAfter, want := range map[time.Duration]error{limit / 2: nil, 2 * limit: context.DeadlineExceeded} {
		bubble.Run(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), hasLeft)
			defer cancel()
			began, ended := time.Now(), make(chan error, 1)
			_, err := Ask(ctx, limit, func(ctx context.Context) (bool, error) {
				select {
				case <-time.After(answersAfter):
				case <-ctx.Done():
				}
				ended <- ctx.Err()
				return true, ctx.Err()
			})
			if !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != hasLeft {
				t.Errorf("the caller got %v after %v, want its own end after %v", err, time.Since(began), hasLeft)
			}
			if got := <-ended; !errors.Is(got, want) {
				t.Errorf("a call that is answered after %v ended with %v, want %v", answersAfter, got, want)
			}
		})
	}
}
