//go:build figures

package bench

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// TestFigures prints the figures of every experiment and checks none.
func TestFigures(t *testing.T) {
	for _, name := range []string{"kartuli", "kitamura"} {
		runInBubble(t, name+"-policies", func(t *testing.T) {
			withoutLong, list, err := ComparePolicies(publishedExperiment(t, name))
			if err != nil {
				t.Fatal(err)
			}
			Print(os.Stdout, name+", policies", withoutLong, list)
		})
		runInBubble(t, name+"-isolation", func(t *testing.T) {
			withoutLong, list, err := CompareIsolation(publishedExperiment(t, name), ShortTokens, []int{2, 3, 4})
			if err != nil {
				t.Fatal(err)
			}
			Print(os.Stdout, name+", isolation", withoutLong, list)
		})
		runInBubble(t, name+"-scenarios", func(t *testing.T) { printScenarios(t, name) })
	}
}

func printScenarios(t *testing.T, name string) {
	overload, err := Overload(experiment(t, name, 1))
	must(t, err)
	overload.Print(os.Stdout, name)
	retried, served, err := PeakWithRetries(experiment(t, name, 2), peakDuration)
	must(t, err)
	attempts, onTime, err := FaultyEngine(experiment(t, name, 0.6))
	must(t, err)
	leave, err := DataCentreOut(experiment(t, name, 0.55), outDuration)
	must(t, err)
	flood, err := Flood(experiment(t, name, 0.6), floodFactor)
	must(t, err)
	s := experiment(t, name, 0.8)
	with, err := MeasurePrefixes(s, "adaptive")
	must(t, err)
	s.Options.Scorers = scorersWithoutPrefix
	without, err := MeasurePrefixes(s, "without reuse")
	must(t, err)
	fmt.Printf("%s: of %d refused callers that retry %.3f are served on time\n", name, retried, served)
	fmt.Printf("%s: one faulty engine: %.3f attempts a request, share on time %.4f\n", name, attempts, onTime)
	fmt.Printf("%s: data centre: %+v\n", name, leave)
	fmt.Printf("%s: flood: %+v, ratio %.3f\n", name, flood, float64(flood.DuringP95)/float64(flood.BeforeP95))
	for _, f := range []Figures{with, without} {
		fmt.Printf("%s: prefixes, %s: reuse %.3f, most %.3f, p95 %s\n", name, f.Name, f.CacheHitRatio, f.MaxEngineShare, f.ShortP95.Round(time.Millisecond))
	}
}
