package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
)

func BenchmarkRequestWithTenParts(b *testing.B) {
	for _, suspects := range []int{0, 100, 10000} {
		b.Run(fmt.Sprintf("%d suspects", suspects), func(b *testing.B) {
			now := monotonic.Time(time.Hour)
			tracker := NewTracker(func() monotonic.Time { return now })
			for i := range suspects / 50 {
				var ids []string
				for n := range 50 {
					ids = append(ids, fmt.Sprintf("%d-%d", i, n))
				}
				tracker.RecordEnd(End{Service: "s", Parts: ids, Endpoint: uint64(i + 1), SentAt: now - 1})
			}
			ids := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
			b.ReportAllocs()
			for b.Loop() {
				parts := Keys("s", ids)
				tracker.Check(parts)
				tracker.RecordSound(parts)
			}
		})
	}
}
