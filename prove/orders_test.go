//go:build prove

package prove

import (
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/ctl"
	"github.com/apricotspoke/apricotspoke/trials/cluster"
)

const (
	ordersOfEach = 4
	orderLimit   = time.Minute
	weightGap    = 900 * time.Millisecond // a tenth below the pause that gates keep
)

// issuedOrder is an order as operators read it.
type issuedOrder struct {
	Number   uint64 `json:",string"`
	Endpoint string
	Argument string
	Done     bool
	Failed   bool
	Result   string
}

func (f *fixture) orders(endpoint string) []issuedOrder {
	out, err := f.Ctl(f.t.Context(), "order", "list", "--output", "json")
	var list struct{ Orders []issuedOrder }
	if err != nil || json.Unmarshal([]byte(out), &list) != nil {
		return nil
	}
	return slices.DeleteFunc(list.Orders, func(o issuedOrder) bool { return o.Endpoint != endpoint })
}

// issue orders through one replica after the other under one operation id, until
// each has given the number.
func (f *fixture) issue(endpoint, argument string) {
	f.t.Helper()
	numbers := map[uint64]bool{}
	for i := range f.Controls {
		numbers[f.issueThrough(i, endpoint, argument)] = true
	}
	if len(numbers) != 1 {
		f.t.Errorf("order %s of %s has the numbers %v", argument, endpoint, numbers)
	}
}

func (f *fixture) issueThrough(control int, endpoint, argument string) uint64 {
	f.t.Helper()
	for end := time.Now().Add(orderLimit); time.Now().Before(end); time.Sleep(resendPause) {
		out, err := f.CtlThrough(f.t.Context(), control, "order", "load-model", endpoint, argument,
			"--operation-id", endpoint+argument, "--output", "json")
		var result applied
		if err == nil && json.Unmarshal([]byte(out), &result) == nil {
			return result.Order
		}
		var exit *exec.ExitError
		if errors.As(err, &exit) && exit.ExitCode() == ctl.ExitConflict {
			f.t.Fatalf("%s resent: %v", argument, err)
		}
	}
	f.t.Fatalf("no outcome of order %s within %s", argument, orderLimit)
	return 0
}

// awaitOrders waits until all orders of an endpoint are done.
func (f *fixture) awaitOrders(endpoint string, count int) []issuedOrder {
	f.t.Helper()
	var all []issuedOrder
	for end := time.Now().Add(orderLimit); time.Now().Before(end); time.Sleep(resendPause) {
		all = f.orders(endpoint)
		if len(all) == count && !slices.ContainsFunc(all, func(o issuedOrder) bool { return !o.Done }) {
			return all
		}
	}
	f.t.Fatalf("orders of %s after %s: %v", endpoint, orderLimit, all)
	return nil
}

// checkOrders holds the endpoint's own list against what operators were told.
func (f *fixture) checkOrders(endpoint *cluster.Endpoint, issued []issuedOrder) {
	f.t.Helper()
	state, err := endpoint.State(f.t.Context())
	f.must(err)
	effects := map[uint64]int{}
	for i, o := range state.Orders {
		effects[o.Number]++
		if i == 0 {
			continue
		}
		previous := state.Orders[i-1]
		if o.Number <= previous.Number {
			f.t.Errorf("%s carried out %d after %d", endpoint.Name, o.Number, previous.Number)
		}
		if gap := o.Arrived.Sub(previous.Arrived); gap < weightGap {
			f.t.Errorf("%s loaded weights for %d %s after %d", endpoint.Name, o.Number, gap, previous.Number)
		}
	}
	for _, o := range issued {
		f.t.Logf("%s: order %d ran %d times, failed %v, %q", endpoint.Name, o.Number, effects[o.Number], o.Failed, o.Result)
		if effects[o.Number] > 1 || !o.Failed && effects[o.Number] != 1 {
			f.t.Errorf("%s: order %d ran %d times, and failed is %v", endpoint.Name, o.Number, effects[o.Number], o.Failed)
		}
	}
}

// TestOrdersHaveOneEffect gives orders to endpoints that check fencing numbers
// and to one that does not, resends each through every replica and after all of
// them started again, kills one agent and freezes the others until a
// replacement holds the endpoint.
func TestOrdersHaveOneEffect(t *testing.T) {
	f := start(t, true, engine("checks", "dc1", "--checks-fencing", "--weight-load-ms=2000"),
		engine("ignores", "dc2", "--weight-load-ms=2000"), engine("killed", "dc3", "--checks-fencing"), engine("plain", "dc3"))
	f.issueAll(0)
	f.must(f.endpointNamed("killed").Agent.Kill())
	f.must(f.endpointNamed("plain").Agent.Kill())
	var woken []*cluster.Agent
	for i := range 2 {
		old := f.Endpoints[i].Agent
		f.must(old.Suspend())
		woken = append(woken, old)
		replacement, err := f.StartReplacement("replacement-"+f.Endpoints[i].Name, i)
		f.must(err)
		f.must(f.Endpoints[i].AnnounceTo(t.Context(), replacement))
	}
	f.must(f.endpointNamed("killed").Agent.Start())
	f.must(f.endpointNamed("plain").Agent.Start())
	for _, control := range f.Controls {
		f.must(control.Kill())
	}
	for _, control := range f.Controls {
		f.must(control.Start())
	}
	f.issueAll(0)
	for _, e := range f.Endpoints {
		f.awaitOrders(e.Name, ordersOfEach)
	}
	for _, agent := range woken {
		f.must(agent.Resume())
	}
	f.issueAll(ordersOfEach)
	for _, e := range f.Endpoints {
		f.checkOrders(e, f.awaitOrders(e.Name, 2*ordersOfEach))
	}
	f.checkInvariants()
}

func (f *fixture) issueAll(first int) {
	f.t.Helper()
	for n := range ordersOfEach {
		for _, e := range f.Endpoints {
			f.issue(e.Name, "model-"+strconv.Itoa(first+n))
		}
	}
}

// TestWeightPauseWithSlowControl delays what an agent hears from control in
// turns: two loads of weights keep their distance all the same.
func TestWeightPauseWithSlowControl(t *testing.T) {
	f := start(t, true, engine("engine1", "dc1", "--weight-load-ms=10"))
	for n := range ordersOfEach {
		f.issue("engine1", fmt.Sprint("model-", n))
		for _, l := range f.Links.All() {
			if l.From == "agent-engine1" && l.To != "engine1" {
				l.Proxy.SetDelay(time.Duration((n+1)%2)*150*time.Millisecond, 0)
			}
		}
	}
	f.checkOrders(f.Endpoints[0], f.awaitOrders("engine1", ordersOfEach))
}
