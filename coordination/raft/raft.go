// Package raft is a deterministic consensus core. It does no I/O: time comes as
// ticks, messages come by Step, and what must be synced, sent and applied
// leaves by Ready.
package raft

import (
	"errors"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Role is a replica's part in the current term.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Errors of proposals and reads.
var (
	ErrNotLeader     = errors.New("raft: not the leader")
	ErrChangePending = errors.New("raft: a membership change is not committed yet")
	ErrNotReady      = errors.New("raft: the leader has not committed an entry of its term yet")
	ErrTransferring  = errors.New("raft: leadership is being transferred")
)

const (
	maxAppendBytes    = 1 << 20
	maxInflightWindow = 4096 // entries sent and not yet acknowledged by one peer

	snapshotRetryElections = 20 // election timeouts after which a snapshot is sent again

	// A replica that has met no leader since its start campaigns after a fifth to
	// seven tenths of an election timeout.
	startShare = 5
	startRange = 2
)

// Config sets up a replica.
type Config struct {
	ID             string
	Address        string
	HardState      *wire.HardState
	Snapshot       *wire.LogSnapshot // nil when there is none
	Entries        []*wire.LogEntry  // behind the snapshot
	ElectionTicks  int
	HeartbeatTicks int
	Random         func(n int) int // uniform in [0,n)
}

// Ready is what the caller must do, in order: sync Snapshot, HardState and
// Entries; send Messages; restore Snapshot and apply Committed; call Advance.
type Ready struct {
	HardState        *wire.HardState // nil when unchanged
	Snapshot         *wire.LogSnapshot
	Entries          []*wire.LogEntry
	Messages         []*wire.PeerMessage
	CommittedEntries []*wire.LogEntry
	ReadStates       []ReadState
}

// ReadState is a confirmed quorum read: whoever has applied up to Index has applied
// everything that was committed when the read's round was started.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Raft is one replica. It is not safe for concurrent use.
type Raft struct {
	id      string
	address string
	term    uint64
	vote    string
	role    Role
	leader  string
	met     bool // a leader was known since the start

	log     *raftLog
	members *memberLog

	electionTicks  int
	heartbeatTicks int
	random         func(n int) int
	elapsed        int
	beatElapsed    int
	timeout        int

	votes       map[string]bool
	forced      bool // the campaign follows a leader transfer
	peers       map[string]*progress
	termStart   uint64 // index of the leader's first entry in its term
	transferee  string
	transferFor int

	round        uint64
	pendingReads []pendingRead
	reads        []ReadState
	messages     []*wire.PeerMessage
	saved        wire.HardState
	snapshot     *wire.LogSnapshot // received, not yet synced
}

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// New returns a replica in the follower role.
func New(c Config) *Raft {
	r := &Raft{
		id:             c.ID,
		address:        c.Address,
		log:            newLog(c.Snapshot, c.Entries),
		members:        newMemberLog(c.Snapshot, c.Entries),
		electionTicks:  c.ElectionTicks,
		heartbeatTicks: c.HeartbeatTicks,
		random:         c.Random,
		peers:          make(map[string]*progress),
	}
	if c.HardState != nil {
		r.term, r.vote = c.HardState.Term, c.HardState.Vote
	}
	r.saved.Term, r.saved.Vote = r.term, r.vote
	r.becomeFollower(r.term, "")
	return r
}

// Bootstrap founds a group of which this replica is the only voter. It does
// nothing unless the log is empty.
func (r *Raft) Bootstrap() {
	if r.log.lastIndex() != 0 || r.term != 0 {
		return
	}
	r.term = 1
	config := &wire.MemberConfig{Members: []*wire.Member{{Id: r.id, Address: r.address}}}
	r.appendOwn(wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS, encodeMembers(config))
}

// Tick advances time by one tick.
func (r *Raft) Tick() {
	r.elapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.elapsed >= r.timeout {
		r.elapsed = 0
		r.campaign(true)
	}
}

func (r *Raft) tickLeader() {
	if r.elapsed >= r.electionTicks {
		r.elapsed = 0
		if !r.quorumActive() {
			r.becomeFollower(r.term, "")
			return
		}
	}
	r.tickTransfer()
	r.beatElapsed++
	if r.beatElapsed >= r.heartbeatTicks {
		r.broadcastHeartbeat()
	}
	for _, p := range r.peers {
		p.tick(snapshotRetryElections * r.electionTicks)
	}
}

// Propose appends a command on the leader and returns its index and term.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if r.transferee != "" {
		return 0, 0, ErrTransferring
	}
	index = r.appendOwn(wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND, data)
	return index, r.term, nil
}

// ProposeMembers appends a new member list, which differs from the present one
// by at most one voter. It is refused while another change is uncommitted.
func (r *Raft) ProposeMembers(members []*wire.Member) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if r.transferee != "" {
		return 0, 0, ErrTransferring
	}
	if r.log.committed < r.termStart {
		return 0, 0, ErrNotReady
	}
	if r.members.lastIndex() > r.log.committed {
		return 0, 0, ErrChangePending
	}
	if !oneVoterApart(r.members.current(), members) {
		return 0, 0, errors.New("raft: a change may add or remove one voter only")
	}
	index = r.appendOwn(wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS, encodeMembers(&wire.MemberConfig{Members: members}))
	return index, r.term, nil
}

// ReadIndex starts a quorum read. Its confirmation leaves by Ready.Reads and
// rests only on heartbeats sent after this call.
func (r *Raft) ReadIndex(id uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.log.committed < r.termStart {
		return ErrNotReady
	}
	r.pendingReads = append(r.pendingReads, pendingRead{id: id, index: r.log.committed, round: r.round + 1})
	return nil
}

// FlushReads sends one heartbeat round for the reads that wait for one. An only
// voter has no answer to wait for.
func (r *Raft) FlushReads() {
	if n := len(r.pendingReads); n > 0 && r.pendingReads[n-1].round > r.round {
		r.broadcastHeartbeat()
		r.confirmReads()
	}
}

func (r *Raft) appendOwn(kind wire.LogEntryKind, data []byte) uint64 {
	entry := &wire.LogEntry{Index: r.log.lastIndex() + 1, Term: r.term, Kind: kind, Data: data}
	r.log.append(entry)
	r.members.append(entry)
	r.syncPeers()
	return entry.Index
}

// Ready returns the work that is due; see type Ready.
func (r *Raft) Ready() Ready {
	if r.role == Leader {
		r.broadcastAppend()
	}
	ready := Ready{
		Snapshot:         r.snapshot,
		Entries:          r.log.unstable(),
		Messages:         r.messages,
		CommittedEntries: r.log.toApply(r.snapshot),
		ReadStates:       r.reads,
	}
	if r.term != r.saved.Term || r.vote != r.saved.Vote {
		ready.HardState = &wire.HardState{Term: r.term, Vote: r.vote}
	}
	return ready
}

// Empty reports whether there is nothing to do.
func (y Ready) Empty() bool {
	return y.HardState == nil && y.Snapshot == nil && len(y.Entries) == 0 &&
		len(y.Messages) == 0 && len(y.CommittedEntries) == 0 && len(y.ReadStates) == 0
}

// Advance reports that all of the last Ready is done.
func (r *Raft) Advance(ready Ready) {
	if ready.HardState != nil {
		r.saved.Term, r.saved.Vote = ready.HardState.Term, ready.HardState.Vote
	}
	r.messages = nil
	r.reads = nil
	if ready.Snapshot != nil {
		r.snapshot = nil
		r.log.applied = max(r.log.applied, ready.Snapshot.Index)
	}
	if n := len(ready.Entries); n > 0 {
		r.log.stableTo(ready.Entries[n-1].Index)
	}
	if n := len(ready.CommittedEntries); n > 0 {
		r.log.applied = ready.CommittedEntries[n-1].Index
	}
	if r.role == Leader {
		r.maybeCommit()
		r.confirmReads()
	}
}

// Compact drops entries up to index, which the given snapshot covers.
func (r *Raft) Compact(snapshot *wire.LogSnapshot, keepFrom uint64) {
	r.log.compact(snapshot, keepFrom)
	r.members.compact(snapshot)
}
