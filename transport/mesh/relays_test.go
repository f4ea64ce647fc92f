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
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"google.golang.org/grpc"
)

// region is a fleet of entries in data centres that are told through relays. Links
// between two data centres can be cut.
type region struct {
	nodes map[string][]*node // by data centre

	mu  sync.Mutex
	at  map[string]string // data centre of an address
	cut map[[2]string]bool
}

func newRegion(t *testing.T, dataCentres ...string) *region {
	t.Helper()
	r := &region{nodes: make(map[string][]*node), at: make(map[string]string), cut: make(map[[2]string]bool)}
	var seeds []string
	incarnation := uint64(0)
	for _, dataCentre := range dataCentres {
		for i := range fanout.MaxDirectProcesses + 1 {
			incarnation++
			record := &wire.ProcessRecord{Name: fmt.Sprintf("%s-%d", dataCentre, i), DataCentre: dataCentre, Incarnation: incarnation, Entry: true}
			n := startWith(t, "127.0.0.1:0", record, func(address string) (*grpc.ClientConn, error) { return r.dial(dataCentre, address) }, seeds...)
			r.mu.Lock()
			r.at[n.address] = dataCentre
			r.mu.Unlock()
			r.nodes[dataCentre] = append(r.nodes[dataCentre], n)
			seeds = []string{r.nodes[dataCentres[0]][0].address}
		}
	}
	for _, dataCentre := range dataCentres {
		for _, n := range r.nodes[dataCentre] {
			until(t, "all know each other and have relays", func() bool {
				return n.mesh.EntryCount() == int(incarnation) && n.relaysInUse() == len(dataCentres)-1
			})
		}
	}
	return r
}

func (r *region) dial(from, address string) (*grpc.ClientConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut[[2]string{from, r.at[address]}] {
		return nil, errors.New("cut")
	}
	return link.Dial(address, link.Security{})
}

// sever cuts two data centres from each other.
func (r *region) sever(a, b string) {
	r.mu.Lock()
	r.cut[[2]string{a, b}], r.cut[[2]string{b, a}] = true, true
	r.mu.Unlock()
	for _, dataCentre := range []string{a, b} {
		for _, n := range r.nodes[dataCentre] {
			n.mesh.mu.Lock()
			for address, l := range n.mesh.links {
				if r.at[address] != dataCentre && (r.at[address] == a || r.at[address] == b) {
					l.close()
					delete(n.mesh.links, address)
				}
			}
			n.mesh.mu.Unlock()
		}
	}
}

func (n *node) linked() int {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	return len(n.mesh.links)
}

func (n *node) relaysInUse() int {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	return len(n.mesh.relays)
}

func (n *node) relayOf(dataCentre string) string {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	if l := n.mesh.relays[dataCentre]; l != nil {
		return l.address
	}
	return ""
}

// announce makes an endpoint known through a node and waits until all know it.
func (r *region) announce(t *testing.T, n *node, id, dataCentre string) {
	t.Helper()
	n.directory.Announce(&wire.EndpointRecord{Id: id, BornMs: 1, Sequence: 1, Service: "s", Address: id, DataCentre: dataCentre, Slots: 4})
	for _, nodes := range r.nodes {
		for _, other := range nodes {
			until(t, "the endpoint "+id+" is known", func() bool { return other.knows(id) })
		}
	}
}

func (n *node) knows(id string) bool {
	for _, e := range n.directory.Endpoints("s") {
		if e.ID == id {
			return true
		}
	}
	return false
}

var engine = &catalogue.Engine{Slots: 8, MemoryTokens: 1e6, StepsPerPass: 34, StepMs: 1, PrefillTokensPerMs: 100, ChunkTokens: 2048, MeanOutputTokens: 1000}

// choose opens work with a prompt on an endpoint.
func (n *node) choose(t *testing.T, id string, prompt int) *placement.Handle {
	t.Helper()
	plan := n.book.Choose(n.directory.Endpoints("s"), &placement.Request{
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
	shortPrompt = 1000  // tokens, told in its data centre
	longPrompt  = 50000 // tokens, told everywhere
)

func others(nodes []*node, n int) func() bool {
	return func() bool {
		for _, node := range nodes {
			if node.book.Stats().Remote != n {
				return false
			}
		}
		return true
	}
}

func TestNewsReachesTheDataCentresThatItConcerns(t *testing.T) {
	r := newRegion(t, "a", "b", "c")
	from := r.nodes["a"][3]
	r.announce(t, from, "in-b", "b")
	r.announce(t, r.nodes["c"][2], "in-a", "a")

	short := from.choose(t, "in-a", shortPrompt)
	until(t, "the short prompt is known in its data centre", others(r.nodes["a"][4:], 1))
	until(t, "it is reported elsewhere in sums", func() bool {
		for _, n := range append(r.nodes["b"], r.nodes["c"]...) {
			if n.book.ReportedAnswers() != 1 || n.book.Stats().Remote != 0 {
				return false
			}
		}
		return true
	})
	leaving := from.choose(t, "in-b", shortPrompt)
	until(t, "a short prompt that leaves its data centre is told everywhere", others(r.nodes["c"], 1))
	long := from.choose(t, "in-a", longPrompt)
	for _, dataCentre := range []string{"b", "c"} {
		until(t, "the long prompt too", others(r.nodes[dataCentre], 2))
	}
	short.Close()
	leaving.Close()
	long.Close()
	until(t, "the sums are empty again", func() bool { return r.nodes["c"][0].book.ReportedAnswers() == 0 })
	for _, dataCentre := range []string{"b", "c"} {
		until(t, "the ends are known", others(r.nodes[dataCentre], 0))
	}
	for _, nodes := range r.nodes {
		for _, n := range nodes {
			until(t, "links that are not needed are closed", func() bool {
				return n.linked() <= fanout.MaxDirectProcesses+2*fanout.RelaysPerDataCentre+1 // and a seed
			})
		}
	}
}

func TestALostRelayIsReplaced(t *testing.T) {
	r := newRegion(t, "a", "b")
	from := r.nodes["a"][1]
	r.announce(t, from, "in-a", "a")
	if f := from.mesh.Stats(); f.LinksByRole["relay"] != 1 || f.LinksByRole["spare"] != 1 || f.UnreachableDataCentres != 0 {
		t.Errorf("links %+v", f)
	}
	lost := from.relayOf("b")
	var left []*node
	for _, n := range r.nodes["b"] {
		if n.address == lost {
			n.stop()
			continue
		}
		left = append(left, n)
	}
	from.choose(t, "in-a", longPrompt) // told to the relay that is gone, perhaps
	until(t, "another relay is in use", func() bool { return from.relayOf("b") != "" && from.relayOf("b") != lost })
	until(t, "the work is known though its news was lost", others(left, 1))
}

func TestNewsGoesRoundACutBetweenTwoDataCentres(t *testing.T) {
	r := newRegion(t, "a", "b", "c")
	r.sever("a", "c")
	for _, dataCentre := range []string{"a", "c"} {
		for _, n := range r.nodes[dataCentre] {
			until(t, "the relays behind the cut are given up", func() bool { return n.relaysInUse() == 1 })
		}
	}
	from := r.nodes["a"][2]
	r.announce(t, from, "in-a", "a")
	handle := from.choose(t, "in-a", longPrompt)
	until(t, "the work is known behind the cut", others(r.nodes["c"], 1))
	handle.Close()
	until(t, "its end too", others(r.nodes["c"], 0))
}

func TestARelayThatTellsNothingIsMendedByWholeAccounts(t *testing.T) {
	r := newRegion(t, "a", "b")
	from, to := r.nodes["a"][1], r.nodes["b"][4]
	r.announce(t, from, "in-a", "a")
	work := &wire.WorkEvent{Step: wire.WorkStep_WORK_STEP_OPEN, Work: 99, Endpoints: []uint64{7}, ReadUs: 1e6, LimitMs: 60000}
	to.book.ApplyRemote(from.mesh.self.Incarnation, []*wire.WorkEvent{work})
	if n := to.book.Stats().Remote; n != 1 {
		t.Fatalf("%d pieces of work are known", n)
	}
	until(t, "work whose end was never told is dropped", others([]*node{to}, 0))
}

func TestRolesHaveNames(t *testing.T) {
	for _, role := range []linkRole{roleKnown, roleNear, roleRelay, roleSpare} {
		if name := role.String(); name == "" || strings.ToLower(name) != name {
			t.Errorf("role %d is called %q", role, name)
		}
	}
}
