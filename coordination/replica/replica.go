// Package replica runs one replica of the control group: one goroutine owns the
// consensus core, the synced log and the state machine.
package replica

import (
	"context"
	cryptorand "crypto/rand"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/raft"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/wal"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"google.golang.org/grpc"
)

// StateMachine is the replicated state machine. Only the replica's goroutine calls it.
type StateMachine interface {
	// Apply executes a command; its result depends on the state and command only.
	Apply(index uint64, command *wire.Command) any
	// ApplyMembers takes the member list, in which removed identities stay for
	// a while, marked as such.
	ApplyMembers(index uint64, members []*wire.Member)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Options sets up a replica. Zero durations and counts take the defaults.
type Options struct {
	DataFolder string   // data folder
	Address    string   // address at which the others reach this replica
	Peers      []string // addresses of the group, this one may be among them
	// FindPeers, when set, is asked instead of Peers: it returns the addresses of the
	// processes that may hold a replica, and whether those through which all
	// learn of each other have been heard.
	FindPeers    func() (addresses []string, complete bool)
	Bootstrap    bool // found the group when none of them has one
	StateMachine StateMachine
	// Dial opens a connection that the replica owns and closes; it is not shared.
	Dial       func(address string) (grpc.ClientConnInterface, error)
	FileSystem wal.FileSystem // nil for the disk

	TickInterval            time.Duration
	HeartbeatTicks          int
	ElectionTicks           int // elections start after one to two times this
	PeerTimeout             time.Duration
	JoinInterval            time.Duration
	SnapshotIntervalEntries uint64          // entries applied between snapshots
	KeptEntries             uint64          // entries kept behind a snapshot for peers that lag
	Entropy                 io.Reader       // of identities; nil for the system's source
	Random                  func(n int) int // uniform in [0,n); nil for the runtime's source
}

const (
	defaultTick             = 30 * time.Millisecond
	defaultHeartbeatTicks   = 2
	defaultElectionTicks    = 10
	defaultPeerTimeout      = 500 * time.Millisecond
	defaultJoinInterval     = 300 * time.Millisecond
	defaultSnapshotInterval = 1000
	defaultKeptEntries      = 500
	inboxMessages           = 1024
	maxBatch                = 512 // requests taken in before one sync
)

func (o *Options) setDefaults() {
	setDefault(&o.TickInterval, defaultTick)
	setDefault(&o.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&o.ElectionTicks, defaultElectionTicks)
	setDefault(&o.PeerTimeout, defaultPeerTimeout)
	setDefault(&o.JoinInterval, defaultJoinInterval)
	setDefault(&o.SnapshotIntervalEntries, defaultSnapshotInterval)
	setDefault(&o.KeptEntries, defaultKeptEntries)
	if o.FileSystem == nil {
		o.FileSystem = wal.Disk{}
	}
	if o.Entropy == nil {
		o.Entropy = cryptorand.Reader
	}
	if o.Random == nil {
		o.Random = rand.IntN
	}
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

// Status is a replica's position at one moment.
type Status struct {
	ID              string
	Leader          string // empty when unknown
	LeaderAddress   string
	IsLeader        bool
	CanConfirmReads bool // leader: reads of its term can be confirmed
	Term            uint64
	Commit          uint64
	Applied         uint64
	FirstIndex      uint64
	SnapshotIndex   uint64
	Members         []*wire.Member // in force, perhaps uncommitted; also removed ones
	LeaderSince     time.Time      // when this replica first saw the present leader
	Joined          bool           // an applied member list holds this replica, at its address or as removed
}

// Replica is one member of the control group. It implements wire.PeerServer.
type Replica struct {
	wire.UnimplementedPeerServer

	options Options
	id      string
	log     *wal.Log
	raft    *raft.Raft
	machine StateMachine
	logger  *logs.Logger
	status  atomic.Pointer[Status]
	outbox  *outbox
	parts   assembly
	send    func([]*wire.PeerMessage, []*wire.Member)
	spawn   func(func()) // runs work beside the replica's goroutine
	written chan writtenSnapshot

	founding founding
	inbox    chan *wire.PeerMessage
	requests chan request
	stopped  chan struct{} // closed when Run returns
	leads    chan struct{} // holds one signal while Leads was not read

	// Owned by the goroutine of Run.
	hard        *wire.HardState
	lastTime    uint64 // highest command time in the log, in ms
	writing     bool   // a snapshot is being written
	snapshotted uint64
	// Size of the last snapshot's state.
	snapshotBytes int64
	proposals     map[uint64]proposal
	reads         map[uint64]read
	nextRead      uint64
	promoteAfter  map[string]uint64 // learner: commit index read after it joined
	transfers     []chan error
}

// Open locks and reads the data folder and restores the machine. Run starts
// the replica.
func Open(options Options) (*Replica, error) {
	options.setDefaults()
	log, state, err := wal.Open(options.DataFolder, options.FileSystem, options.Entropy)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options:       options,
		id:            state.ID,
		log:           log,
		machine:       options.StateMachine,
		logger:        logs.For("replica"),
		inbox:         make(chan *wire.PeerMessage, inboxMessages),
		requests:      make(chan request, maxBatch),
		stopped:       make(chan struct{}),
		leads:         make(chan struct{}, 1),
		hard:          state.HardState,
		lastTime:      state.Snapshot.GetTimeMs(),
		snapshotted:   state.Snapshot.GetIndex(),
		snapshotBytes: int64(len(state.Snapshot.GetState())),
		proposals:     make(map[uint64]proposal),
		reads:         make(map[uint64]read),
		promoteAfter:  make(map[string]uint64),
	}
	if state.Snapshot != nil {
		if err := r.restore(state.Snapshot); err != nil {
			_ = log.Close()
			return nil, err
		}
	}
	r.noteTimes(state.Entries)
	r.raft = raft.New(raft.Config{
		ID:             state.ID,
		Address:        options.Address,
		HardState:      state.HardState,
		Snapshot:       state.Snapshot,
		Entries:        state.Entries,
		ElectionTicks:  options.ElectionTicks,
		HeartbeatTicks: options.HeartbeatTicks,
		Random:         options.Random,
	})
	r.outbox = newOutbox(&r.options, r.snapshotLost)
	r.send = r.outbox.send
	r.spawn = func(work func()) { go work() }
	r.written = make(chan writtenSnapshot, 1)
	if state.TornBytes > 0 {
		r.logger.Warn().Int("bytes", state.TornBytes).Msg("A torn tail was cut from the log.")
	}
	r.publish()
	return r, nil
}

// ID returns the replica's identity.
func (r *Replica) ID() string { return r.id }

// Status returns the replica's position.
func (r *Replica) Status() Status { return *r.status.Load() }

// Run works until ctx ends or the data folder fails; then the replica is closed.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(r.stopped)
	defer r.log.Close()
	defer r.outbox.close()
	defer r.end()
	go r.join(ctx)
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.raft.Tick()
			r.promoteLearners()
			r.retryTransfer()
		case w := <-r.written:
			if err := r.useSnapshot(w); err != nil {
				return r.failed(err)
			}
		case m := <-r.inbox:
			r.step(m)
		case q := <-r.requests:
			q.run(r)
		}
		r.drain()
		r.raft.FlushReads()
		if err := r.process(); err != nil {
			return r.failed(err)
		}
	}
}

func (r *Replica) failed(err error) error {
	r.logger.Error().Err(err).Msg("The replica can't go on and ends.")
	return err
}

func (r *Replica) step(m *wire.PeerMessage) {
	r.outbox.learn(m.From, m.FromAddress)
	if whole := r.parts.add(m); whole != nil {
		r.raft.Step(whole)
	}
}

// drain takes in what else waits, so that one sync serves all of it.
func (r *Replica) drain() {
	for range maxBatch {
		select {
		case m := <-r.inbox:
			r.step(m)
		case q := <-r.requests:
			q.run(r)
		default:
			return
		}
	}
}

// joined reports whether this replica's membership, at its present address, has
// been committed. A list
// that is only appended may yet be replaced by one without this replica.
func (r *Replica) joined(applied uint64) bool {
	for _, m := range r.raft.MembersAt(applied) {
		if m.Id == r.id && (m.Removed || m.Address == r.options.Address) {
			return true
		}
	}
	return false
}

func (r *Replica) publish() {
	s := r.raft.Status()
	next := &Status{
		ID:              r.id,
		Leader:          s.Leader,
		IsLeader:        s.Role == raft.Leader,
		CanConfirmReads: s.CommittedInTerm,
		Term:            s.Term,
		Commit:          s.Commit,
		Applied:         s.Applied,
		FirstIndex:      s.FirstIndex,
		SnapshotIndex:   s.SnapshotIndex,
		Members:         s.Members,
		Joined:          r.joined(s.Applied),
	}
	for _, m := range s.Members {
		if m.Id == s.Leader {
			next.LeaderAddress = m.Address
		}
	}
	old := r.status.Load()
	next.LeaderSince = time.Now()
	if old != nil && old.Leader == next.Leader && old.Term == next.Term {
		next.LeaderSince = old.LeaderSince
	}
	r.status.Store(next)
	if next.CanConfirmReads && (old == nil || !old.CanConfirmReads) {
		select {
		case r.leads <- struct{}{}:
		default:
		}
	}
}

// BecameLeader signals that this replica has begun to lead and can confirm reads.
func (r *Replica) BecameLeader() <-chan struct{} { return r.leads }
