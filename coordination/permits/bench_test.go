package permits

import (
	"fmt"
	"math"
	"testing"
)

func BenchmarkTake(b *testing.B) {
	for _, entries := range []int{8, 70, 370} {
		b.Run(fmt.Sprintf("%d entries", entries), func(b *testing.B) {
			s := newSimulation(entries, 9, 1e6)
			asker := s.entries[s.processes[0].Address].permits
			b.ReportAllocs()
			for b.Loop() {
				asker.Take(b.Context(), s.endpoint, math.Inf(1))
			}
		})
	}
}
