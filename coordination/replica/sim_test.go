package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/wal/faultfs"
	"google.golang.org/protobuf/proto"
)

// sim drives real replicas, without their goroutines, over a simulated network
// and simulated disks, and checks the invariants after every step.
type sim struct {
	t       interface{ Fatalf(string, ...any) }
	random  *rand.Rand
	nodes   []*simNode
	net     []*wire.PeerMessage
	blocked map[[2]string]bool // from and to address

	order    []string            // operations in the order of the log
	entries  map[uint64]string   // what was applied at each index
	terms    map[uint64]uint64   // term of the replica that applied it first
	leaders  map[uint64]string   // by term
	hosts    map[string]*simNode // by identity
	acked    []string
	refused  map[string]bool
	waiting  []*waiting
	reads    []*waiting
	config   []*wire.Member // newest applied anywhere
	configAt uint64
	proposed int
	counts   map[string]int
}

type simNode struct {
	sim     *sim
	address string
	fs      *faultfs.FS
	replica *Replica // nil while down
	lost    map[string]bool
	log     []string
	frozen  bool // takes no step; what is sent to it waits
	held    []*wire.PeerMessage
}

// running reports whether the replica can take a step.
func (n *simNode) running() bool { return n.replica != nil && !n.frozen }

type waiting struct {
	node  *simNode
	id    string
	acked int
	done  chan result
}

func newSim(t interface{ Fatalf(string, ...any) }, seed uint64, n int) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), blocked: map[[2]string]bool{},
		entries: map[uint64]string{}, terms: map[uint64]uint64{}, leaders: map[uint64]string{}, refused: map[string]bool{}, hosts: map[string]*simNode{}, counts: map[string]int{},
	}
	for i := range n {
		node := &simNode{sim: s, address: fmt.Sprint("host-", i), fs: faultfs.New(s.random.IntN), lost: map[string]bool{}}
		s.nodes = append(s.nodes, node)
		s.start(node)
	}
	bootstrapRequest{}.run(s.nodes[0].replica)
	s.process(s.nodes[0])
	return s
}

// Machine: each node's log of operations must be a prefix of the one order.

func (n *simNode) Apply(index uint64, c *wire.Command) any {
	id := c.GetApply().GetOperationId()
	n.sim.applied(index, n.replica.raft.Status().Term, id)
	n.log = append(n.log, id)
	n.checkPrefix()
	return len(n.log)
}

func (n *simNode) checkPrefix() {
	s := n.sim
	if len(n.log) > len(s.order) {
		s.order = append(s.order, n.log[len(s.order):]...)
	}
	if k := len(n.log); k > 0 && n.log[k-1] != s.order[k-1] {
		s.t.Fatalf("state machine safety: %s has %s at %d, another has %s", n.address, n.log[k-1], k, s.order[k-1])
	}
}

func (n *simNode) ApplyMembers(index uint64, members []*wire.Member) {
	if index > n.sim.configAt {
		n.sim.config, n.sim.configAt = members, index
	}
}

func (n *simNode) Snapshot() ([]byte, error) {
	data, err := proto.Marshal(&wire.Contract{Models: n.log})
	return data, err
}

func (n *simNode) Restore(data []byte) error {
	c := &wire.Contract{}
	if err := proto.Unmarshal(data, c); err != nil {
		return err
	}
	n.log = c.Models
	if !slices.Equal(n.log, n.sim.order[:len(n.log)]) {
		n.sim.t.Fatalf("%s restored another order", n.address)
	}
	return nil
}

// Read gives the identities of a run from its seed.
func (s *sim) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = byte(s.random.Uint32())
	}
	return len(data), nil
}

func (s *sim) start(n *simNode) {
	n.fs.Restart()
	n.log = nil
	r, err := Open(Options{
		DataFolder: "/data", Address: n.address, StateMachine: n, FileSystem: n.fs, Random: s.random.IntN, Entropy: s,
		SnapshotIntervalEntries: 12, KeptEntries: 4,
	})
	if err != nil {
		s.t.Fatalf("%s does not open: %v", n.address, err)
	}
	if n.lost[r.id] {
		s.t.Fatalf("%s came back under a lost identity", n.address)
	}
	r.send = func(messages []*wire.PeerMessage, _ []*wire.Member) {
		for _, m := range messages {
			s.net = append(s.net, proto.CloneOf(m))
		}
	}
	r.spawn = func(work func()) { work() }
	n.replica = r
	s.hosts[r.id] = n
	s.process(n)
}

func (s *sim) process(n *simNode) {
	if n.replica == nil {
		return
	}
	n.replica.raft.FlushReads()
	err := n.replica.process()
	if err == nil && n.replica.writing && s.random.IntN(3) == 0 {
		err = n.replica.useSnapshot(<-n.replica.written)
	}
	if err != nil {
		if !n.fs.Crashed() {
			s.t.Fatalf("%s failed: %v", n.address, err)
		}
		s.counts["crash at a disk operation"]++
		n.replica = nil
		return
	}
	s.check(n)
}

// wake ends a freeze; what waited arrives before the next tick.
func (s *sim) wake(n *simNode) {
	n.frozen = false
	s.net = append(n.held, s.net...)
	n.held = nil
}

func (s *sim) tick(n *simNode) {
	if !n.running() {
		return
	}
	n.replica.raft.Tick()
	n.replica.promoteLearners()
	s.process(n)
}

func (s *sim) propose(n *simNode) {
	if !n.running() {
		return
	}
	s.proposed++
	w := &waiting{node: n, id: fmt.Sprint("op-", s.proposed), done: make(chan result, 1)}
	proposal{ctx: context.Background(), command: command(w.id), done: w.done}.run(n.replica)
	s.waiting = append(s.waiting, w)
	s.process(n)
}

func (s *sim) read(n *simNode) {
	if !n.running() {
		return
	}
	w := &waiting{node: n, acked: len(s.acked), done: make(chan result, 1)}
	read{ctx: context.Background(), done: w.done}.run(n.replica)
	s.reads = append(s.reads, w)
	s.process(n)
}

// node returns the host of an identity, which may run under a newer one.
func (s *sim) node(id string) *simNode {
	if n := s.hosts[id]; n.replica != nil {
		return n
	}
	return nil
}

// deliver hands over message i; keep leaves a duplicate in the network.
func (s *sim) deliver(i int, keep bool) {
	m := s.net[i]
	if !keep {
		s.net = slices.Delete(s.net, i, i+1)
	}
	n := s.node(m.To)
	if n == nil || s.blocked[[2]string{m.FromAddress, n.address}] {
		return
	}
	if n.frozen {
		n.held = append(n.held, m)
		return
	}
	n.replica.step(proto.CloneOf(m))
	s.process(n)
}

// join asks the replica at to to admit the one at from, as the Join call does.
func (s *sim) join(from, to *simNode) {
	if !from.running() || !to.running() || from == to || s.blocked[[2]string{from.address, to.address}] {
		return
	}
	if from.replica.Status().Joined {
		return
	}
	change, err := admission(to.replica.raft.Status().Members, &wire.JoinRequest{Id: from.replica.id, Address: from.address})
	if err != nil || change == nil {
		return
	}
	memberRequest{ctx: context.Background(), change: change, done: make(chan result, 1)}.run(to.replica)
	s.process(to)
}

// mayLose reports whether a folder may be lost: the newest applied members are
// at least three voters, and no member of that list, or of a newer one that is
// not committed yet, has lost its folder before.
func (s *sim) mayLose() bool {
	for _, n := range s.nodes {
		if n.replica == nil {
			return false
		}
		st := n.replica.raft.Status()
		if st.MembersIndex > s.configAt && s.anyLost(st.Members) {
			return false
		}
	}
	return len(activeVoters(s.config)) >= 3 && !s.anyLost(s.config)
}

func (s *sim) anyLost(members []*wire.Member) bool {
	for _, m := range members {
		for _, n := range s.nodes {
			if !m.Removed && n.lost[m.Id] {
				return true
			}
		}
	}
	return false
}

func (s *sim) lose(n *simNode) {
	if !n.running() || !s.mayLose() {
		return
	}
	s.counts["lost folder"]++
	n.lost[n.replica.id] = true
	n.fs = faultfs.New(s.random.IntN)
	s.start(n)
}

// settle heals everything and runs until all replicas agree.
func (s *sim) settle() {
	clear(s.blocked)
	for round := range 4000 {
		for _, n := range s.nodes {
			n.fs.CrashAt = 0
			s.wake(n)
			if n.replica == nil {
				s.start(n)
			}
			s.tick(n)
			for _, to := range s.nodes {
				s.join(n, to)
			}
		}
		for len(s.net) > 0 {
			s.deliver(0, false)
		}
		if round > 100 && s.agreed() {
			return
		}
	}
	s.t.Fatalf("the replicas did not agree after the faults ended")
}

func (s *sim) agreed() bool {
	for _, n := range s.nodes {
		st := n.replica.raft.Status()
		if st.Leader == "" || len(n.log) != len(s.order) || st.Applied != s.nodes[0].replica.raft.Status().Applied {
			return false
		}
		if len(activeVoters(st.Members)) != len(s.nodes) {
			return false
		}
	}
	return true
}

func activeVoters(members []*wire.Member) []string {
	var ids []string
	for _, m := range members {
		if !m.Learner && !m.Removed {
			ids = append(ids, m.Id)
		}
	}
	return ids
}
