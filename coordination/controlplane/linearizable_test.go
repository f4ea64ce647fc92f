package controlplane

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

const (
	faultTime = 30 * time.Second // virtual time in which faults are caused
	// recoveryTime is the target recoveryS, within which all hosts answer again.
	recoveryTime = 12 * time.Second
	simClients   = 8
	gcPercent    = 1000
)

var (
	simSeeds     = flag.Int("linearizable.seeds", 2, "seeds of the simulated fleets")
	simFirstSeed = flag.Int("linearizable.first", 2, "first seed of the simulated fleets")
)

// simRun is a run of a simulated fleet with clients and faults.
type simRun struct {
	*simFleet
	history  *history
	random   *rand.Rand              // of the faults
	focus    atomic.Pointer[simHost] // that is read more often than others
	diskLost bool
}

// Guards against reads that return an older configuration than one that was acknowledged
// or read before, or other content, wherever they are made and whatever fails.
func TestReadsAreLinearizableUnderFaults(t *testing.T) {
	// The processes in a bubble leave much garbage and little else.
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	total := make(map[string]int)
	for seed := *simFirstSeed; seed < *simFirstSeed+*simSeeds; seed++ {
		s := newSimRun(uint64(seed))
		bubble.Run(t, func(t *testing.T) { s.run(t.Context()) })
		for _, what := range s.history.faults {
			t.Errorf("seed %d: %s", seed, what)
		}
		for what, n := range s.counts {
			total[what] += n
		}
	}
	t.Log(total)
	for _, what := range []string{"change", "read with a replica", "read without a replica", "read while its replica is away", "full disk",
		"power lost", "power lost everywhere", "silent connections", "connection replaced", "disk lost", "disk stalled", "transfer",
		"leader disturbed", "snapshot sent"} {
		if total[what] == 0 {
			t.Errorf("no run caused: %s", what)
		}
	}
}

// newSimRun returns a run with three or five disks, and two hosts without one.
func newSimRun(seed uint64) *simRun {
	s := &simRun{simFleet: newSimFleet(seed, 3+2*int(seed%2), 2), history: newHistory()}
	s.simFleet.random = rand.New(rand.NewPCG(seed, 1))
	s.random = rand.New(rand.NewPCG(seed, 2))
	s.links.usual = []time.Duration{time.Millisecond, 20 * time.Millisecond}[seed/2%2]
	return s
}

// run runs the fleet, its clients and the faults.
func (s *simRun) run(ctx context.Context) {
	for _, h := range s.hosts {
		h.start()
	}
	watch, endWatch := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { s.links.watch(watch) })
	s.awaitAll("the fleet has not started", true)
	calls, endCalls := context.WithCancel(ctx)
	for n := range simClients {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(n)))
		background.Go(func() { s.call(calls, random) })
	}
	s.injectFaults(faultTime / 2)
	s.heal()
	for began := time.Now(); !s.diskLost && time.Since(began) < recoveryTime; time.Sleep(confirmInterval) {
		s.loseDisk(s.hosts[s.random.IntN(s.disks)])
	}
	s.injectFaults(faultTime / 2)
	s.heal()
	s.awaitAll("not recovered", false)
	endCalls()
	s.awaitAll("without calls", false)
	endWatch()
	background.Wait()
	for _, h := range s.hosts {
		h.losePower()
	}
}

// injectFaults causes faults for a time.
func (s *simRun) injectFaults(d time.Duration) {
	for began := time.Now(); time.Since(began) < d; {
		s.injectFault()
		time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
	}
}

// awaitAll waits until every host answers a read, or has accepted a first change, for
// recoveryTime at most.
func (s *simRun) awaitAll(what string, change bool) {
	deadline := time.Now().Add(recoveryTime)
	for _, h := range s.hosts {
		for s.attempt(h, change, time.Second) != nil {
			if time.Now().After(deadline) {
				s.history.failf("%s: %s does not answer after %v", what, h.address, recoveryTime)
				return
			}
			time.Sleep(confirmInterval)
		}
	}
}

// call makes changes and reads at random hosts until ctx ends.
func (s *simRun) call(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		h, change := s.hosts[random.IntN(len(s.hosts))], random.IntN(3) == 0
		if focus := s.focus.Load(); focus != nil && random.IntN(3) == 0 {
			h, change = focus, false
		}
		limit := time.Duration(50+random.IntN(1000)) * time.Millisecond
		if random.IntN(4) == 0 {
			limit = time.Duration(1+random.IntN(20)) * time.Millisecond
		}
		_ = s.attempt(h, change, limit)
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// attempt makes one change or read at a host. All errors are allowed.
func (s *simRun) attempt(h *simHost, change bool, limit time.Duration) error {
	p := h.process.Load()
	if p == nil {
		return fault.New(fault.Internal, "%s is down", h.address)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	s.checkConfirmed(h, p)
	if change {
		return s.change(ctx, p)
	}
	start := s.history.begin()
	text, err := p.service.Read(ctx)
	if err != nil {
		s.count("read failed")
		return err
	}
	where := "without a replica"
	switch {
	case p.replica != nil:
		where = "with a replica"
	case h.disk != nil:
		where = "while its replica is away"
	}
	s.count("read " + where)
	s.history.end(fmt.Sprintf("%s %s", h.address, where), start, text)
	return nil
}

// change submits the next version, sometimes one that others submit too, or an older one,
// and sends some that were acknowledged again.
func (s *simRun) change(ctx context.Context, p *simProcess) error {
	version := s.history.begin().least + uint64(s.intN(3))
	if s.intN(8) == 0 {
		version -= min(version, uint64(s.intN(4)))
	}
	text := s.history.submit(version)
	for range 1 + s.intN(2) {
		start := s.history.begin()
		c, err := decodeSim(text.encode())
		if err == nil {
			err = p.service.Install(ctx, c, text.encode())
		}
		if fault.KindOf(err) == fault.Conflict {
			s.count("conflict")
			s.history.refuse(text, start.event)
		}
		if err != nil {
			s.count("change failed")
			return err
		}
		s.count("change")
		s.history.acknowledge(text)
	}
	return nil
}

// checkConfirmed checks the state that a process has confirmed.
func (s *simRun) checkConfirmed(h *simHost, p *simProcess) {
	now := monotonic.Now()
	if age, known := p.service.store.Age(); known {
		s.history.checkConfirmed(h.address, p.service.store.State().Version(), now.Add(-age))
	}
}

// injectFault causes or ends a random fault.
func (s *simRun) injectFault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	other := s.hosts[s.random.IntN(len(s.hosts))]
	disk := s.hosts[s.random.IntN(s.disks)]
	switch s.random.IntN(32) {
	case 0, 1, 2:
		s.fill(disk)
	case 3, 4, 5:
		disk.disk.with(func(fs *faultfs.FS) { fs.Full = false })
	case 6:
		s.count("disk stalled")
		disk.disk.stall(time.Now().Add(time.Duration(s.random.IntN(3000)) * time.Millisecond))
	case 7, 8:
		s.count("power lost")
		h.losePower()
		if s.random.IntN(2) == 0 {
			h.start()
		}
	case 9:
		s.count("power lost everywhere")
		for _, each := range s.hosts {
			each.losePower()
		}
		s.startAll()
	case 10, 11, 12:
		s.startAll()
	case 13, 14:
		s.count("silent connections")
		s.links.silenceAll()
	case 15:
		s.links.block(h.address, other.address)
	case 16:
		s.isolate(h, true, true)
	case 17, 18, 19:
		s.links.heal()
	case 20:
		s.links.slow(h.address, time.Duration(1+s.random.IntN(400))*time.Millisecond)
	case 21, 22:
		s.transfer()
	case 23:
		s.loseDisk(disk)
	default:
		s.disturbLeader()
	}
}

// leader returns the host whose replica leads in the highest term, or nil.
func (s *simRun) leader() (found *simHost) {
	var term uint64
	for _, h := range s.hosts {
		p := h.process.Load()
		if p == nil || p.replica == nil {
			continue
		}
		if status := p.replica.Status(); status.IsLeader && status.Term > term {
			found, term = h, status.Term
		}
	}
	return found
}

// disturbLeader cuts off the leader, its messages or those to it, or stalls its disk, and
// has it read often meanwhile.
func (s *simRun) disturbLeader() {
	l := s.leader()
	if l == nil {
		return
	}
	s.count("leader disturbed")
	s.focus.Store(l)
	kind, stall := s.random.IntN(7), time.Duration(500+s.random.IntN(700))*time.Millisecond
	if kind != 0 {
		s.isolate(l, kind != 1, kind != 2)
	}
	if kind == 0 || kind >= 4 {
		l.disk.stall(time.Now().Add(stall))
		time.Sleep(stall) // a leader that is cut off meanwhile goes on leading for a moment
	}
	time.Sleep(time.Duration(300+s.random.IntN(600)) * time.Millisecond)
	s.links.heal()
}

// isolate loses the messages from a host, to it, or both.
func (s *simRun) isolate(h *simHost, from, to bool) {
	for _, other := range s.hosts {
		if from {
			s.links.block(h.address, other.address)
		}
		if to {
			s.links.block(other.address, h.address)
		}
	}
}

// fill fills a host's disk for all or some of its files.
func (s *simRun) fill(h *simHost) {
	files := []string{"", "", "log-*", "snapshot-*", "log-*.tmp"}[s.random.IntN(5)]
	syncs := s.random.IntN(2) == 0
	h.disk.with(func(fs *faultfs.FS) { fs.Full, fs.FullFor, fs.FullSyncs = true, files, syncs })
}

// startAll starts the hosts that are down.
func (s *simRun) startAll() {
	for _, h := range s.hosts {
		if h.isDown() {
			h.start()
		}
	}
}

// isDown reports whether a host's process has ended.
func (h *simHost) isDown() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// transfer has the leader give up its leadership, as at a stop.
func (s *simRun) transfer() {
	l := s.leader()
	if l == nil {
		return
	}
	s.count("transfer")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if p := l.process.Load(); p != nil && p.replica != nil {
		_ = p.replica.TransferLeadership(ctx)
	}
}

// loseDisk replaces a host's disk by an empty one, once in a run, while all hosts with a
// disk run, vote and know each other.
func (s *simRun) loseDisk(h *simHost) {
	voters := make(map[string]bool)
	for _, each := range s.hosts[:s.disks] {
		p := each.process.Load()
		if s.diskLost || p == nil || p.replica == nil {
			return
		}
		voters[p.replica.ID()] = true
	}
	for _, each := range s.hosts[:s.disks] {
		known := make(map[string]bool)
		for _, id := range activeVoters(each.process.Load().replica.Status()) {
			known[id] = true
		}
		if !maps.Equal(voters, known) {
			return
		}
	}
	s.diskLost = true
	s.count("disk lost")
	h.losePower()
	h.disk = newSimDisk(s.random)
	h.start()
}

// heal ends all faults.
func (s *simRun) heal() {
	s.links.heal()
	for _, h := range s.hosts[:s.disks] {
		h.disk.with(func(fs *faultfs.FS) { fs.Full = false })
	}
	s.startAll()
}
