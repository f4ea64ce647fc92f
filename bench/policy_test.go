package bench

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/trials/workload"
)

var seed = flag.Uint64("seed", 1, "seed of the plans and the fleets")

func named(t *testing.T, name string) workload.Workload {
	w, err := workload.Named(name)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func TestFigures(t *testing.T) {
	for _, name := range []string{"kartuli", "kitamura"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := Setting{Workload: named(t, name), Load: 0.8, Warm: 40 * time.Second, Measured: 80 * time.Second, Options: Base(*seed, "")}
				alone, list, err := Policies(s)
				if err != nil {
					t.Fatal(err)
				}
				Print(os.Stdout, name, alone, list)
			})
		})
	}
}

func TestWays(t *testing.T) {
	for _, name := range []string{"kartuli", "kitamura"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := Setting{Workload: named(t, name), Load: 0.8, Warm: 40 * time.Second, Measured: 80 * time.Second, Options: Base(*seed, "")}
				alone, list, err := Ways(s, 4000, []int{2, 3, 4})
				if err != nil {
					t.Fatal(err)
				}
				Print(os.Stdout, name, alone, list)
			})
		})
	}
}

// TestRunsRepeat holds that equal seeds give equal outcomes.
func TestRunsRepeat(t *testing.T) {
	var runs [2][]Outcome
	for i := range runs {
		synctest.Test(t, func(t *testing.T) {
			s := Setting{Workload: named(t, "kitamura"), Load: 0.8, Measured: 20 * time.Second, Options: Base(*seed, "adaptive")}
			outcomes, _, err := s.Run()
			if err != nil {
				t.Fatal(err)
			}
			runs[i] = outcomes
		})
	}
	var first string
	least := time.Hour
	for i, a := range runs[0] {
		b := runs[1][i]
		if a.FirstToken == b.FirstToken && a.Endpoint == b.Endpoint {
			continue
		}
		at := a.At + min(a.FirstToken, b.FirstToken)
		if a.Endpoint != b.Endpoint {
			at = a.At
		}
		if at < least {
			least, first = at, fmt.Sprintf("at %s request %d: %+v and then %+v", at, i, a, b)
		}
	}
	if first != "" {
		t.Error(first)
	}
}

func base(t *testing.T, name string, load float64) Setting {
	return Setting{Workload: named(t, name), Load: load, Warm: 30 * time.Second, Measured: 40 * time.Second, Options: Base(*seed, "adaptive")}
}

func bubble(t *testing.T, name string, do func(*testing.T)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, do)
	})
}

func TestScenarios(t *testing.T) {
	bubble(t, "overload", func(t *testing.T) {
		f, err := Overload(base(t, "kitamura", 1))
		f.Print(os.Stdout, "kitamura")
		_ = err
	})
	bubble(t, "returns", func(t *testing.T) {
		n, served, err := Returns(base(t, "kitamura", 2), 10*time.Second)
		fmt.Println("returns", n, served, err)
	})
	bubble(t, "sick", func(t *testing.T) {
		attempts, met, err := Sick(base(t, "kitamura", 0.6))
		fmt.Println("sick", attempts, met, err)
	})
	bubble(t, "leave", func(t *testing.T) {
		f, err := Leave(base(t, "kitamura", 0.55), 60*time.Second)
		fmt.Printf("leave %+v %v\n", f, err)
	})
	bubble(t, "prefix", func(t *testing.T) {
		s := base(t, "kitamura", 0.8)
		a, _ := Prefixes(s, "adaptive")
		s.Options.Scorers = []routing.Scorer{routing.FirstTokenScorer{}, routing.LengthScorer{}}
		b, _ := Prefixes(s, "without prefix scorer")
		fmt.Printf("prefix %+v\n%+v\n", a, b)
	})
}
