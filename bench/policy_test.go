package bench

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

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
