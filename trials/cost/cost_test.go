package cost

import (
	"math"
	"testing"
)

func TestFitFindsTheLine(t *testing.T) {
	var samples []Sample
	for _, n := range []int{10, 50, 100} {
		samples = append(samples, Sample{Role: "entry", Endpoints: n, MemoryMB: 20 + 0.5*float64(n)}, Sample{Role: "agent", Endpoints: n, MemoryMB: 7})
	}
	line := Fit(samples, "entry", func(s Sample) float64 { return s.MemoryMB })
	if math.Abs(line.Intercept-20) > 1e-9 || math.Abs(line.Slope-0.5) > 1e-9 || math.Abs(line.At(920)-480) > 1e-9 {
		t.Errorf("line %+v, want 20 + 0.5 n", line)
	}
}
