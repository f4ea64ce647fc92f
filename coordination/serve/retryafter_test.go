package serve

import (
	"testing"
	"time"
)

// Callers refused at the same time get a staggered Retry-After. One that can't wait
// for its turn gets the latest time that it can, and the others keep their turns.
func TestRetryAfterIsStaggered(t *testing.T) {
	const gap = 50 * time.Millisecond
	now := time.Unix(1000, 0)
	var r retrySchedule
	for i := range 10 {
		at := r.assign(now.Add(200*time.Millisecond), now.Add(time.Second), gap)
		if want := now.Add(200*time.Millisecond + time.Duration(i)*gap); at != want {
			t.Errorf("caller %d retries after %v, want %v", i, at.Sub(now), want.Sub(now))
		}
	}
	if at := r.assign(now.Add(200*time.Millisecond), now.Add(300*time.Millisecond), gap); at != now.Add(300*time.Millisecond) {
		t.Errorf("a caller that can't wait retries after %v", at.Sub(now))
	}
	if at := r.assign(now.Add(200*time.Millisecond), now.Add(time.Second), gap); at != now.Add(700*time.Millisecond) {
		t.Errorf("the next caller retries after %v", at.Sub(now))
	}
	later := now.Add(time.Minute)
	if at := r.assign(later, later.Add(time.Second), gap); at != later {
		t.Errorf("long after the burst a caller retries after %v", at.Sub(later))
	}
}
