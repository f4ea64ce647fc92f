package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/ctl"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const contractFile = `version: 1
organisation: kartuli
keys: [{key: caller}]
services: [orders]
limits: {requests_per_second: 5, request_burst: 5, concurrency: 2}
`

type cli struct {
	t       *testing.T
	control string
	key     string
}

func (c cli) run(code int, args ...string) string {
	c.t.Helper()
	var out, errOut bytes.Buffer
	all := append([]string{"--control", c.control, "--key", c.key}, args...)
	if got := ctl.Run(all, &out, &errOut); got != code {
		c.t.Fatalf("%v: exit code %d, want %d\n%s%s", args, got, code, &out, &errOut)
	}
	return out.String() + errOut.String()
}

func (c cli) expect(code int, want string, args ...string) {
	c.t.Helper()
	if text := c.run(code, args...); !strings.Contains(text, want) {
		c.t.Errorf("%v: %q is missing in:\n%s", args, want, text)
	}
}

// The command-line client works with a whole group, skips an unreachable address,
// and exits with a different code for each kind of error.
func TestCommandLine(t *testing.T) {
	c := startCluster(t)
	file := filepath.Join(t.TempDir(), "contract.yaml")
	if err := os.WriteFile(file, []byte(contractFile), 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range c.nodes {
		// The first address is unreachable; the second is the leader or a follower.
		client := cli{t: t, control: "127.0.0.1:1," + c.nodes[i].address, key: operatorKey}
		client.run(ctl.ExitOK, "status")
	}
	client := cli{t: t, control: c.nodes[0].address, key: operatorKey}
	client.expect(ctl.ExitOK, "dry run", "contract", "put", file, "--dry-run")
	client.expect(ctl.ExitNotFound, "has no contract", "contract", "get", "kartuli")
	client.expect(ctl.ExitOK, "done at revision", "contract", "put", file, "--operation-id", "v0-first")
	c.awaitContract("kartuli")
	second := cli{t: t, control: c.nodes[1].address, key: operatorKey}
	second.expect(ctl.ExitOK, "was done before", "contract", "put", file, "--operation-id", "v0-first")
	second.expect(ctl.ExitConflict, "read the object again", "contract", "put", file, "--expected-version", "0")
	second.expect(ctl.ExitOK, "orders", "contract", "get", "kartuli")
	second.expect(ctl.ExitOK, "put", "contract", "history", "kartuli")
	second.expect(ctl.ExitUsage, "a name is missing", "data-centre", "out", "")
	second.expect(ctl.ExitOK, "done at revision", "data-centre", "out", "dc1")
	second.expect(ctl.ExitOK, "out", "data-centre", "list")
	client.expect(ctl.ExitOK, "issued as number", "order", "load-model", "e1", "m", "--operation-id", "order")
	second.expect(ctl.ExitOK, "was done before", "order", "load-model", "e1", "m", "--operation-id", "order")
	second.expect(ctl.ExitConflict, "another change", "order", "load-model", "e1", "other", "--operation-id", "order")
	if list := client.run(ctl.ExitOK, "order", "list"); strings.Count(list, "load-model") != 1 {
		t.Errorf("the resent order was issued twice:\n%s", list)
	}
	client.expect(ctl.ExitOK, "contract kartuli put", "watch", "--count", "1")
	cli{t: t}.expect(ctl.ExitUsage, "no control address", "status")
	wrongKey := cli{t: t, control: c.nodes[2].address, key: "wrong"}
	wrongKey.expect(ctl.ExitUnauthenticated, "operator key is wrong", "data-centre", "in", "dc1")
	var status map[string]any
	if err := json.Unmarshal([]byte(client.run(ctl.ExitOK, "status", "--output", "json")), &status); err != nil {
		t.Error(err)
	}
	c.testDrain(client)
	c.testReplace(client)
	for _, i := range []int{0, 3} {
		c.nodes[i].stop()
	}
	alone := cli{t: t, control: c.nodes[2].address, key: operatorKey}
	alone.run(ctl.ExitUnavailable, "contract", "list")
}

func (c *cluster) awaitContract(organisation string) {
	c.t.Helper()
	c.await("contract in force at every replica", func() bool {
		for _, n := range c.nodes {
			view, err := n.store.Current()
			if err != nil || view.Contract(organisation) == nil {
				return false
			}
		}
		return true
	})
}

// testDrain drains an endpoint whose gate reports to one replica, through a command
// that asks another replica.
func (c *cluster) testDrain(client cli) {
	stream, err := wire.NewAnnounceClient(c.conn(2)).Reports(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	report := &wire.GateReport{GateInstance: "g", Endpoint: "e1", DataCentre: "dc1", Load: &wire.EndpointLoad{GateRunning: 1}}
	send := func() {
		report.Sequence++
		if err := stream.Send(report); err != nil {
			c.t.Fatal(err)
		}
		if _, err := stream.Recv(); err != nil {
			c.t.Fatal(err)
		}
	}
	send()
	report.Revision = 1 << 40
	send()
	client.expect(ctl.ExitOutcomeUnknown, "1 requests left", "endpoint", "drain", "e1", "--timeout", "1ms")
	report.Load.GateRunning = 0
	send()
	client.expect(ctl.ExitOK, "0 requests left", "endpoint", "drain", "e1")
	client.expect(ctl.ExitOK, "leaving", "endpoint", "list")
}

// testReplace replaces a replica that is permanently lost by one at a new address.
func (c *cluster) testReplace(client cli) {
	lost := c.memberAt(c.nodes[1].address)
	c.nodes[1].stop()
	c.addNode(c.t.TempDir())
	c.start(3)
	c.await("new voter", func() bool {
		m := c.memberAt(c.nodes[3].address)
		return m != nil && !m.Learner
	})
	client.expect(ctl.ExitNotFound, "is no member", "member", "replace", "nobody")
	client.run(ctl.ExitOK, "member", "replace", lost.Id, "--operation-id", "replace")
	client.expect(ctl.ExitOK, "was done before", "member", "replace", lost.Id, "--operation-id", "replace")
	if m := c.memberAt(c.nodes[1].address); m != nil {
		c.t.Errorf("the lost replica is still a member: %v", m)
	}
	client.expect(ctl.ExitOK, "voter", "member", "list")
}

func (c *cluster) memberAt(address string) *wire.Member {
	status, err := c.operator(0).Status(c.context(), &wire.StatusRequest{OperatorKey: operatorKey})
	if err != nil {
		c.t.Fatal(err)
	}
	for _, m := range status.Members {
		if m.Address == address && !m.Removed {
			return m
		}
	}
	return nil
}
