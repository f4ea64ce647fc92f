package mesh

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
	"google.golang.org/grpc"
)

const waitTimeout = 30 * time.Second // far longer than a passing run takes

// node is one process of a mesh on loopback.
type node struct {
	mesh      *Mesh
	store     *statecache.Store
	directory *directory.Directory
	scheduler *placement.Scheduler
	parts     *quarantine.Tracker
	address   string
	port      *loopback.Kept
	stop      func()
	still     sync.RWMutex // held while the process stands still; see standStill
}

// standStill keeps a process from handling what it receives until the returned function
// is called.
func (n *node) standStill() (wake func()) {
	n.still.Lock()
	return n.still.Unlock
}

// pausableServer is the mesh server of a node that can stand still.
type pausableServer struct {
	*Mesh
	node *node
}

// Exchange implements wire.MeshServer.
func (p *pausableServer) Exchange(stream wire.Mesh_ExchangeServer) error {
	return p.Mesh.Exchange(&pausableStream{stream, p.node})
}

type pausableStream struct {
	wire.Mesh_ExchangeServer
	node *node
}

// Recv returns the next frame, not while the node stands still.
func (p *pausableStream) Recv() (*wire.MeshFrame, error) {
	frame, err := p.Mesh_ExchangeServer.Recv()
	p.node.still.RLock()
	defer p.node.still.RUnlock()
	return frame, err
}

func decode(text []byte) (*catalogue.Catalogue, error) {
	var m struct{ Version uint64 }
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	return catalogue.Build(&catalogue.Catalogue{Version: m.Version})
}

func start(t *testing.T, name string, incarnation uint64, seeds ...string) *node {
	t.Helper()
	return startAt(t, loopback.KeepFor(t), &wire.ProcessRecord{Name: name, Incarnation: incarnation, Entry: true}, seeds...)
}

// startAt starts a process that listens on a port, and sets the address in its record.
func startAt(t *testing.T, port *loopback.Kept, record *wire.ProcessRecord, seeds ...string) *node {
	t.Helper()
	return startWith(t, port, record, func(address string) (*grpc.ClientConn, error) { return link.Dial(address, link.Security{}) }, seeds...)
}

func startWith(t *testing.T, port *loopback.Kept, record *wire.ProcessRecord, dial func(string) (*grpc.ClientConn, error), seeds ...string) *node {
	t.Helper()
	listener := port.Listen()
	n := &node{port: port, store: statecache.NewStore(), directory: directory.New(), scheduler: placement.NewScheduler(time.Now), parts: quarantine.NewTracker(monotonic.Now), address: port.Address()}
	record.Address = n.address
	n.mesh = New(Options{
		Self:   record,
		Seeds:  seeds,
		Dial:   dial,
		Decode: decode,
	}, n.store, n.directory, n.scheduler, n.parts)
	server := link.NewServer(link.Security{})
	wire.RegisterMeshServer(server, &pausableServer{n.mesh, n})
	go func() { _ = server.Serve(listener) }() // returns when the server is stopped
	ctx, cancel := context.WithCancel(t.Context())
	go n.mesh.Run(ctx)
	n.stop = func() {
		cancel()
		server.Stop()
	}
	t.Cleanup(n.stop)
	return n
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timed out waiting: %s", what)
}

func newState(t *testing.T, index uint64, text string) *catalogue.State {
	t.Helper()
	change, err := catalogue.Pack(index, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s, err := catalogue.FromWire(&wire.CatalogueState{Index: index, Content: change.Content, Digest: change.Digest}, nil, decode)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Processes that share one seed discover each other, and an update that one of them
// receives reaches all.
func TestProcessesDiscoverEachOtherAndShareUpdates(t *testing.T) {
	a := start(t, "a", 1)
	b := start(t, "b", 2, a.address)
	c := start(t, "c", 3, a.address)
	for _, n := range []*node{a, b, c} {
		waitUntil(t, "all three entries are known", func() bool { return n.mesh.EntryCount() == 3 })
	}
	b.directory.Announce(&wire.EndpointRecord{Id: "e1", BornMs: 1, Sequence: 1, Service: "s", Address: "10.0.0.1:80"})
	waitUntil(t, "the endpoint is known everywhere", func() bool { return a.directory.CountEndpoints() == 1 && c.directory.CountEndpoints() == 1 })
	d := start(t, "d", 4, a.address)
	waitUntil(t, "a process that starts later knows it too", func() bool { return d.directory.CountEndpoints() == 1 })

	endpoints := b.directory.Endpoints("s")
	service := &catalogue.Service{Name: "s"}
	plan := b.scheduler.Choose(endpoints, &placement.Request{
		Service: service, TimeLimit: time.Minute, CallerTimeout: time.Second, Excluded: func(*directory.Endpoint) bool { return false },
	})
	waitUntil(t, "all processes know the work", func() bool { return a.scheduler.Stats().Remote == 1 && d.scheduler.Stats().Remote == 1 })
	plan.Handle.Close()
	waitUntil(t, "all processes know its end", func() bool { return a.scheduler.Stats().Remote == 0 && d.scheduler.Stats().Remote == 0 })
}

// The other entries remove the work of an entry that has stopped.
func TestWorkOfALostEntryIsRemoved(t *testing.T) {
	a := start(t, "a", 1)
	b := start(t, "b", 2, a.address)
	waitUntil(t, "they know each other", func() bool { return a.mesh.EntryCount() == 2 && b.mesh.EntryCount() == 2 })
	b.directory.Announce(&wire.EndpointRecord{Id: "e1", BornMs: 1, Sequence: 1, Service: "s", Address: "10.0.0.1:80"})
	b.scheduler.Choose(b.directory.Endpoints("s"), &placement.Request{
		Service: &catalogue.Service{Name: "s"}, TimeLimit: time.Hour, CallerTimeout: time.Second, Excluded: func(*directory.Endpoint) bool { return false },
	})
	waitUntil(t, "the work is known", func() bool { return a.scheduler.Stats().Remote == 1 })
	b.stop()
	waitUntil(t, "the work is removed", func() bool { return a.scheduler.Stats().Remote == 0 })
}

// The state is forwarded along a chain of processes, with the time since it was confirmed.
func TestStateAndItsAgeAreForwarded(t *testing.T) {
	a := start(t, "a", 1)
	b := start(t, "b", 2, a.address)
	c := start(t, "c", 3, b.address)
	a.store.Update(newState(t, 5, `{"Version":5}`), "test")
	for _, n := range []*node{b, c} {
		waitUntil(t, "the state arrives", func() bool { return n.store.State().Index == 5 && n.store.State().Version() == 5 })
	}
	if c.store.ConfirmedWithin(time.Hour) {
		t.Error("a state that was never confirmed counts as fresh")
	}
	confirmed := monotonic.Now()
	a.store.Confirm(5, confirmed)
	waitUntil(t, "the confirmation arrives", func() bool { return c.store.ConfirmedWithin(time.Hour) })
	if age, _ := c.store.Age(); age < monotonic.Since(confirmed)-time.Millisecond {
		t.Errorf("the copy has the age %v, the state was confirmed %v ago", age, monotonic.Since(confirmed))
	}
	a.store.Update(newState(t, 9, `{"Version":9}`), "test")
	waitUntil(t, "the next state arrives", func() bool { return c.store.State().Index == 9 })
}

// Two processes whose only seed starts after them get their process lists from it.
func TestProcessesDiscoverEachOtherThroughALateSeed(t *testing.T) {
	port := loopback.KeepFor(t)
	seed := port.Address()
	first := start(t, "first", 1, seed)
	second := start(t, "second", 2, seed)
	if first.mesh.SeedsSynced() || second.mesh.SeedsSynced() {
		t.Fatal("a seed that does not run counts as synced")
	}
	startAt(t, port, &wire.ProcessRecord{Name: "seed", Incarnation: 3}, seed)
	for _, n := range []*node{first, second} {
		waitUntil(t, "the seed has synced", n.mesh.SeedsSynced)
	}
	waitUntil(t, "one of the two knows the other", func() bool {
		return len(first.directory.Processes()) == 3 || len(second.directory.Processes()) == 3
	})
}

// The work of an entry is published to another entry, but not to the control process that
// is the seed of both.
func TestWorkIsPublishedToEntriesOnly(t *testing.T) {
	control := startAt(t, loopback.KeepFor(t), &wire.ProcessRecord{Name: "control", Incarnation: 1})
	one, other := start(t, "one", 2, control.address), start(t, "other", 3, control.address)
	for _, n := range []*node{control, one, other} {
		waitUntil(t, "all are known", func() bool { return len(n.directory.Processes()) == 3 })
	}
	one.directory.Announce(&wire.EndpointRecord{Id: "e1", BornMs: 1, Sequence: 1, Service: "s", Address: "10.0.0.1:80", Slots: 4})
	plan := one.scheduler.Choose(one.directory.Endpoints("s"), &placement.Request{
		Service: &catalogue.Service{Name: "s"}, TimeLimit: time.Minute, Excluded: func(*directory.Endpoint) bool { return false },
	})
	if plan == nil {
		t.Fatal("no endpoint was chosen")
	}
	waitUntil(t, "the other entry knows of the work", func() bool { return other.scheduler.Stats().Remote == 1 })
	waitUntil(t, "the control process knows the endpoint", func() bool { return control.directory.CountEndpoints() == 1 })
	if n := control.scheduler.Stats().Remote; n != 0 {
		t.Errorf("the control process got %d work items", n)
	}
}

// Other processes connect to a restarted process at once, without waiting for their redial
// delay, and send it the work in flight.
func TestRestartedProcessGetsAllWorkAtOnce(t *testing.T) {
	a := start(t, "a", 1)
	a.mesh.redialDelay = time.Hour
	b := startAt(t, loopback.KeepFor(t), &wire.ProcessRecord{Name: "b", Incarnation: 2, Entry: true}, a.address)
	waitUntil(t, "they know each other", func() bool { return a.mesh.EntryCount() == 2 && b.mesh.EntryCount() == 2 })
	a.directory.Announce(&wire.EndpointRecord{Id: "e1", BornMs: 1, Sequence: 1, Service: "s", Address: "10.0.0.1:80"})
	a.scheduler.Choose(a.directory.Endpoints("s"), &placement.Request{
		Service: &catalogue.Service{Name: "s"}, TimeLimit: time.Hour, CallerTimeout: time.Second, Excluded: func(*directory.Endpoint) bool { return false },
	})
	waitUntil(t, "the work is known", func() bool { return b.scheduler.Stats().Remote == 1 })
	b.stop()
	waitUntil(t, "the link is lost", func() bool {
		l := a.mesh.linkAt(b.address)
		l.mu.Lock()
		defer l.mu.Unlock()
		return !l.up
	})
	restarted := startAt(t, b.port, &wire.ProcessRecord{Name: "b", Incarnation: 3, Entry: true}, a.address)
	waitUntil(t, "the restarted process knows the work", func() bool { return restarted.scheduler.Stats().Remote == 1 })
}

// linkAt returns the link to an address, nil if there is none.
func (m *Mesh) linkAt(address string) *outLink {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[address]
}

// A process whose state is not fresh cannot serve. A notice that the state is fresh again
// makes it send a ping at once, but does not make its state fresh by itself.
func TestFreshStateNoticeTriggersAPing(t *testing.T) {
	store := statecache.NewStore()
	m := New(Options{Self: &wire.ProcessRecord{Name: "a"}}, store, directory.New(), placement.NewScheduler(time.Now), quarantine.NewTracker(monotonic.Now))
	m.ctx = t.Context()
	l := newOutLink(m, "127.0.0.1:1")
	l.setUp(true)
	notice := &wire.MeshPong{Current: true}
	l.handlePong(notice, func() { t.Error("a notice counts as the pong to a ping") })
	if store.IsFresh() {
		t.Error("a notice made the state fresh")
	}
	if frame := l.nextFrame(false); frame == nil || frame.Ping == nil || len(l.wake) != 1 {
		t.Errorf("no ping is due: %v", frame)
	}
	store.Confirm(0, monotonic.Now())
	l.handlePong(notice, func() {})
	if frame := l.nextFrame(false); frame != nil {
		t.Errorf("a process whose state is fresh sends a ping: %v", frame)
	}
}

// What an endpoint has stated to one entry must be known to all, also to one that is
// started later and has never heard the endpoint.
func TestRateLimitReachesAllEntries(t *testing.T) {
	a := start(t, "a", 1)
	b := start(t, "b", 2, a.address)
	waitUntil(t, "they know each other", func() bool { return a.mesh.EntryCount() == 2 && b.mesh.EntryCount() == 2 })
	key := directory.KeyOf("e1", 1)
	a.scheduler.RecordRateLimit(key, 1.6, time.Now())
	waitUntil(t, "the other entry knows the limit", func() bool { return b.scheduler.RateLimit(key) == 1.6 })
	a.stop()
	c := start(t, "c", 3, b.address)
	waitUntil(t, "an entry that starts later knows it too", func() bool { return c.scheduler.RateLimit(key) == 1.6 })
	c.scheduler.RecordRateLimit(key, placement.Unlimited, time.Now().Add(time.Second))
	waitUntil(t, "its end is known", func() bool { return b.scheduler.RateLimit(key) == placement.Unlimited })
}
