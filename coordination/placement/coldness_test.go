package placement

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
)

// Guards against sending at the full rate to an endpoint that may have become cold since it
// was last heard from: after a return, an outage or a freeze of this host (FAILBACK).
func TestEndpointThatMayBeColdNeedsPermits(t *testing.T) {
	const perSecond = 4
	old := monotonic.Now().Add(-silentAfter - time.Second)
	cases := []struct {
		name     string
		change   func(b *testbed, e *directory.Endpoint)
		coldness Coldness
		rate     float64
	}{
		{"heard from", func(*testbed, *directory.Endpoint) {}, Warm, Unlimited},
		{"cold", func(_ *testbed, e *directory.Endpoint) { e.ColdUntil = monotonic.Now().Add(time.Minute) }, Cold, perSecond},
		{"returned", func(b *testbed, _ *directory.Endpoint) {
			b.scheduler.SetReturnLookup(func(*directory.Endpoint) bool { return false })
		}, Unheard, perSecond},
		{"silent", func(_ *testbed, e *directory.Endpoint) { e.HeardAt = old }, Silent, perSecond},
		{"silent but answers", func(b *testbed, e *directory.Endpoint) { e.HeardAt = old; b.scheduler.RecordSuccess(e.Key) }, Warm, Unlimited},
		{"silent, of a service that knows no cold rate", func(b *testbed, e *directory.Endpoint) {
			e.HeardAt, b.service.ColdRequestsPerSecond = old, 0
		}, Silent, Unlimited},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(1)
			e := b.endpoints[0]
			c.change(b, e)
			if got := b.scheduler.Coldness(e); got != c.coldness {
				t.Errorf("%s, want %s", got, c.coldness)
			}
			if got := b.scheduler.PermitRate(e, b.service); got != c.rate {
				t.Errorf("permits at %v a second, want %v", got, c.rate)
			}
			if c.rate == Unlimited {
				return
			}
			b.scheduler.StartPermit(e.Key)
			b.scheduler.EndPermit(e.Key, time.Minute)
			if b.scheduler.Choose(b.endpoints, b.short()) != nil {
				t.Error("it is chosen without a permit")
			}
		})
	}
}
