package placement

import (
	"testing"
	"time"
)

// A response that was overtaken on its way must not raise or end a limit.
func TestRateLimitIsRaisedOnlyByLaterRequests(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewScheduler(func() time.Time { return now })
	const key = 7
	s.RecordRateLimit(key, Unlimited, now)
	if got := s.RateLimit(key); got != Unlimited {
		t.Fatalf("limit %v before any was stated", got)
	}
	sentEarlier := now
	now = now.Add(time.Second)
	steps := []struct {
		perSecond float64
		sentAt    time.Time
		want      float64
	}{
		{1.6, sentEarlier, 1.6},                          // a first limit holds at once
		{Unlimited, sentEarlier, 1.6},                    // was overtaken
		{4, sentEarlier, 1.6},                            // was overtaken
		{1, sentEarlier, 1},                              // a lower one holds at once
		{3, now.Add(time.Millisecond), 3},                // was sent later
		{Unlimited, now.Add(2 * time.Second), Unlimited}, // the limit has ended
		{0, now, 0},                                      // a limit of none at all
	}
	for i, step := range steps {
		s.RecordRateLimit(key, step.perSecond, step.sentAt)
		if got := s.RateLimit(key); got != step.want {
			t.Errorf("step %d: limit %v, want %v", i, got, step.want)
		}
	}
	if stats := s.Stats(); stats.RateLimited != 1 {
		t.Errorf("%d endpoints with a rate limit, want 1", stats.RateLimited)
	}
}
