// Package replica runs one replica of the control group. A single goroutine owns
// the Raft state, the write-ahead log and the state machine; callers send it
// requests over a channel.
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

// StateMachine is the replicated state machine. Only the replica's goroutine
// calls it.
type StateMachine interface {
	// Apply executes a committed command. Its result must depend only on the
	// state and the command.
	Apply(index uint64, command *wire.Command) any
	// ApplyMembers passes a committed member list. Removed members stay in the
	// list for a while, with Removed set.
	ApplyMembers(index uint64, members []*wire.Member)
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with one that Snapshot returned.
	Restore(snapshot []byte) error
}

// Options configures a replica. Durations and counts that are zero take their
// defaults.
type Options struct {
	DataFolder string   // holds the write-ahead log and the snapshots
	Address    string   // at which the other replicas reach this one
	Peers      []string // addresses of the group's replicas; may contain Address
	// FindPeers, if set, replaces Peers. It returns the addresses of the
	// processes that may hold a replica, and whether discovery is complete: the
	// seeds through which processes learn of each other have all been heard.
	FindPeers    func() (addresses []string, complete bool)
	Bootstrap    bool // create a new group if no other replica belongs to one
	StateMachine StateMachine
	// MinVoters returns the number of voters that the group needs to survive the failures
	// that it must; see membership.Next. If it is nil, no voter is demoted for its silence.
	MinVoters func() int
	// Dial opens a connection. The replica owns it and closes it, so it must not
	// be shared.
	Dial       func(address string) (grpc.ClientConnInterface, error)
	FileSystem wal.FileSystem // nil for the operating system's

	TickInterval            time.Duration   // between two ticks of the Raft clock
	HeartbeatTicks          int             // between two heartbeats of a leader
	ElectionTicks           int             // the election timeout is one to two times this, at random; see raft.Config
	PeerTimeout             time.Duration   // of one call that carries Raft messages; four times this for Join
	JoinInterval            time.Duration   // between attempts to find and join a group
	SnapshotIntervalEntries uint64          // number of applied entries after which a snapshot is due
	SnapshotIntervalBytes   int64           // size of the log file from which a snapshot is due whatever its entries
	KeptEntries             uint64          // number of entries before a snapshot that stay in the log for slow followers
	KeptBytes               int             // of these entries together; larger ones are removed
	Entropy                 io.Reader       // source of replica IDs; nil for crypto/rand
	Random                  func(n int) int // uniform in [0,n); nil for math/rand
}

const (
	defaultTickInterval = 30 * time.Millisecond

	// defaultHeartbeatTicks is 60 ms with the default tick, a fifth of the shortest
	// election timeout, so that a few lost heartbeats cause no election.
	defaultHeartbeatTicks = 2

	// defaultElectionTicks gives election timeouts of 300 to 600 ms with the default
	// tick. After the loss of a leader the group has none for about that long. A
	// shorter timeout lets a slow disk, link or process cause elections.
	defaultElectionTicks = 10

	// defaultPeerTimeout bounds how long an unresponsive connection holds back later
	// messages to the same peer. It is longer than the shortest election timeout, so
	// a follower may campaign before its leader opens another connection; voters that
	// hear the leader ignore that campaign.
	defaultPeerTimeout = 500 * time.Millisecond

	defaultJoinInterval = 300 * time.Millisecond

	// defaultSnapshotIntervalEntries is about the most entries that a restart replays,
	// unless the log must grow further to reach the size of a large state; see
	// maybeSnapshot. A smaller number means more frequent snapshots.
	defaultSnapshotIntervalEntries = 1000

	// defaultSnapshotIntervalBytes bounds what a start reads beside the snapshot. A smaller
	// number means more frequent snapshots where entries are large.
	defaultSnapshotIntervalBytes = 4 << 20

	// maxLogIntervals is the size of the log file, in intervals between two snapshots, at
	// which changes are refused and a snapshot is waited for; see logLimit. With the largest
	// catalogue, of 8 MiB, the limit is 20 MiB. The folder then needs 52 MiB at most, while
	// the log is written anew after a snapshot or at a start, which a disk of 64 MB has.
	maxLogIntervals = 5

	// defaultKeptBytes bounds the memory for entries that slow followers may need. One
	// that needs larger ones is sent the snapshot.
	defaultKeptBytes = 4 << 20

	// defaultKeptEntries is how far a follower may lag behind a snapshot and still be
	// sent entries. One that lags further is sent the snapshot.
	defaultKeptEntries = 500

	// inboxCapacity is the number of received messages that wait for Run. When the
	// inbox is full, Step blocks, and with it the call of the replica that sends.
	inboxCapacity = 1024

	// maxItemsPerSync is the number of messages and requests that drainQueues
	// processes before one sync, and the capacity of the request queue. A larger
	// number makes the first of them wait longer for the sync; a smaller one needs
	// more syncs.
	maxItemsPerSync = 512
)

func (o *Options) setDefaults() {
	setDefault(&o.TickInterval, defaultTickInterval)
	setDefault(&o.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&o.ElectionTicks, defaultElectionTicks)
	setDefault(&o.PeerTimeout, defaultPeerTimeout)
	setDefault(&o.JoinInterval, defaultJoinInterval)
	setDefault(&o.SnapshotIntervalEntries, defaultSnapshotIntervalEntries)
	setDefault(&o.SnapshotIntervalBytes, defaultSnapshotIntervalBytes)
	setDefault(&o.KeptEntries, defaultKeptEntries)
	setDefault(&o.KeptBytes, defaultKeptBytes)
	if o.FileSystem == nil {
		o.FileSystem = wal.Disk{}
	}
	if o.Entropy == nil {
		o.Entropy = cryptorand.Reader
	}
	if o.Random == nil {
		o.Random = rand.IntN
	}
	if o.MinVoters == nil {
		o.MinVoters = func() int { return 0 }
	}
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// Replica is one replica of the control group. It implements wire.PeerServer.
type Replica struct {
	wire.UnimplementedPeerServer

	options         Options
	id              string
	log             *wal.Log
	raft            *raft.Raft
	stateMachine    StateMachine
	logger          *logs.Logger
	status          atomic.Pointer[Status]
	transport       *transport
	assembler       snapshotAssembler
	send            func([]*wire.PeerMessage, []*wire.Member)
	runAsync        func(func()) // runs a function on another goroutine; replaced in tests
	snapshotResults chan snapshotResult

	bootstrapGuard bootstrapGuard
	inbox          chan *wire.PeerMessage
	requests       chan request
	stopped        chan struct{} // closed when Run returns
	becameLeader   chan struct{} // receives a value when CanConfirmReads becomes true; holds at most one

	// The following fields are owned by the goroutine of Run.
	hardState         *wire.HardState
	lastTimeMs        uint64 // highest command time in the log
	writingSnapshot   bool   // a snapshot is being written to disk
	ticks             uint64 // of the Raft clock since the start
	nextSnapshotTick  uint64 // before which no snapshot is written
	lastSnapshotIndex uint64
	lastSnapshotBytes int64 // size of the last snapshot's state
	unsavedBytes      int64 // of commands proposed since the last write to the log
	proposals         map[uint64]proposal
	pendingReads      map[uint64]readRequest
	lastReadID        uint64
	promotionIndex    map[string]uint64 // by learner ID: the index it must sync to become a voter
	transferWaiters   []chan error
	reporter          reporter
}

// Open locks the data folder, reads it and restores the state machine. Run
// starts the replica.
func Open(options Options) (*Replica, error) {
	options.setDefaults()
	log, state, err := wal.Open(options.DataFolder, options.FileSystem, options.Entropy)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options:           options,
		id:                state.ID,
		log:               log,
		stateMachine:      options.StateMachine,
		logger:            logs.For("replica"),
		inbox:             make(chan *wire.PeerMessage, inboxCapacity),
		requests:          make(chan request, maxItemsPerSync),
		stopped:           make(chan struct{}),
		becameLeader:      make(chan struct{}, 1),
		hardState:         state.HardState,
		lastTimeMs:        state.Snapshot.GetTimeMs(),
		lastSnapshotIndex: state.Snapshot.GetIndex(),
		lastSnapshotBytes: int64(len(state.Snapshot.GetState())),
		proposals:         make(map[uint64]proposal),
		pendingReads:      make(map[uint64]readRequest),
		promotionIndex:    make(map[string]uint64),
		reporter:          reporter{calmAt: time.Now()},
	}
	if state.Snapshot != nil {
		if err := r.restore(state.Snapshot); err != nil {
			_ = log.Close()
			return nil, err
		}
	}
	r.observeCommandTimes(state.Entries)
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
	r.transport = newTransport(&r.options, r.reportSnapshotFailure)
	r.send = r.transport.send
	r.runAsync = func(work func()) { go work() }
	r.snapshotResults = make(chan snapshotResult, 1)
	if state.TornBytes > 0 {
		r.logger.Warn().Int("bytes", state.TornBytes).Msg("A torn write at the end of the log was truncated.")
	}
	r.publishStatus()
	return r, nil
}

// ID returns the replica's ID, which is created with its data folder.
func (r *Replica) ID() string { return r.id }

// Run runs the replica until ctx ends or the data folder fails, then closes it.
// It returns the data folder's error.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(r.stopped)
	defer r.log.Close()
	defer r.transport.close()
	defer r.shutDown()
	go r.joinGroup(ctx)
	go r.watchElectors(ctx)
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.tick()
		case w := <-r.snapshotResults:
			if err := r.finishSnapshot(w); err != nil {
				return r.logFailure(err)
			}
		case m := <-r.inbox:
			r.step(m)
		case q := <-r.requests:
			q.run(r)
		}
		r.drainQueues()
		r.raft.FlushReads()
		if err := r.processReady(); err != nil {
			return r.logFailure(err)
		}
	}
}

func (r *Replica) logFailure(err error) error {
	r.logger.Error().Err(err).Msg("The replica has failed and stops.")
	return err
}

// tick advances the Raft clock and does what is due.
func (r *Replica) tick() {
	r.ticks++
	r.raft.Tick()
	r.reviewMembers()
	r.retryTransfer()
}

// step passes a message to Raft. Chunks of a snapshot are kept until the last one
// has arrived.
func (r *Replica) step(m *wire.PeerMessage) {
	r.transport.setAddress(m.From, m.FromAddress)
	if complete := r.assembler.add(m); complete != nil {
		r.raft.Step(complete)
	}
}

// drainQueues processes messages and requests that are already queued, up to
// maxItemsPerSync, so that one sync covers all of them. It stops early once they hold
// entries of SnapshotIntervalBytes, so that a snapshot can follow.
func (r *Replica) drainQueues() {
	received := int64(0)
	for range maxItemsPerSync {
		if received >= r.options.SnapshotIntervalBytes {
			return
		}
		select {
		case m := <-r.inbox:
			received += dataBytes(m.Entries)
			r.step(m)
		case q := <-r.requests:
			q.run(r)
		default:
			return
		}
	}
}
