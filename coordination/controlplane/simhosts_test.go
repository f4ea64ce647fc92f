package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/state/wal"
	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"google.golang.org/grpc"
)

const (
	simFolder = "/data"
	// reopenPause is dataFolderRetryInterval of package role/host.
	reopenPause = time.Second
	// newGroupVoters is the number of voters that a new simulated group needs.
	newGroupVoters = 3
)

// simFleet is a fleet of control processes in virtual time, on simulated disks and links.
type simFleet struct {
	disks  int // number of hosts with a disk, which are the first ones
	hosts  []*simHost
	links  *simLinks
	mu     sync.Mutex // guards random and counts
	random *rand.Rand
	counts map[string]int
}

// simHost is a host with one control process.
type simHost struct {
	fleet   *simFleet
	address string
	disk    *simDisk // nil without one
	process atomic.Pointer[simProcess]
	found   bool // the process may create a group
	kill    context.CancelFunc
	ended   chan struct{} // closed when the process that was started last has ended
}

// simProcess is what a control process wires anew whenever its replica ends.
type simProcess struct {
	service *Service
	server  wire.SteeringServer
	replica *replica.Replica // nil without one
	machine *catalogue.Machine
}

func newSimFleet(seed uint64, disks, others int) *simFleet {
	f := &simFleet{disks: disks, random: rand.New(rand.NewPCG(seed, seed)), counts: map[string]int{}}
	f.links = newSimLinks(f)
	for n := range disks + others {
		h := &simHost{fleet: f, address: fmt.Sprint("host-", n), found: n < disks}
		if n < disks {
			h.disk = newSimDisk(f.random)
		}
		f.hosts = append(f.hosts, h)
	}
	return f
}

// intN returns a random number in [0,n).
func (f *simFleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *simFleet) count(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[what]++
}

func (f *simFleet) host(address string) *simHost {
	for _, h := range f.hosts {
		if h.address == address {
			return h
		}
	}
	return nil
}

// otherVoters returns the addresses of the hosts with a disk other than address.
func (f *simFleet) otherVoters(address string) (addresses []string) {
	for _, h := range f.hosts[:f.disks] {
		if h.address != address {
			addresses = append(addresses, h.address)
		}
	}
	return addresses
}

// start starts a host's process.
func (h *simHost) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.kill, h.ended = cancel, make(chan struct{})
	go func() {
		defer close(h.ended)
		h.run(ctx)
	}()
}

// losePower ends a host's process at once. Its disk keeps what is synced, and a random part
// of the rest.
func (h *simHost) losePower() {
	if h.disk != nil {
		h.disk.with(func(fs *faultfs.FS) { fs.CrashAt = fs.CrashPoints() + 1 })
		h.disk.stall(time.Time{})
	}
	h.process.Store(nil)
	h.kill()
	<-h.ended
	if h.disk != nil {
		h.disk.with(func(fs *faultfs.FS) { fs.Restart() })
	}
}

// run does what RunControl of package role/host does.
func (h *simHost) run(ctx context.Context) {
	found := h.found
	for ctx.Err() == nil {
		removed, err := h.serve(ctx, found, false)
		if ctx.Err() != nil {
			return
		}
		if removed {
			h.fleet.count("removed replica")
			found = false
			_ = wal.Clear(simFolder, h.disk)
		} else if errors.Is(err, faultfs.ErrFull) {
			h.fleet.count("full disk")
		}
		h.serveWithoutReplica(ctx)
	}
}

// serveWithoutReplica serves until the data folder can be opened or ctx ends.
func (h *simHost) serveWithoutReplica(ctx context.Context) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	var waiting sync.WaitGroup
	defer waiting.Wait()
	waiting.Go(func() {
		defer end()
		h.awaitFolder(ctx)
	})
	_, _ = h.serve(ctx, false, true)
}

// awaitFolder returns when the data folder can be opened.
func (h *simHost) awaitFolder(ctx context.Context) {
	for wait.For(ctx, reopenPause) {
		if log, _, err := wal.Open(simFolder, h.disk, simEntropy{h.fleet}); err == nil {
			_ = log.Close()
			return
		}
	}
}

// serve serves with a replica, unless it is away, until ctx ends, or the replica does.
func (h *simHost) serve(ctx context.Context, found, away bool) (removed bool, err error) {
	store := statecache.NewStore()
	p := &simProcess{machine: catalogue.NewMachine(decodeSim, func(s *catalogue.State) { store.Update(s, "log") })}
	if h.disk != nil && !away {
		if p.replica, err = h.openReplica(p.machine, found); err != nil {
			return false, err
		}
	}
	established := p.replica != nil && len(activeVoters(p.replica.Status())) >= newGroupVoters
	p.service = New(Options{
		Address: h.address, Replica: p.replica, StateMachine: p.machine, Store: store,
		Connections:    &simPool{links: h.fleet.links, from: h.address, conns: map[string]*simConn{}},
		PeerAddresses:  func() []string { return h.fleet.otherVoters(h.address) },
		SinceLastHeard: func() map[string]time.Duration { return h.fleet.links.silence(h.address) },
		BootstrapVoters: func() int {
			if !found || established {
				return 0
			}
			return newGroupVoters
		},
		Metrics: metrics.New(),
	})
	p.server = p.service.Server()
	ctx, end := context.WithCancel(ctx)
	defer end()
	h.process.Store(p)
	defer h.process.CompareAndSwap(p, nil)
	if p.replica == nil {
		<-ctx.Done()
		return false, nil
	}
	var running sync.WaitGroup
	running.Go(func() { p.service.Run(ctx) })
	replicaEnded := make(chan error, 1)
	running.Go(func() { replicaEnded <- p.replica.Run(ctx) })
	select {
	case err = <-replicaEnded:
	case <-p.service.Removed():
		removed = true
	case <-ctx.Done():
	}
	end()
	running.Wait()
	return removed, err
}

func (h *simHost) openReplica(m *catalogue.Machine, found bool) (*replica.Replica, error) {
	return replica.Open(replica.Options{
		DataFolder: simFolder, Address: h.address, FileSystem: h.disk, StateMachine: m, Bootstrap: found,
		FindPeers: func() ([]string, bool) { return h.fleet.otherVoters(h.address), true },
		Dial: func(to string) (grpc.ClientConnInterface, error) {
			return h.fleet.links.connect(h.address, to), nil
		},
		MinVoters:               func() int { return newGroupVoters },
		SnapshotIntervalEntries: 12, KeptEntries: 4, Random: h.fleet.intN, Entropy: simEntropy{h.fleet},
	})
}

// simEntropy is the source of replica IDs.
type simEntropy struct{ fleet *simFleet }

// Read implements io.Reader.
func (e simEntropy) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = byte(e.fleet.intN(256))
	}
	return len(data), nil
}

// activeVoters returns the IDs of the voters that a replica knows.
func activeVoters(s replica.Status) (ids []string) {
	for _, m := range s.Members {
		if !m.Learner && !m.Removed {
			ids = append(ids, m.Id)
		}
	}
	return ids
}

// simText is the content of a simulated catalogue.
type simText struct {
	Version uint64
	Of      int // number of the operation that submitted it
}

func (s simText) encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return data
}

func decodeSim(text []byte) (*catalogue.Catalogue, error) {
	var s simText
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, err
	}
	return catalogue.Build(&catalogue.Catalogue{Version: s.Version})
}
