//go:build prove

package host

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
)

// acknowledgeWithin is the users' bound for orders in calm (ackMs).
const acknowledgeWithin = 4 * time.Second

// silentGroup is a control group with a proxy before the links of each process. All
// hosts have forwarded calls to the leader.
type silentGroup struct {
	*fakePlatform
	hosts   []int // the first ones have a disk
	proxies []*faultproxy.Proxy
	version int
}

func newSilentGroup(t *testing.T, disks, others int) *silentGroup {
	t.Helper()
	g := &silentGroup{fakePlatform: newFakePlatform(t)}
	g.diskFaultTolerance = (disks - 1) / 2
	for n := 1; n <= disks+others; n++ {
		g.hosts = append(g.hosts, n)
	}
	g.proxies = g.proxyControlLinks(g.hosts...)
	for _, n := range g.hosts {
		g.start("control", n, n <= disks, n <= disks)
	}
	for range 3 {
		for _, n := range g.hosts {
			g.version++
			g.changeAndRead(n, g.version)
		}
	}
	return g
}

// silence makes all open connections silent, also those that the proxies accept while a
// process connects again at once.
func (g *silentGroup) silence(hosts ...int) {
	for _, n := range hosts {
		g.proxies[n-1].BlackholeConnections(faultproxy.Both)
	}
}

// once sends one order to one host, as an operator does that moves on after a second.
func (g *silentGroup) once(n int, method, path string, body []byte) (status int, took time.Duration, text string) {
	began := time.Now()
	status, text = g.operatorCall(n, method, path, body)
	took = time.Since(began)
	g.t.Logf("host %d: %s %s: %d after %d ms %.160s", n, method, path, status, took.Milliseconds(), text)
	return status, took, text
}

func (g *silentGroup) put(n int) int {
	g.version++
	status, _, _ := g.once(n, "PUT", "/configuration", []byte(configuration(g.version, `"key"`)))
	return status
}

// awaitServing waits until an entry knows a confirmed configuration, by which it has no
// route for a path.
func (g *silentGroup) awaitServing(n int) {
	g.t.Helper()
	g.await("the entry knows the configuration", func() bool {
		status, _, _ := g.request(n, "/nowhere/", "key", "n")
		return status == 404
	})
}

// Guards against reads, orders for data centres and new entries that fail where only configurations are tried.
func TestOrdersOfAllKindsAfterConnectionsFellSilent(t *testing.T) {
	g := newSilentGroup(t, 3, 3)
	for round := range 4 {
		for _, n := range g.hosts {
			g.silence(g.hosts...)
			time.Sleep(3 * time.Second)
			began := time.Now()
			for !g.order((n+round)%3, round%2 == 1, n) {
				if time.Since(began) > acknowledgeWithin {
					t.Fatalf("round %d: host %d does not acknowledge within %v", round, n, acknowledgeWithin)
				}
			}
		}
		g.silence(g.hosts...)
		g.start("entry", 10+round, false, false)
		g.awaitServing(10 + round)
	}
}

// order sends an order of one of three kinds to a host and reports whether it is carried out.
func (g *silentGroup) order(kind int, back bool, n int) bool {
	method := map[bool]string{false: "POST", true: "DELETE"}[back]
	switch kind {
	case 0:
		return g.put(n) == 200
	case 1:
		status, _, _ := g.once(n, method, "/drain/z99", nil)
		return status == 200
	}
	status, _, text := g.once(n, "GET", "/configuration", nil)
	if status == 200 && !strings.Contains(text, fmt.Sprintf(`"version":%d,`, g.version)) {
		g.t.Errorf("host %d answers with an older configuration", n)
	}
	return status == 200
}

// Guards against connections that were replaced once and fall silent again, at all hosts or one.
func TestSecondSilenceWithinRecovery(t *testing.T) {
	g := newSilentGroup(t, 3, 3)
	for round := range 6 {
		g.silence(g.hosts...)
		time.Sleep(time.Duration(500*round) * time.Millisecond)
		for _, n := range []int{4, 2, 6} {
			g.put(n)
		}
		if round%2 == 0 {
			g.silence(g.hosts...)
		} else {
			g.silence(round/2 + 1)
		}
		time.Sleep(3 * time.Second)
		began := time.Now()
		for {
			if g.put(5) == 200 {
				break
			}
			if time.Since(began) > acknowledgeWithin {
				t.Errorf("round %d: not within %v", round, acknowledgeWithin)
				break
			}
		}
	}
}

// Guards against a leader that is lost in the moment in which connections fall silent.
func TestProcessIsKilledAsConnectionsFallSilent(t *testing.T) {
	g := newSilentGroup(t, 3, 3)
	for round := range 6 {
		n := round%3 + 1
		g.silence(g.hosts...)
		g.stop(fmt.Sprintf("control%d", n), syscall.SIGKILL)
		time.Sleep(time.Duration(round) * 400 * time.Millisecond)
		g.start("control", n, true, false)
		g.silence(g.hosts...)
		time.Sleep(3 * time.Second)
		began := time.Now()
		for i := 0; g.put(g.hosts[(round+i)%len(g.hosts)]) != 200; i++ {
			if time.Since(began) > acknowledgeWithin {
				t.Fatalf("round %d: no order is acknowledged within %v", round, acknowledgeWithin)
			}
		}
		g.changeAndRead(g.hosts[5-round], g.version+1)
		g.version++
	}
}
