//go:build figures

package bench

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// TestFigures prints the figures of every experiment. It checks nothing.
func TestFigures(t *testing.T) {
	for _, name := range []string{"kartuli", "kitamura"} {
		bubble(t, name+"-policies", func(t *testing.T) {
			alone, list, err := ComparePolicies(full(t, name))
			if err != nil {
				t.Fatal(err)
			}
			Print(os.Stdout, name+", policies", alone, list)
		})
		bubble(t, name+"-ways", func(t *testing.T) {
			alone, list, err := CompareIsolation(full(t, name), ShortTokens, []int{2, 3, 4})
			if err != nil {
				t.Fatal(err)
			}
			Print(os.Stdout, name+", ways", alone, list)
		})
		bubble(t, name+"-scenarios", func(t *testing.T) { scenarios(t, name) })
	}
}

func scenarios(t *testing.T, name string) {
	overload, err := Overload(base(t, name, 1))
	check(t, err)
	overload.Print(os.Stdout, name)
	returned, served, err := PeakWithRetries(base(t, name, 2), peak)
	check(t, err)
	attempts, met, err := FaultyEngine(base(t, name, 0.6))
	check(t, err)
	leave, err := DataCentreOut(base(t, name, 0.55), outFor)
	check(t, err)
	flood, err := Flood(base(t, name, 0.6), floodFactor)
	check(t, err)
	s := base(t, name, 0.8)
	with, err := MeasurePrefixes(s, "adaptive")
	check(t, err)
	s.Options.Scorers = withoutPrefix
	without, err := MeasurePrefixes(s, "without reuse")
	check(t, err)
	fmt.Printf("%s: of %d refused callers that return %.3f are served in time\n", name, returned, served)
	fmt.Printf("%s: one sick engine: %.3f attempts a request, met %.4f\n", name, attempts, met)
	fmt.Printf("%s: data centre: %+v\n", name, leave)
	fmt.Printf("%s: flood: %+v, ratio %.3f\n", name, flood, float64(flood.DuringP95)/float64(flood.BeforeP95))
	for _, f := range []Figures{with, without} {
		fmt.Printf("%s: prefixes, %s: reuse %.3f, most %.3f, p95 %s\n", name, f.Name, f.CacheHitRatio, f.MaxEngineShare, f.ShortP95.Round(time.Millisecond))
	}
}
