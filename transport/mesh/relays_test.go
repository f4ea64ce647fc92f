package mesh

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/fanout"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
	"google.golang.org/grpc"
)

// testFleet is a fleet of entries in several data centres, which are large enough to reach
// each other through relays. Two data centres can be partitioned from each other.
type testFleet struct {
	nodes map[string][]*node // by data centre

	mu           sync.Mutex
	dataCentreOf map[string]string // by address
	partitioned  map[[2]string]bool
}

func newTestFleet(t *testing.T, dataCentres ...string) *testFleet {
	t.Helper()
	r := &testFleet{nodes: make(map[string][]*node), dataCentreOf: make(map[string]string), partitioned: make(map[[2]string]bool)}
	var seeds []string
	incarnation := uint64(0)
	for _, dataCentre := range dataCentres {
		for i := range fanout.MaxFullMeshProcesses + 1 {
			incarnation++
			record := &wire.ProcessRecord{Name: fmt.Sprintf("%s-%d", dataCentre, i), DataCentre: dataCentre, Incarnation: incarnation, Entry: true}
			n := startWith(t, loopback.KeepFor(t), record, func(address string) (*grpc.ClientConn, error) { return r.dial(dataCentre, address) }, seeds...)
			r.mu.Lock()
			r.dataCentreOf[n.address] = dataCentre
			r.mu.Unlock()
			r.nodes[dataCentre] = append(r.nodes[dataCentre], n)
			seeds = []string{r.nodes[dataCentres[0]][0].address}
		}
	}
	for _, dataCentre := range dataCentres {
		for _, n := range r.nodes[dataCentre] {
			waitUntil(t, "all entries know each other and have relays", func() bool {
				return n.mesh.EntryCount() == int(incarnation) && n.relayCount() == len(dataCentres)-1
			})
		}
	}
	return r
}

func (r *testFleet) dial(from, address string) (*grpc.ClientConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitioned[[2]string{from, r.dataCentreOf[address]}] {
		return nil, errors.New("partitioned")
	}
	return link.Dial(address, link.Security{})
}

// partition closes all links between two data centres and makes new ones fail.
func (r *testFleet) partition(a, b string) {
	r.mu.Lock()
	r.partitioned[[2]string{a, b}], r.partitioned[[2]string{b, a}] = true, true
	r.mu.Unlock()
	for _, dataCentre := range []string{a, b} {
		for _, n := range r.nodes[dataCentre] {
			n.mesh.mu.Lock()
			for address, l := range n.mesh.links {
				if r.dataCentreOf[address] != dataCentre && (r.dataCentreOf[address] == a || r.dataCentreOf[address] == b) {
					l.close()
					delete(n.mesh.links, address)
				}
			}
			n.mesh.mu.Unlock()
		}
	}
}

func (n *node) linkCount() int {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	return len(n.mesh.links)
}

func (n *node) relayCount() int {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	return len(n.mesh.relays)
}

func (n *node) relayTo(dataCentre string) string {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	if l := n.mesh.relays[dataCentre]; l != nil {
		return l.address
	}
	return ""
}

// announce announces an endpoint at a node and waits until all nodes know it.
func (r *testFleet) announce(t *testing.T, n *node, id, dataCentre string) {
	t.Helper()
	n.directory.Announce(&wire.EndpointRecord{Id: id, BornMs: 1, Sequence: 1, Service: "s", Address: id, DataCentre: dataCentre, Slots: 4})
	for _, nodes := range r.nodes {
		for _, other := range nodes {
			waitUntil(t, "the endpoint "+id+" is known", func() bool { return other.knowsEndpoint(id) })
		}
	}
}

func (n *node) knowsEndpoint(id string) bool {
	for _, e := range n.directory.Endpoints("s") {
		if e.ID == id {
			return true
		}
	}
	return false
}

var engine = &catalogue.Engine{Slots: 8, MemoryTokens: 1e6, StepsPerPass: 34, StepMs: 1, PrefillTokensPerMs: 100, ChunkTokens: 2048, MeanOutputTokens: 1000}

// openWork opens a work item on an endpoint for a prompt of the given tokens.
func (n *node) openWork(t *testing.T, id string, prompt int) *placement.Handle {
	t.Helper()
	plan := n.scheduler.Choose(n.directory.Endpoints("s"), &placement.Request{
		Service: &catalogue.Service{Name: "s", Engine: engine}, TimeLimit: time.Minute, CallerTimeout: time.Minute, ObjectiveLeft: time.Minute,
		Objective: time.Minute, PromptTokens: prompt, Credit: 10, DataCentre: n.mesh.options.Self.DataCentre,
		Excluded: func(e *directory.Endpoint) bool { return e.ID != id },
	})
	if plan == nil {
		t.Fatal("no endpoint was chosen")
	}
	return plan.Handle
}

const (
	shortPrompt = 1000  // tokens; its work is published within its data centre
	longPrompt  = 50000 // tokens; its work is published to all data centres
)

// haveRemoteWork returns a condition: each of the nodes knows n work items of other
// entries.
func haveRemoteWork(nodes []*node, n int) func() bool {
	return func() bool {
		for _, node := range nodes {
			if node.scheduler.Stats().Remote != n {
				return false
			}
		}
		return true
	}
}

func TestWorkReachesTheDataCentresThatItConcerns(t *testing.T) {
	r := newTestFleet(t, "a", "b", "c")
	from := r.nodes["a"][3]
	r.announce(t, from, "in-b", "b")
	r.announce(t, r.nodes["c"][2], "in-a", "a")

	short := from.openWork(t, "in-a", shortPrompt)
	waitUntil(t, "the short prompt's work is known in its data centre", haveRemoteWork(r.nodes["a"][4:], 1))
	waitUntil(t, "the other data centres get it in load reports", func() bool {
		for _, n := range append(r.nodes["b"], r.nodes["c"]...) {
			if n.scheduler.ReportedAnswers() != 1 || n.scheduler.Stats().Remote != 0 {
				return false
			}
		}
		return true
	})
	crossing := from.openWork(t, "in-b", shortPrompt)
	waitUntil(t, "the work of a short prompt sent to another data centre is known everywhere", haveRemoteWork(r.nodes["c"], 1))
	long := from.openWork(t, "in-a", longPrompt)
	for _, dataCentre := range []string{"b", "c"} {
		waitUntil(t, "the long prompt's work is known everywhere", haveRemoteWork(r.nodes[dataCentre], 2))
	}
	short.Close()
	crossing.Close()
	long.Close()
	waitUntil(t, "the load reports are empty again", func() bool { return r.nodes["c"][0].scheduler.ReportedAnswers() == 0 })
	for _, dataCentre := range []string{"b", "c"} {
		waitUntil(t, "the ends of the work are known", haveRemoteWork(r.nodes[dataCentre], 0))
	}
	for _, nodes := range r.nodes {
		for _, n := range nodes {
			waitUntil(t, "unused links are closed", func() bool {
				return n.linkCount() <= fanout.MaxFullMeshProcesses+2*fanout.RelaysPerDataCentre+1 // one more for a seed
			})
		}
	}
}

func TestLostRelayIsReplaced(t *testing.T) {
	r := newTestFleet(t, "a", "b")
	from := r.nodes["a"][1]
	r.announce(t, from, "in-a", "a")
	if f := from.mesh.Stats(); f.LinksByRole["relay"] != 1 || f.LinksByRole["spare"] != 1 || f.UnreachableDataCentres != 0 {
		t.Errorf("links %+v", f)
	}
	lostAddress := from.relayTo("b")
	var remaining []*node
	for _, n := range r.nodes["b"] {
		if n.address == lostAddress {
			n.stop()
			continue
		}
		remaining = append(remaining, n)
	}
	from.openWork(t, "in-a", longPrompt) // may be sent to the stopped relay
	waitUntil(t, "another relay is in use", func() bool { return from.relayTo("b") != "" && from.relayTo("b") != lostAddress })
	waitUntil(t, "the work is known although its event was lost", haveRemoteWork(remaining, 1))
}

func TestUpdatesDetourAroundAPartition(t *testing.T) {
	r := newTestFleet(t, "a", "b", "c")
	r.partition("a", "c")
	for _, dataCentre := range []string{"a", "c"} {
		for _, n := range r.nodes[dataCentre] {
			waitUntil(t, "the relays beyond the partition are no longer in use", func() bool { return n.relayCount() == 1 })
		}
	}
	from := r.nodes["a"][2]
	r.announce(t, from, "in-a", "a")
	handle := from.openWork(t, "in-a", longPrompt)
	waitUntil(t, "the work is known beyond the partition", haveRemoteWork(r.nodes["c"], 1))
	handle.Close()
	waitUntil(t, "its end is known beyond the partition", haveRemoteWork(r.nodes["c"], 0))
}

func TestFullWorkUpdatesCorrectLostEvents(t *testing.T) {
	r := newTestFleet(t, "a", "b")
	from, to := r.nodes["a"][1], r.nodes["b"][4]
	r.announce(t, from, "in-a", "a")
	work := &wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_OPEN, Work: 99, Endpoints: []uint64{7}, ReadUs: 1e6, LimitMs: 60000}
	to.scheduler.ApplyRemote(from.mesh.self.Incarnation, []*wire.WorkEvent{work})
	if n := to.scheduler.Stats().Remote; n != 1 {
		t.Fatalf("%d work items are known", n)
	}
	waitUntil(t, "work whose end event was lost is removed", haveRemoteWork([]*node{to}, 0))
}

func TestLinkRolesHaveNames(t *testing.T) {
	for _, role := range []linkRole{roleKnown, roleNear, roleRelay, roleSpare} {
		if name := role.String(); name == "" || strings.ToLower(name) != name {
			t.Errorf("role %d has the name %q", role, name)
		}
	}
}

func TestRateLimitReachesAllDataCentres(t *testing.T) {
	r := newTestFleet(t, "a", "b")
	from := r.nodes["a"][2]
	r.announce(t, from, "in-b", "b")
	key := from.directory.Endpoints("s")[0].Key
	from.scheduler.RecordRateLimit(key, 1.6, time.Now())
	for _, dataCentre := range []string{"a", "b"} {
		for _, n := range r.nodes[dataCentre] {
			waitUntil(t, "the limit is known", func() bool { return n.scheduler.RateLimit(key) == 1.6 })
		}
	}
}

// What one entry has seen of a part must reach the entries of all data centres, and one that
// starts later.
func TestSuspectPartsReachAllDataCentres(t *testing.T) {
	r := newTestFleet(t, "a", "b")
	from := r.nodes["a"][2]
	part := quarantine.Keys("s", []string{"bad"})
	standing := func(n *node) quarantine.Standing {
		s, _ := n.parts.Check(part)
		return s
	}
	from.parts.RecordEnd(quarantine.End{Service: "s", Parts: []string{"bad"}, Endpoint: 1, SentAt: from.parts.Now()})
	late := startAt(t, loopback.KeepFor(t), &wire.ProcessRecord{Name: "late", Incarnation: 999, Entry: true, DataCentre: "b"}, from.address)
	all := append([]*node{late}, append(r.nodes["a"], r.nodes["b"]...)...)
	for _, n := range all {
		waitUntil(t, "the suspect is known", func() bool { return standing(n) == quarantine.Unclear })
	}
	r.nodes["b"][0].parts.RecordSound(part)
	for _, n := range all {
		waitUntil(t, "the part is cleared", func() bool { return standing(n) == quarantine.Clear })
	}
}
