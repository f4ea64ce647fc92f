// Package raft implements the Raft consensus algorithm as a deterministic state
// machine without I/O, in the manner of etcd's raft: the caller passes time in
// by Tick and messages by Step, and takes from Ready what it must write to
// stable storage, send and apply.
package raft

import (
	"errors"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Role is a replica's role in the current term.
type Role int

// The roles of a replica. A PreCandidate asks whether it could win an election
// before it increments its term.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Errors returned by Propose, ProposeMembers, ReadIndex and TransferLeadership.
var (
	ErrNotLeader     = errors.New("raft: this replica is not the leader")
	ErrChangePending = errors.New("raft: an earlier membership change is not committed yet")
	ErrNotReady      = errors.New("raft: the leader has not committed an entry in its term yet")
	ErrTransferring  = errors.New("raft: leadership is being transferred")
)

const (
	// maxAppendBytes bounds the entries of one append message. A single entry that
	// is larger is sent in a message of its own. The transport puts several messages
	// into one call as far as the link carries them in time, but can't divide one, so
	// a larger limit keeps a follower on a slow link from ever catching up; a smaller
	// one needs more messages.
	maxAppendBytes = 64 << 10

	// maxInflightEntries is the number of entries sent to one peer and not yet
	// acknowledged at which no further entries are sent to it. The last append may
	// exceed this number.
	maxInflightEntries = 4096

	// snapshotRetryElectionTimeouts is the number of shortest election timeouts
	// after which an unacknowledged snapshot is sent again, from its beginning. It
	// is only needed if the transport reports no failure. A smaller number sends a
	// large snapshot again while it is still being transferred; with a larger one, a
	// peer whose snapshot was lost receives no entries for longer.
	snapshotRetryElectionTimeouts = 20

	// A replica that has seen no leader since it started campaigns after 1/5 to
	// 7/10 of an election timeout; see resetElectionTimeout.
	initialTimeoutDivisor = 5
	initialJitterDivisor  = 2
)

// Config holds the persisted state of a replica and its settings.
type Config struct {
	ID        string
	Address   string
	HardState *wire.HardState
	Snapshot  *wire.LogSnapshot // nil if there is none
	Entries   []*wire.LogEntry  // that follow the snapshot
	// ElectionTicks is the shortest election timeout. Each one is one to two times
	// this, at random, but shorter until a leader has been seen.
	ElectionTicks  int
	HeartbeatTicks int             // between two heartbeats of a leader
	Random         func(n int) int // uniform in [0,n)
}

// Ready holds the work that the caller must do, in this order: write Snapshot,
// HardState and Entries to stable storage; send Messages; restore Snapshot and
// apply CommittedEntries; call Advance.
type Ready struct {
	HardState        *wire.HardState // nil if unchanged
	Snapshot         *wire.LogSnapshot
	Entries          []*wire.LogEntry
	Messages         []*wire.PeerMessage
	CommittedEntries []*wire.LogEntry
	ReadStates       []ReadState
}

// ReadState is a linearizable read that a quorum has confirmed: a state machine
// that has applied the log up to Index has applied everything that was committed
// when ReadIndex was called with ID.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Raft is the consensus state of one replica. It is not safe for concurrent use.
type Raft struct {
	id        string
	address   string
	term      uint64
	votedFor  string // replica that has this replica's vote in the current term, empty if none
	role      Role
	leader    string
	sawLeader bool // a leader has been known since the start

	log     *raftLog
	members *memberLog

	electionTicks           int
	heartbeatTicks          int
	random                  func(n int) int
	electionElapsed         int
	heartbeatElapsed        int
	randomizedElectionTicks int // the current election timeout

	leaving    bool            // this replica's process is about to end
	lost       map[string]bool // voters that have lost their disks, as far as this replica knows
	lostInTerm map[string]bool // what lost was at the beginning of this replica's last campaign

	votes              map[string]bool // replies to this replica's campaign: granted or refused, by voter
	campaignByTransfer bool            // the leader asked for the campaign to transfer its leadership
	peers              map[string]*progress
	termStart          uint64 // index of the leader's first entry in its term
	transferee         string // target of a leadership transfer, empty if none is in progress
	transferElapsed    int    // ticks since the transfer began

	heartbeatRound   uint64              // number of the last heartbeat round of this term
	pendingReads     []pendingRead       // not confirmed yet, by ascending round
	reads            []ReadState         // confirmed; kept until Advance
	messages         []*wire.PeerMessage // to send; kept until Advance
	savedHardState   wire.HardState      // the one in stable storage
	unstableSnapshot *wire.LogSnapshot   // received, not yet in stable storage
}

type pendingRead struct {
	id    uint64
	index uint64 // commit index when the read was requested
	round uint64 // heartbeat round that confirms the read
}

// New returns a replica in the follower role, with the state given by c.
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
		lost:           make(map[string]bool),
	}
	if c.HardState != nil {
		r.term, r.votedFor = c.HardState.Term, c.HardState.Vote
	}
	r.savedHardState.Term, r.savedHardState.Vote = r.term, r.votedFor
	r.becomeFollower(r.term, "")
	return r
}

// Bootstrap creates a group whose only voter is this replica. It does nothing
// unless the log is empty and the replica is still in term 0, the one before any
// message or election.
func (r *Raft) Bootstrap() {
	if r.log.lastIndex() != 0 || r.term != 0 {
		return
	}
	r.term = 1
	config := &wire.MemberConfig{Members: []*wire.Member{{Id: r.id, Address: r.address}}}
	r.appendLocal(wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS, encodeMembers(config))
}

// Tick advances the replica's clock by one tick.
func (r *Raft) Tick() {
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.randomizedElectionTicks {
		r.electionElapsed = 0
		r.campaign(true)
	}
}

// tickLeader sends the heartbeats. The leader steps down if it has not heard from a
// majority of the voters for an election timeout.
func (r *Raft) tickLeader() {
	if r.electionElapsed >= r.electionTicks {
		r.electionElapsed = 0
		if !r.quorumActive() {
			r.becomeFollower(r.term, "")
			return
		}
	}
	r.tickTransfer()
	r.heartbeatElapsed++
	if r.heartbeatElapsed >= r.heartbeatTicks {
		r.broadcastHeartbeat()
	}
	for _, p := range r.peers {
		p.silentTicks++
		p.tickSnapshot(snapshotRetryElectionTimeouts * r.electionTicks)
	}
}

// Propose appends a command to the leader's log and returns the entry's index
// and term. It returns ErrNotLeader or ErrTransferring if nothing was appended.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if r.transferee != "" {
		return 0, 0, ErrTransferring
	}
	index = r.appendLocal(wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND, data)
	return index, r.term, nil
}

// ProposeMembers appends a new member list to the leader's log and returns the
// entry's index and term. The list may differ from the current one by at most
// one voter. It fails with ErrChangePending while an earlier change is not committed.
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
	if r.members.changeIndex > r.log.committed {
		return 0, 0, ErrChangePending
	}
	if !atMostOneVoterChanged(r.members.current(), members) {
		return 0, 0, errors.New("raft: a membership change may add or remove only one voter")
	}
	index = r.appendLocal(wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS, encodeMembers(&wire.MemberConfig{Members: members}))
	return index, r.term, nil
}

// ReadIndex requests a linearizable read. Once a quorum has acknowledged a
// heartbeat that was sent after this call, Ready.ReadStates contains id.
func (r *Raft) ReadIndex(id uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.log.committed < r.termStart {
		return ErrNotReady
	}
	r.pendingReads = append(r.pendingReads, pendingRead{id: id, index: r.log.committed, round: r.heartbeatRound + 1})
	return nil
}

// FlushReads starts one heartbeat round for all reads that were requested since
// the last round. A group of one voter confirms them at once, as no
// acknowledgement will arrive.
func (r *Raft) FlushReads() {
	if n := len(r.pendingReads); n > 0 && r.pendingReads[n-1].round > r.heartbeatRound {
		r.broadcastHeartbeat()
		r.confirmReads()
	}
}

// appendLocal appends an entry of the current term to the leader's own log.
func (r *Raft) appendLocal(kind wire.LogEntryKind, data []byte) uint64 {
	entry := &wire.LogEntry{Index: r.log.lastIndex() + 1, Term: r.term, Kind: kind, Data: data}
	r.log.append(entry)
	r.members.append(entry)
	r.syncPeers()
	return entry.Index
}

// Ready returns the outstanding work; see type Ready.
func (r *Raft) Ready() Ready {
	if r.role == Leader {
		r.broadcastAppend()
	}
	ready := Ready{
		Snapshot:         r.unstableSnapshot,
		Entries:          r.log.unstable(),
		Messages:         r.messages,
		CommittedEntries: r.log.nextCommitted(r.unstableSnapshot),
		ReadStates:       r.reads,
	}
	if r.term != r.savedHardState.Term || r.votedFor != r.savedHardState.Vote {
		ready.HardState = &wire.HardState{Term: r.term, Vote: r.votedFor}
	}
	return ready
}

// Empty reports whether there is no outstanding work.
func (rd Ready) Empty() bool {
	return rd.HardState == nil && rd.Snapshot == nil && len(rd.Entries) == 0 &&
		len(rd.Messages) == 0 && len(rd.CommittedEntries) == 0 && len(rd.ReadStates) == 0
}

// Advance tells the replica that all work of the last Ready is done.
func (r *Raft) Advance(ready Ready) {
	if ready.HardState != nil {
		r.savedHardState.Term, r.savedHardState.Vote = ready.HardState.Term, ready.HardState.Vote
	}
	r.messages = nil
	r.reads = nil
	if ready.Snapshot != nil {
		r.unstableSnapshot = nil
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

// Compact records a snapshot of the state machine and removes the entries below
// keepFrom, as far as the snapshot covers them.
func (r *Raft) Compact(snapshot *wire.LogSnapshot, keepFrom uint64) {
	r.log.compact(snapshot, keepFrom)
	r.members.compact(snapshot)
}
