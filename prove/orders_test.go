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
	ordersPerEndpoint = 4 // in each round
	orderTimeout      = time.Minute
	minLoadGap        = 900 * time.Millisecond // a tenth below the pause that gates keep between two loads of weights
)

// issuedOrder is an order as "order list" prints it.
type issuedOrder struct {
	Number   uint64 `json:",string"`
	Endpoint string
	Argument string
	Done     bool
	Failed   bool
	Result   string
}

// listOrders returns the orders to an endpoint, nil while control is unavailable.
func (f *fixture) listOrders(endpoint string) []issuedOrder {
	out, err := f.Ctl(f.t.Context(), "order", "list", "--output", "json")
	var list struct{ Orders []issuedOrder }
	if err != nil || json.Unmarshal([]byte(out), &list) != nil {
		return nil
	}
	return slices.DeleteFunc(list.Orders, func(o issuedOrder) bool { return o.Endpoint != endpoint })
}

// issue issues one order through each control replica in turn, with the same
// operation ID. All must return the same order number.
func (f *fixture) issue(endpoint, argument string) {
	f.t.Helper()
	numbers := map[uint64]bool{}
	for i := range f.Controls {
		numbers[f.issueThrough(i, endpoint, argument)] = true
	}
	if len(numbers) != 1 {
		f.t.Errorf("order %s to %s has the numbers %v", argument, endpoint, numbers)
	}
}

// issueThrough issues an order through one control replica until its outcome is
// known, and returns its number.
func (f *fixture) issueThrough(control int, endpoint, argument string) uint64 {
	f.t.Helper()
	for end := time.Now().Add(orderTimeout); time.Now().Before(end); time.Sleep(retryInterval) {
		out, err := f.CtlThrough(f.t.Context(), control, "order", "load-model", endpoint, argument,
			"--operation-id", endpoint+argument, "--output", "json")
		var result applyResult
		if err == nil && json.Unmarshal([]byte(out), &result) == nil {
			return result.Order
		}
		var exit *exec.ExitError
		if errors.As(err, &exit) && exit.ExitCode() == ctl.ExitConflict {
			f.t.Fatalf("conflict on resending order %s: %v", argument, err)
		}
	}
	f.t.Fatalf("outcome of order %s not known within %s", argument, orderTimeout)
	return 0
}

// awaitOrders waits until an endpoint has count orders and all are done.
func (f *fixture) awaitOrders(endpoint string, count int) []issuedOrder {
	f.t.Helper()
	var all []issuedOrder
	for end := time.Now().Add(orderTimeout); time.Now().Before(end); time.Sleep(retryInterval) {
		all = f.listOrders(endpoint)
		if len(all) == count && !slices.ContainsFunc(all, func(o issuedOrder) bool { return !o.Done }) {
			return all
		}
	}
	f.t.Fatalf("orders of %s after %s: %v", endpoint, orderTimeout, all)
	return nil
}

// checkOrders compares the results of orders with the endpoint's own list. Each
// order that succeeded ran once, one that failed at most once, in order of their
// numbers, and two loads of weights are at least minLoadGap apart.
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
			f.t.Errorf("%s ran order %d after %d", endpoint.Name, o.Number, previous.Number)
		}
		if gap := o.Arrived.Sub(previous.Arrived); gap < minLoadGap {
			f.t.Errorf("%s loaded weights for order %d %s after order %d", endpoint.Name, o.Number, gap, previous.Number)
		}
	}
	for _, o := range issued {
		f.t.Logf("%s: order %d ran %d times, failed %v, %q", endpoint.Name, o.Number, effects[o.Number], o.Failed, o.Result)
		if effects[o.Number] > 1 || !o.Failed && effects[o.Number] != 1 {
			f.t.Errorf("%s: order %d ran %d times, and failed is %v", endpoint.Name, o.Number, effects[o.Number], o.Failed)
		}
	}
}

// TestOrdersHaveOneEffect issues orders to endpoints, of which some refuse an
// order that is not numbered above all earlier ones (fencing) and some don't. Each
// order is resent through every control replica, and again after all of them were
// killed and restarted. Meanwhile two agents are killed and restarted. Two others
// are suspended; a replacement takes over the endpoint of each, and the suspended
// agents are resumed later.
func TestOrdersHaveOneEffect(t *testing.T) {
	f := startFleet(t, true, engineOptions("checks", "dc1", "--checks-fencing", "--weight-load-ms=2000"),
		engineOptions("ignores", "dc2", "--weight-load-ms=2000"), engineOptions("killed", "dc3", "--checks-fencing"), engineOptions("plain", "dc3"))
	f.issueAll(0)
	f.must(f.endpointNamed("killed").Agent.Kill())
	f.must(f.endpointNamed("plain").Agent.Kill())
	var suspended []*cluster.Agent
	for i := range 2 {
		old := f.Endpoints[i].Agent
		f.must(old.Suspend())
		suspended = append(suspended, old)
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
		f.awaitOrders(e.Name, ordersPerEndpoint)
	}
	for _, agent := range suspended {
		f.must(agent.Resume())
	}
	f.issueAll(ordersPerEndpoint)
	for _, e := range f.Endpoints {
		f.checkOrders(e, f.awaitOrders(e.Name, 2*ordersPerEndpoint))
	}
	f.checkInvariants()
}

// issueAll issues a round of orders to every endpoint, numbered from first.
func (f *fixture) issueAll(first int) {
	f.t.Helper()
	for n := range ordersPerEndpoint {
		for _, e := range f.Endpoints {
			f.issue(e.Name, "model-"+strconv.Itoa(first+n))
		}
	}
}

// TestModelLoadSpacingWithSlowControl delays the links from an agent for every
// other order. Orders that arrive late must still be at least minLoadGap apart at
// the endpoint.
func TestModelLoadSpacingWithSlowControl(t *testing.T) {
	f := startFleet(t, true, engineOptions("engine1", "dc1", "--weight-load-ms=10"))
	for n := range ordersPerEndpoint {
		f.issue("engine1", fmt.Sprint("model-", n))
		for _, l := range f.Links.All() {
			if l.From == "agent-engine1" && l.To != "engine1" {
				l.Proxy.SetDelay(time.Duration((n+1)%2)*150*time.Millisecond, 0)
			}
		}
	}
	f.checkOrders(f.Endpoints[0], f.awaitOrders("engine1", ordersPerEndpoint))
}
