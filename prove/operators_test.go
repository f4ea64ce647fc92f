//go:build prove

package prove

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/ctl"
)

const (
	contestedDataCentre = "contested" // every operator changes it
	operatorCount       = 4
	changesPerOperator  = 12
	changeTimeout       = time.Minute // until the outcome of a change is known
)

// applyResult is the result of a change as --output json prints it.
type applyResult struct {
	Revision uint64 `json:"revision,string"`
	Order    uint64 `json:"order_number,string"`
}

// ctlUntilSettled runs a command, with its operation ID among args, until its
// outcome is known. It returns nil for a conflict, and after changeTimeout, which
// fails the test.
func (f *fixture) ctlUntilSettled(args ...string) *applyResult {
	args = append(args, "--output", "json")
	for end := time.Now().Add(changeTimeout); time.Now().Before(end); {
		out, err := f.Ctl(f.t.Context(), args...)
		var exit *exec.ExitError
		switch {
		case err == nil:
			result := &applyResult{}
			if err := json.Unmarshal([]byte(out), result); err != nil {
				f.t.Errorf("%v: %v in %q", args, err, out)
			}
			return result
		case errors.As(err, &exit) && exit.ExitCode() == ctl.ExitConflict:
			return nil
		}
	}
	f.t.Errorf("%v: no outcome within %s", args, changeTimeout)
	return nil
}

// readConfiguration returns the version of the contested data centre and the
// numbers of the orders, or false while control is unavailable.
func (f *fixture) readConfiguration() (version uint64, orders []uint64, ok bool) {
	centres, err := f.Ctl(f.t.Context(), "data-centre", "list", "--output", "json")
	if err != nil {
		return 0, nil, false
	}
	list, err := f.Ctl(f.t.Context(), "order", "list", "--output", "json")
	if err != nil {
		return 0, nil, false
	}
	var config, orderConfig struct {
		DataCentres []struct {
			Name    string
			Version uint64 `json:",string"`
		} `json:"data_centres"`
		Orders []struct {
			Number   uint64 `json:",string"`
			Endpoint string
		}
	}
	if json.Unmarshal([]byte(centres), &config) != nil || json.Unmarshal([]byte(list), &orderConfig) != nil {
		f.t.Errorf("output is not JSON: %q, %q", centres, list)
	}
	for _, d := range config.DataCentres {
		if d.Name == contestedDataCentre {
			version = d.Version
		}
	}
	for _, o := range orderConfig.Orders {
		if strings.HasPrefix(o.Endpoint, "ordered") {
			orders = append(orders, o.Number)
		}
	}
	return version, orders, true
}

// Several operators take the same data centre out of service and issue orders, and
// resend a command that got no answer, while control replicas are killed and
// suspended. Each operator expects the version that it has read, which
// apricotspokectl takes from the beginning of the operation ID ("v3-..."), so two
// that read the same one conflict. Each change that was applied has a revision of
// its own, each order has one number, and all of them survive when every replica
// is killed.
func TestOperatorsWithReplicasKilledAndSuspended(t *testing.T) {
	f := startFleet(t, false, engineOptions("engine", "dc1"))
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	var mu sync.Mutex
	var versions, orders []uint64
	conflicts := 0 // also changes without an outcome, for which the test fails
	var wait sync.WaitGroup
	for operator := range operatorCount {
		wait.Go(func() {
			for n := range changesPerOperator {
				version, _, ok := f.readConfiguration()
				if !ok {
					continue
				}
				change := f.ctlUntilSettled("data-centre", "out", contestedDataCentre, "--operation-id", fmt.Sprintf("v%d-%d-%d", version, operator, n))
				order := f.ctlUntilSettled("order", "load-model", fmt.Sprint("ordered", operator), "m", "--operation-id", fmt.Sprintf("o-%d-%d", operator, n))
				mu.Lock()
				if change != nil {
					versions = append(versions, change.Revision)
				} else {
					conflicts++
				}
				if order != nil {
					orders = append(orders, order.Order)
				}
				mu.Unlock()
			}
		})
	}
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	f.disruptControl(rand.New(rand.NewPCG(seed, 1)), done)
	t.Logf("%d changes applied, %d conflicts, %d orders", len(versions), conflicts, len(orders))
	slices.Sort(versions)
	slices.Sort(orders)
	if len(versions) == 0 || len(slices.Compact(slices.Clone(versions))) != len(versions) {
		t.Errorf("versions of applied changes: %v", versions)
	}
	for _, control := range f.Controls {
		f.must(control.Kill())
	}
	for _, control := range f.Controls {
		f.must(control.Start())
	}
	for range 60 {
		version, got, ok := f.readConfiguration()
		if !ok {
			continue
		}
		slices.Sort(got)
		if version != versions[len(versions)-1] || !slices.Equal(got, orders) {
			t.Errorf("after the restart: version %d of %v, orders %v of %v", version, versions, got, orders)
		}
		return
	}
	t.Error("no leader after the restart of all replicas")
}

// disruptControl kills or suspends one replica at a time until done is closed.
func (f *fixture) disruptControl(random *rand.Rand, done <-chan struct{}) {
	for {
		control := f.Controls[random.IntN(len(f.Controls))]
		pause := time.Duration(500+random.IntN(2500)) * time.Millisecond
		if random.IntN(2) == 0 {
			f.must(control.Suspend())
			time.Sleep(pause)
			f.must(control.Resume())
		} else {
			f.must(control.Kill())
			time.Sleep(pause)
			f.must(control.Start())
		}
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
	}
}
