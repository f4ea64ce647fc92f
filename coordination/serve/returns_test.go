package serve

import (
	"testing"
	"time"
)

// Callers that are refused at one moment are told to come back one after another;
// one that can't wait so long comes back as late as it can, in nobody's place.
func TestRefusedCallersComeBackOneAfterAnother(t *testing.T) {
	const gap = 50 * time.Millisecond
	now := time.Unix(1000, 0)
	var r returns
	for i := range 10 {
		at := r.promise(now.Add(200*time.Millisecond), now.Add(time.Second), gap)
		if want := now.Add(200*time.Millisecond + time.Duration(i)*gap); at != want {
			t.Errorf("caller %d comes back after %v, want %v", i, at.Sub(now), want.Sub(now))
		}
	}
	if at := r.promise(now.Add(200*time.Millisecond), now.Add(300*time.Millisecond), gap); at != now.Add(300*time.Millisecond) {
		t.Errorf("an impatient one comes back after %v", at.Sub(now))
	}
	if at := r.promise(now.Add(200*time.Millisecond), now.Add(time.Second), gap); at != now.Add(700*time.Millisecond) {
		t.Errorf("the next one comes back after %v", at.Sub(now))
	}
	later := now.Add(time.Minute)
	if at := r.promise(later, later.Add(time.Second), gap); at != later {
		t.Errorf("long after the burst one comes back after %v", at.Sub(later))
	}
}
