package raft

import (
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// The kinds of messages between replicas.
const (
	preVoteRequest  = wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE
	preVoteReply    = wire.PeerMessageKind_PEER_MESSAGE_KIND_PRE_VOTE_REPLY
	voteRequest     = wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE
	voteReply       = wire.PeerMessageKind_PEER_MESSAGE_KIND_VOTE_REPLY
	appendEntries   = wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND
	appendReply     = wire.PeerMessageKind_PEER_MESSAGE_KIND_APPEND_REPLY
	heartbeat       = wire.PeerMessageKind_PEER_MESSAGE_KIND_HEARTBEAT
	heartbeatReply  = wire.PeerMessageKind_PEER_MESSAGE_KIND_HEARTBEAT_REPLY
	installSnapshot = wire.PeerMessageKind_PEER_MESSAGE_KIND_SNAPSHOT
	timeoutNow      = wire.PeerMessageKind_PEER_MESSAGE_KIND_TIMEOUT_NOW
)

// Step handles a message from another replica. It drops messages for another
// replica ID: they are meant for a replica that had this address before.
func (r *Raft) Step(m *wire.PeerMessage) {
	if m.To != r.id || m.From == r.id {
		return
	}
	if m.Term > r.term && !r.acceptNewTerm(m) {
		return
	}
	if m.Term < r.term {
		r.rejectOldTerm(m)
		return
	}
	switch m.Kind {
	case preVoteRequest, voteRequest:
		r.handleVoteRequest(m)
	case preVoteReply:
		r.handleVoteReply(m, PreCandidate)
	case voteReply:
		r.handleVoteReply(m, Candidate)
	case appendEntries, heartbeat, installSnapshot:
		r.stepFromLeader(m)
	case appendReply, heartbeatReply:
		r.stepReply(m)
	case timeoutNow:
		if r.role == Follower && r.selfIsVoter() {
			r.campaignByTransfer = true
			r.campaign(false)
		}
	}
}

// acceptNewTerm handles the higher term of m: it becomes a follower in that term
// unless m must not change the term. It reports whether m is to be processed
// further.
func (r *Raft) acceptNewTerm(m *wire.PeerMessage) bool {
	switch m.Kind {
	case preVoteRequest:
		return !r.leaderActive()
	case voteRequest:
		if m.Context != campaignTransfer && r.leaderActive() {
			return false
		}
	case preVoteReply:
		if !m.Reject {
			// A granted pre-vote carries the term of the request, which is the
			// term of the future campaign.
			if m.Term == r.term+1 {
				r.handleVoteReply(m, PreCandidate)
			}
			return false
		}
	}
	leader := ""
	if m.Kind == appendEntries || m.Kind == heartbeat || m.Kind == installSnapshot {
		leader = m.From
	}
	r.becomeFollower(m.Term, leader)
	return true
}

// rejectOldTerm replies to a message of an older term with the current term, so
// that its sender becomes a follower.
func (r *Raft) rejectOldTerm(m *wire.PeerMessage) {
	switch m.Kind {
	case appendEntries, heartbeat, installSnapshot:
		r.send(&wire.PeerMessage{Kind: appendReply, To: m.From, Reject: true})
	case preVoteRequest:
		r.send(&wire.PeerMessage{Kind: preVoteReply, To: m.From, Reject: true})
	case voteRequest:
		r.send(&wire.PeerMessage{Kind: voteReply, To: m.From, Reject: true})
	}
}

// stepFromLeader handles a message that only the leader of the current term sends.
func (r *Raft) stepFromLeader(m *wire.PeerMessage) {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.electionElapsed = 0
	switch m.Kind {
	case appendEntries:
		r.handleAppend(m)
	case heartbeat:
		r.commitTo(m.Commit)
		r.send(&wire.PeerMessage{Kind: heartbeatReply, To: m.From, Context: m.Context})
	case installSnapshot:
		r.handleSnapshot(m)
	}
}

// commitTo raises the commit index to index, as far as the log reaches. The commit
// index stays while a received snapshot is not in stable storage yet.
func (r *Raft) commitTo(index uint64) {
	if r.unstableSnapshot != nil {
		return
	}
	r.log.committed = max(r.log.committed, min(index, r.log.lastIndex()))
}

// handleAppend appends the leader's entries after the one that they follow, and
// replaces entries that conflict with them. If this log does not contain the entry
// that they follow, it rejects the message.
func (r *Raft) handleAppend(m *wire.PeerMessage) {
	if m.Index < r.log.committed {
		r.acknowledge(m, r.log.committed)
		return
	}
	if !r.log.matches(m.Index, m.LogTerm) {
		r.send(&wire.PeerMessage{Kind: appendReply, To: m.From, Reject: true, Index: m.Index, Hint: r.conflictHint(m)})
		return
	}
	for _, e := range m.Entries {
		if r.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= r.log.lastIndex() {
			r.log.truncateFrom(e.Index)
			r.members.truncateFrom(e.Index)
		}
		r.log.append(e)
		r.members.append(e)
	}
	last := m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, last))
	r.acknowledge(m, last)
}

// acknowledge tells the leader that this log matches the leader's up to index.
func (r *Raft) acknowledge(m *wire.PeerMessage, index uint64) {
	r.send(&wire.PeerMessage{Kind: appendReply, To: m.From, Index: index})
}

// conflictHint returns the highest index at which this log may still match the
// leader's, so that the leader needn't probe every index.
func (r *Raft) conflictHint(m *wire.PeerMessage) uint64 {
	hint := min(m.Index-1, r.log.lastIndex())
	for hint > r.log.committed {
		term, ok := r.log.term(hint)
		if !ok || term <= m.LogTerm {
			break
		}
		hint--
	}
	return hint
}

// handleSnapshot replaces the log with a received snapshot. If the log already
// contains the snapshot's last entry, it commits up to that entry instead.
func (r *Raft) handleSnapshot(m *wire.PeerMessage) {
	snapshot := &wire.LogSnapshot{}
	if err := proto.Unmarshal(m.Snapshot, snapshot); err != nil {
		return
	}
	if snapshot.Index <= r.log.committed {
		r.acknowledge(m, r.log.committed)
		return
	}
	if r.log.matches(snapshot.Index, snapshot.Term) {
		r.commitTo(snapshot.Index)
		r.acknowledge(m, snapshot.Index)
		return
	}
	r.unstableSnapshot = snapshot
	r.log.install(snapshot)
	r.members.reset(snapshot)
	r.acknowledge(m, snapshot.Index)
}

func encodeSnapshot(s *wire.LogSnapshot) []byte {
	data, err := proto.Marshal(s)
	if err != nil {
		panic(err)
	}
	return data
}

// stepReply handles a follower's reply to an append, a snapshot or a heartbeat.
func (r *Raft) stepReply(m *wire.PeerMessage) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.recentActive, p.silentTicks, p.leaving = true, 0, m.Leaving
	if m.Kind == heartbeatReply {
		r.handleHeartbeatReply(m, p)
		return
	}
	if m.Reject {
		r.handleAppendReject(m, p)
		return
	}
	r.handleAppendReply(m, p)
}

func (r *Raft) handleHeartbeatReply(m *wire.PeerMessage, p *progress) {
	p.ackedRound = max(p.ackedRound, m.Context)
	r.confirmReads()
	p.probeSent = false
	if p.match < r.log.lastIndex() {
		r.sendAppend(m.From, true)
	}
}

// handleAppendReject goes back to the index that the follower's hint suggests and
// probes from there.
func (r *Raft) handleAppendReject(m *wire.PeerMessage, p *progress) {
	if m.Index <= p.match || (p.probing && m.Index != p.next-1) {
		return // a reply to an earlier append
	}
	p.probing, p.probeSent = true, false
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
	r.sendAppend(m.From, true)
}

func (r *Raft) handleAppendReply(m *wire.PeerMessage, p *progress) {
	if m.Index > r.log.lastIndex() {
		return
	}
	if p.pendingSnapshot != 0 && m.Index >= p.pendingSnapshot {
		p.pendingSnapshot = 0
	}
	if m.Index < p.match || (m.Index == p.match && !p.probing) {
		return
	}
	p.match = m.Index
	p.next = max(p.next, m.Index+1)
	if p.probing {
		p.next = m.Index + 1
		p.probing, p.probeSent = false, false
	}
	r.maybeCommit()
	if m.From == r.transferee {
		r.maybeSendTimeoutNow()
	}
}
