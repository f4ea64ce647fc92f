package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/apricotspoke/apricotspoke/coordination/raft"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
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
}

type waiting struct {
	node  *simNode
	id    string
	acked int
	done  chan result
}

func newSim(t interface{ Fatalf(string, ...any) }, seed uint64, n int) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), blocked: map[[2]string]bool{},
		entries: map[uint64]string{}, leaders: map[uint64]string{}, refused: map[string]bool{}, hosts: map[string]*simNode{}, counts: map[string]int{},
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
	n.sim.applied(index, id)
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

func (s *sim) applied(index uint64, what string) {
	if was, ok := s.entries[index]; ok && was != what {
		s.t.Fatalf("index %d was applied as %q and as %q", index, was, what)
	}
	s.entries[index] = what
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
		Folder: "/data", Address: n.address, Machine: n, Files: n.fs, Random: s.random.IntN, Entropy: s,
		SnapshotInterval: 12, KeptEntries: 4,
	})
	if err != nil {
		s.t.Fatalf("%s does not open: %v", n.address, err)
	}
	if n.lost[r.id] {
		s.t.Fatalf("%s came back under a lost identity", n.address)
	}
	r.send = func(messages []*wire.PeerMessage, _ []*wire.Member) {
		for _, m := range messages {
			s.net = append(s.net, proto.Clone(m).(*wire.PeerMessage))
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

func (s *sim) check(n *simNode) {
	s.answers()
	st := n.replica.raft.Status()
	if st.Role != raft.Leader {
		return
	}
	if was := s.leaders[st.Term]; was != "" && was != n.replica.id {
		s.t.Fatalf("election safety: two leaders in term %d", st.Term)
	}
	if s.leaders[st.Term] == "" {
		s.counts["leader elected"]++
		s.leaders[st.Term] = n.replica.id
		s.checkComplete(n, st)
	}
}

// checkComplete checks that a new leader holds whatever was ever applied.
func (s *sim) checkComplete(n *simNode, st raft.Status) {
	for index, what := range s.entries {
		if index > st.LastIndex {
			s.t.Fatalf("leader completeness: entry %d is beyond the log of %s, which ends at %d", index, n.address, st.LastIndex)
		}
		held := n.replica.raft.Entries(index)
		if index < st.FirstIndex || len(held) == 0 {
			continue
		}
		if c := decodeCommand(held[0]); c == nil || c.GetApply().GetOperationId() != what {
			s.t.Fatalf("leader completeness: %s holds another entry at %d", n.address, index)
		}
	}
}

func (s *sim) checkLogMatching() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[i+1:] {
			if a.replica != nil && b.replica != nil {
				s.checkPair(a, b)
			}
		}
	}
}

func (s *sim) checkPair(a, b *simNode) {
	agree := false
	ra, rb := a.replica.raft, b.replica.raft
	low := max(ra.Status().FirstIndex, rb.Status().FirstIndex)
	for i := min(ra.Status().LastIndex, rb.Status().LastIndex); i >= low && i > 0; i-- {
		ea, eb := ra.Entries(i)[0], rb.Entries(i)[0]
		if ea.Term == eb.Term {
			agree = true
		}
		if agree && !proto.Equal(ea, eb) {
			s.t.Fatalf("log matching: %s and %s differ at %d", a.address, b.address, i)
		}
	}
}

func (s *sim) answers() {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiting) bool {
		select {
		case a := <-w.done:
			s.answered(w, a.err)
			return true
		default:
			return false
		}
	})
	s.reads = slices.DeleteFunc(s.reads, func(w *waiting) bool {
		select {
		case a := <-w.done:
			if a.err == nil {
				s.counts["confirmed read"]++
				s.checkRead(w)
			}
			return true
		default:
			return false
		}
	})
}

func (s *sim) answered(w *waiting, err error) {
	if err == nil {
		s.acked = append(s.acked, w.id)
		s.counts["acknowledged"]++
	} else if fault.KindOf(err).NotRun() {
		s.refused[w.id] = true
	} else {
		s.counts["outcome unknown"]++
	}
}

// checkRead checks that a confirmed read sees all that was acknowledged before
// it was asked for.
func (s *sim) checkRead(w *waiting) {
	seen := make(map[string]bool)
	for _, id := range w.node.log {
		seen[id] = true
	}
	for _, id := range s.acked[:w.acked] {
		if !seen[id] {
			s.t.Fatalf("stale read: %s confirmed one without %s", w.node.address, id)
		}
	}
}

func (s *sim) tick(n *simNode) {
	if n.replica == nil {
		return
	}
	n.replica.raft.Tick()
	n.replica.promoteLearners()
	s.process(n)
}

func (s *sim) propose(n *simNode) {
	if n.replica == nil {
		return
	}
	s.proposed++
	w := &waiting{node: n, id: fmt.Sprint("op-", s.proposed), done: make(chan result, 1)}
	proposal{ctx: context.Background(), command: command(w.id), done: w.done}.run(n.replica)
	s.waiting = append(s.waiting, w)
	s.process(n)
}

func (s *sim) read(n *simNode) {
	if n.replica == nil {
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
	n.replica.step(proto.Clone(m).(*wire.PeerMessage))
	s.process(n)
}

// join asks the replica at to to admit the one at from, as the Join call does.
func (s *sim) join(from, to *simNode) {
	if from.replica == nil || to.replica == nil || from == to || s.blocked[[2]string{from.address, to.address}] {
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
	if n.replica == nil || !s.mayLose() {
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

func (s *sim) checkOutcome() {
	times := make(map[string]int)
	for _, id := range s.order {
		times[id]++
	}
	for _, id := range s.acked {
		if times[id] != 1 {
			s.t.Fatalf("acknowledged %s is there %d times", id, times[id])
		}
	}
	for id := range s.refused {
		if times[id] != 0 {
			s.t.Fatalf("refused %s was committed", id)
		}
	}
}
