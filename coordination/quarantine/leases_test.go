package quarantine

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
)

// Sound requests must be served again 6 s after the last end (twice the users' contactMs),
// also if the entry that held the lease on their part has ended.
func TestLeaseOfAnEntryThatEndedExpiresInTime(t *testing.T) {
	const bound = 6 * time.Second
	now := monotonic.Time(0)
	l := newLeases(func() monotonic.Time { return now })
	if l.take([]uint64{1}, time.Minute, false) == 0 {
		t.Fatal("no lease")
	}
	if l.take([]uint64{1, 2}, time.Minute, false) != 0 {
		t.Error("two leases for one part")
	}
	now = now.Add(bound)
	if l.take([]uint64{1}, time.Minute, false) == 0 {
		t.Errorf("a lease is still held %v after it was granted", bound)
	}
}

// A probe must be alone, and must not wait for ever behind other trials.
func TestProbeIsAloneAndTakesPrecedence(t *testing.T) {
	now := monotonic.Time(0)
	l := newLeases(func() monotonic.Time { return now })
	first := l.take([]uint64{1}, time.Second, false)
	if l.take([]uint64{2}, time.Second, true) != 0 {
		t.Error("a probe beside a trial")
	}
	if l.take([]uint64{3}, time.Second, false) != 0 {
		t.Error("a new trial goes before a probe that waits")
	}
	l.end(first)
	if l.take([]uint64{2}, time.Second, true) == 0 {
		t.Error("no probe after the trial")
	}
	if l.take([]uint64{3}, time.Second, false) != 0 {
		t.Error("a trial beside a probe")
	}
}
