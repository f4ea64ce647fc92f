package mesh

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"google.golang.org/grpc"
)

const waitLimit = 30 * time.Second // far beyond what a sound run takes

// node is one process of a mesh on loopback.
type node struct {
	mesh      *Mesh
	store     *statecache.Store
	directory *directory.Directory
	book      *placement.Scheduler
	address   string
	stop      func()
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
	return startAt(t, "127.0.0.1:0", &wire.ProcessRecord{Name: name, Incarnation: incarnation, Entry: true}, seeds...)
}

// startAt starts a process at an address, which its record then holds.
func startAt(t *testing.T, address string, record *wire.ProcessRecord, seeds ...string) *node {
	t.Helper()
	return startWith(t, address, record, func(address string) (*grpc.ClientConn, error) { return link.Dial(address, link.Security{}) }, seeds...)
}

func startWith(t *testing.T, address string, record *wire.ProcessRecord, dial func(string) (*grpc.ClientConn, error), seeds ...string) *node {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	n := &node{store: statecache.NewStore(), directory: directory.New(), book: placement.NewScheduler(time.Now), address: listener.Addr().String()}
	record.Address = n.address
	n.mesh = New(Options{
		Self:   record,
		Seeds:  seeds,
		Dial:   dial,
		Decode: decode,
	}, n.store, n.directory, n.book)
	server := link.NewServer(link.Security{})
	wire.RegisterMeshServer(server, n.mesh)
	go func() { _ = server.Serve(listener) }() // ends when it is stopped
	ctx, cancel := context.WithCancel(t.Context())
	go n.mesh.Run(ctx)
	n.stop = func() {
		cancel()
		server.Stop()
	}
	t.Cleanup(n.stop)
	return n
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("waited in vain: %s", what)
}

func state(t *testing.T, index uint64, text string) *catalogue.State {
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

// Processes that know one seed find each other, and what one learns all learn.
func TestProcessesFindEachOtherAndSpreadNews(t *testing.T) {
	a := start(t, "a", 1)
	b := start(t, "b", 2, a.address)
	c := start(t, "c", 3, a.address)
	for _, n := range []*node{a, b, c} {
		until(t, "all three are known", func() bool { return n.mesh.EntryCount() == 3 })
	}
	b.directory.Announce(&wire.EndpointRecord{Id: "e1", BornMs: 1, Sequence: 1, Service: "s", Address: "10.0.0.1:80"})
	until(t, "the endpoint is known everywhere", func() bool { return a.directory.CountEndpoints() == 1 && c.directory.CountEndpoints() == 1 })
	d := start(t, "d", 4, a.address)
	until(t, "a process that comes later knows it too", func() bool { return d.directory.CountEndpoints() == 1 })

	endpoints := b.directory.Endpoints("s")
	service := &catalogue.Service{Name: "s"}
	plan := b.book.Choose(endpoints, &placement.Request{
		Service: service, TimeLimit: time.Minute, CallerTimeout: time.Second, Excluded: func(*directory.Endpoint) bool { return false },
	})
	until(t, "the work is in all books", func() bool { return a.book.Stats().Remote == 1 && d.book.Stats().Remote == 1 })
	plan.Handle.Close()
	until(t, "its end is too", func() bool { return a.book.Stats().Remote == 0 && d.book.Stats().Remote == 0 })
}

// The work of an entry that is gone is forgotten.
func TestWorkOfALostEntryIsForgotten(t *testing.T) {
	a := start(t, "a", 1)
	b := start(t, "b", 2, a.address)
	until(t, "they know each other", func() bool { return a.mesh.EntryCount() == 2 && b.mesh.EntryCount() == 2 })
	b.directory.Announce(&wire.EndpointRecord{Id: "e1", BornMs: 1, Sequence: 1, Service: "s", Address: "10.0.0.1:80"})
	b.book.Choose(b.directory.Endpoints("s"), &placement.Request{
		Service: &catalogue.Service{Name: "s"}, TimeLimit: time.Hour, CallerTimeout: time.Second, Excluded: func(*directory.Endpoint) bool { return false },
	})
	until(t, "the work is known", func() bool { return a.book.Stats().Remote == 1 })
	b.stop()
	until(t, "it is forgotten", func() bool { return a.book.Stats().Remote == 0 })
}

// The state travels along a chain, and so does how long ago it was confirmed.
func TestTheStateAndItsAgeTravel(t *testing.T) {
	a := start(t, "a", 1)
	b := start(t, "b", 2, a.address)
	c := start(t, "c", 3, b.address)
	a.store.Update(state(t, 5, `{"Version":5}`), "test")
	for _, n := range []*node{b, c} {
		until(t, "the state arrives", func() bool { return n.store.State().Index == 5 && n.store.State().Version() == 5 })
	}
	if c.store.ConfirmedWithin(time.Hour) {
		t.Error("a state that was never confirmed counts as current")
	}
	confirmed := monotonic.Now()
	a.store.Confirm(5, confirmed)
	until(t, "the confirmation arrives", func() bool { return c.store.ConfirmedWithin(time.Hour) })
	if age, _ := c.store.Age(); age < monotonic.Since(confirmed)-time.Millisecond {
		t.Errorf("a copy counts as confirmed %v ago, in truth it is %v", age, monotonic.Since(confirmed))
	}
	a.store.Update(state(t, 9, `{"Version":9}`), "test")
	until(t, "the next state arrives", func() bool { return c.store.State().Index == 9 })
}

// TestAProcessKnowsAllThroughItsSeeds starts three processes at one seed, which
// starts last.
func TestAProcessKnowsAllThroughItsSeeds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	seed := listener.Addr().String()
	_ = listener.Close()
	first := start(t, "first", 1, seed)
	second := start(t, "second", 2, seed)
	if first.mesh.SeedsSynced() || second.mesh.SeedsSynced() {
		t.Fatal("a seed was heard that does not run")
	}
	startAt(t, seed, &wire.ProcessRecord{Name: "seed", Incarnation: 3}, seed)
	for _, n := range []*node{first, second} {
		until(t, "the seed was heard", n.mesh.SeedsSynced)
	}
	until(t, "one of them knows the other", func() bool {
		return len(first.directory.Processes()) == 3 || len(second.directory.Processes()) == 3
	})
}

// TestWorkIsToldToEntriesOnly has a control process between two entries.
func TestWorkIsToldToEntriesOnly(t *testing.T) {
	control := startAt(t, "127.0.0.1:0", &wire.ProcessRecord{Name: "control", Incarnation: 1})
	one, other := start(t, "one", 2, control.address), start(t, "other", 3, control.address)
	for _, n := range []*node{control, one, other} {
		until(t, "all are known", func() bool { return len(n.directory.Processes()) == 3 })
	}
	one.directory.Announce(&wire.EndpointRecord{Id: "e1", BornMs: 1, Sequence: 1, Service: "s", Address: "10.0.0.1:80", Slots: 4})
	plan := one.book.Choose(one.directory.Endpoints("s"), &placement.Request{
		Service: &catalogue.Service{Name: "s"}, TimeLimit: time.Minute, Excluded: func(*directory.Endpoint) bool { return false },
	})
	if plan == nil {
		t.Fatal("no endpoint was chosen")
	}
	until(t, "the other entry knows of the work", func() bool { return other.book.Stats().Remote == 1 })
	until(t, "control knows what came with it", func() bool { return control.directory.CountEndpoints() == 1 })
	if n := control.book.Stats().Remote; n != 0 {
		t.Errorf("control was told of %d pieces of work", n)
	}
}

// A process that was started anew is linked to at once, however long the others
// would wait before their next dial, and is told the work in flight.
func TestAProcessThatWasStartedAnewIsToldAllWorkAtOnce(t *testing.T) {
	a := start(t, "a", 1)
	a.mesh.redial = time.Hour
	b := startAt(t, "127.0.0.1:0", &wire.ProcessRecord{Name: "b", Incarnation: 2, Entry: true}, a.address)
	until(t, "they know each other", func() bool { return a.mesh.EntryCount() == 2 && b.mesh.EntryCount() == 2 })
	a.directory.Announce(&wire.EndpointRecord{Id: "e1", BornMs: 1, Sequence: 1, Service: "s", Address: "10.0.0.1:80"})
	a.book.Choose(a.directory.Endpoints("s"), &placement.Request{
		Service: &catalogue.Service{Name: "s"}, TimeLimit: time.Hour, CallerTimeout: time.Second, Excluded: func(*directory.Endpoint) bool { return false },
	})
	until(t, "the work is known", func() bool { return b.book.Stats().Remote == 1 })
	b.stop()
	until(t, "the link is lost", func() bool {
		l := a.mesh.link(b.address)
		l.mu.Lock()
		defer l.mu.Unlock()
		return !l.up
	})
	again := startAt(t, b.address, &wire.ProcessRecord{Name: "b", Incarnation: 3, Entry: true}, a.address)
	until(t, "the process that was started anew knows the work", func() bool { return again.book.Stats().Remote == 1 })
}

func (m *Mesh) link(address string) *outLink {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[address]
}

// A notice that the state is confirmed again makes a process ask at once that
// could serve nobody meanwhile; it proves nothing by itself.
func TestANoticeOfAFreshStateIsAskedAbout(t *testing.T) {
	store := statecache.NewStore()
	m := New(Options{Self: &wire.ProcessRecord{Name: "a"}}, store, directory.New(), placement.NewScheduler(time.Now))
	m.ctx = t.Context()
	l := newOutLink(m, "127.0.0.1:1")
	l.setUp(true)
	notice := &wire.MeshPong{Current: true}
	l.pong(notice, func() { t.Error("a notice counts as an answer") })
	if store.IsFresh() {
		t.Error("a notice made the state fresh")
	}
	if frame := l.take(false); frame == nil || frame.Ping == nil || len(l.wake) != 1 {
		t.Errorf("no ping is due: %v", frame)
	}
	store.Confirm(0, monotonic.Now())
	l.pong(notice, func() {})
	if frame := l.take(false); frame != nil {
		t.Errorf("a process whose state is fresh asks again: %v", frame)
	}
}
