package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose measures one choice over different numbers of endpoints, half of
// which decode answers.
func BenchmarkChoose(b *testing.B) {
	for _, endpoints := range []int{10, 50, 172, 920} {
		for _, c := range []struct {
			name   string
			prompt int
		}{{"short", 3000}, {"spread", 400_000}} {
			b.Run(fmt.Sprintf("%s/%d", c.name, endpoints), func(b *testing.B) {
				bed := newTestbed(endpoints)
				for range 2 * endpoints {
					if p := bed.scheduler.Choose(bed.endpoints, bed.short()); p != nil {
						p.Handle.MarkStarted()
					}
				}
				req := bed.newReq(c.prompt, 4*time.Second, time.Second)
				b.ReportAllocs()
				for b.Loop() {
					if p := bed.scheduler.Choose(bed.endpoints, req); p != nil {
						p.Handle.Close()
					}
				}
			})
		}
	}
}
