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
	raced         = "raced" // the data centre that operators race for
	operators     = 4
	changesOfEach = 12
	changeLimit   = time.Minute
)

type applied struct {
	Revision uint64 `json:"revision,string"`
	Order    uint64 `json:"order_number,string"`
}

// settled runs one command under one operation id until its outcome is known.
// It returns nil for a conflict.
func (f *fixture) settled(args ...string) *applied {
	args = append(args, "--output", "json")
	for end := time.Now().Add(changeLimit); time.Now().Before(end); {
		out, err := f.Ctl(f.t.Context(), args...)
		var exit *exec.ExitError
		switch {
		case err == nil:
			result := &applied{}
			if err := json.Unmarshal([]byte(out), result); err != nil {
				f.t.Errorf("%v: %v in %q", args, err, out)
			}
			return result
		case errors.As(err, &exit) && exit.ExitCode() == ctl.ExitConflict:
			return nil
		}
	}
	f.t.Errorf("%v: no outcome within %s", args, changeLimit)
	return nil
}

// configuration is what operators read, or nil while no leader answers.
func (f *fixture) configuration() (version uint64, orders []uint64, ok bool) {
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
		f.t.Errorf("unreadable: %q, %q", centres, list)
	}
	for _, d := range config.DataCentres {
		if d.Name == raced {
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

// Operators race with equal versions and resend what got no answer, while
// control replicas are killed, frozen and woken. Each change that won has a
// version of its own, each order one number, and all of it is there after every
// replica was killed at once.
func TestOperatorsWithReplicasKilledAndFrozen(t *testing.T) {
	f := start(t, false, engine("engine", "dc1"))
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	var mu sync.Mutex
	var won, orders []uint64
	conflicts := 0
	var wait sync.WaitGroup
	for operator := range operators {
		wait.Go(func() {
			for n := range changesOfEach {
				version, _, ok := f.configuration()
				if !ok {
					continue
				}
				change := f.settled("data-centre", "out", raced, "--operation-id", fmt.Sprintf("v%d-%d-%d", version, operator, n))
				order := f.settled("order", "load-model", fmt.Sprint("ordered", operator), "m", "--operation-id", fmt.Sprintf("o-%d-%d", operator, n))
				mu.Lock()
				if change != nil {
					won = append(won, change.Revision)
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
	f.disturbControl(rand.New(rand.NewPCG(seed, 1)), done)
	t.Logf("%d changes won, %d conflicts, %d orders", len(won), conflicts, len(orders))
	slices.Sort(won)
	slices.Sort(orders)
	if len(won) == 0 || len(slices.Compact(slices.Clone(won))) != len(won) {
		t.Errorf("versions won: %v", won)
	}
	for _, control := range f.Controls {
		f.must(control.Kill())
	}
	for _, control := range f.Controls {
		f.must(control.Start())
	}
	for range 60 {
		version, got, ok := f.configuration()
		if !ok {
			continue
		}
		slices.Sort(got)
		if version != won[len(won)-1] || !slices.Equal(got, orders) {
			t.Errorf("after the restart: version %d of %v, orders %v of %v", version, won, got, orders)
		}
		return
	}
	t.Error("no leader after the restart of all replicas")
}

// disturbControl kills or freezes one replica at a time until done is closed.
func (f *fixture) disturbControl(random *rand.Rand, done <-chan struct{}) {
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
