package raft

import (
	"maps"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// campaignTransfer, in the context of a vote request, says that the leader asked
// for the campaign, so that voters don't ignore it while that leader is active.
const campaignTransfer = 1

func (r *Raft) becomeFollower(term uint64, leader string) {
	if term != r.term {
		r.term, r.votedFor = term, ""
	}
	r.role = Follower
	r.leader = leader
	r.sawLeader = r.sawLeader || leader != ""
	r.votes = nil
	r.campaignByTransfer = false
	r.peers = make(map[string]*progress)
	r.transferee = ""
	r.pendingReads = nil
	r.resetElectionTimeout()
}

// resetElectionTimeout restarts the election timer with a random timeout. The
// timeout is short until a leader has been seen: after a restart of the whole
// group, no replica serves before the first election, and pre-votes don't
// disrupt an active leader.
func (r *Raft) resetElectionTimeout() {
	r.electionElapsed = 0
	if !r.sawLeader {
		r.randomizedElectionTicks = max(1, r.electionTicks/initialTimeoutDivisor) + r.random(max(1, r.electionTicks/initialJitterDivisor))
		return
	}
	r.randomizedElectionTicks = r.electionTicks + r.random(r.electionTicks)
}

// campaign requests votes from all voters, or pre-votes if pre is set. Pre-votes
// don't change the term. A replica that is not a voter only forgets its leader; one that
// a list has made a learner still votes until that list is known to be committed, as its
// log may be the newest.
func (r *Raft) campaign(pre bool) {
	r.resetElectionTimeout()
	r.leader = ""
	r.lostInTerm = maps.Clone(r.lost)
	quorum := r.quorum()
	if !quorum.Contains(r.id) {
		return
	}
	r.votes = map[string]bool{r.id: true}
	kind, term := preVoteRequest, r.term+1
	r.role = PreCandidate
	if !pre {
		r.role = Candidate
		r.term++
		r.votedFor = r.id
		kind, term = voteRequest, r.term
	}
	var context uint64
	if r.campaignByTransfer {
		context = campaignTransfer
	}
	for _, m := range r.members.current() {
		if quorum.Contains(m.Id) && m.Id != r.id {
			r.send(&wire.PeerMessage{Kind: kind, To: m.Id, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), Context: context})
		}
	}
	r.advanceCampaign()
}

// advanceCampaign changes the role once a quorum of the voters has replied alike.
// With a quorum of pre-votes granted, the replica starts the election in the next
// term; with a quorum of votes granted, it becomes the leader; with a quorum
// refused, it becomes a follower in the current term.
func (r *Raft) advanceCampaign() {
	quorum := r.quorum()
	granted := func(id string) bool { return r.votes[id] }
	refused := func(id string) bool {
		voteGranted, answered := r.votes[id]
		return answered && !voteGranted
	}
	switch {
	case quorum.Agrees(granted) && r.role == PreCandidate:
		r.campaign(false)
	case quorum.Agrees(granted) && r.role == Candidate:
		r.becomeLeader()
	case quorum.Refuses(refused):
		r.becomeFollower(r.term, "")
	}
}

// ReportLost tells the replica that another one has lost its disk, so that it will never
// answer again. It counts from this replica's next campaign on: only answers that are given
// after the loss may be counted together with it, see membership.Quorum.
func (r *Raft) ReportLost(id string) {
	r.lost[id] = true
	quorum := r.quorum()
	maps.DeleteFunc(r.lost, func(known string, _ bool) bool { return !quorum.Contains(known) })
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.id
	r.sawLeader = true
	r.votes = nil
	r.campaignByTransfer = false
	r.electionElapsed, r.heartbeatElapsed = 0, 0
	r.heartbeatRound = 0
	r.pendingReads = nil
	r.transferee = ""
	r.peers = make(map[string]*progress)
	r.syncPeers()
	r.termStart = r.appendLocal(wire.LogEntryKind_LOG_ENTRY_KIND_NOOP, nil)
	r.broadcastHeartbeat()
}

// handleVoteRequest replies to a vote or pre-vote request. A granted pre-vote is
// not recorded, so a replica may grant several of them in one term.
func (r *Raft) handleVoteRequest(m *wire.PeerMessage) {
	pre := m.Kind == preVoteRequest
	reply := voteReply
	canVote := r.votedFor == m.From || (r.votedFor == "" && r.leader == "")
	if pre {
		reply = preVoteReply
		canVote = m.Term > r.term
	}
	if !canVote || !r.upToDate(m) {
		r.send(&wire.PeerMessage{Kind: reply, To: m.From, Reject: true})
		return
	}
	if !pre {
		r.votedFor = m.From
		r.electionElapsed = 0
	}
	r.send(&wire.PeerMessage{Kind: reply, To: m.From, Term: m.Term})
}

// upToDate reports whether the log of the candidate that sent m is at least as
// up to date as this replica's log.
func (r *Raft) upToDate(m *wire.PeerMessage) bool {
	if m.LogTerm != r.log.lastTerm() {
		return m.LogTerm > r.log.lastTerm()
	}
	return m.Index >= r.log.lastIndex()
}

// leaderActive reports whether a leader was heard within the shortest election
// timeout. Vote requests are ignored as long as it is.
func (r *Raft) leaderActive() bool {
	return r.leader != "" && r.electionElapsed < r.electionTicks
}

// handleVoteReply records a reply if this replica still has the role during in
// which it asked. Only the first reply of each voter counts.
func (r *Raft) handleVoteReply(m *wire.PeerMessage, during Role) {
	if r.role != during {
		return
	}
	if _, known := r.votes[m.From]; known {
		return
	}
	r.votes[m.From] = !m.Reject
	r.advanceCampaign()
}

// AnnounceLeaving makes this replica say in all its messages that its process is about to
// end.
func (r *Raft) AnnounceLeaving() { r.leaving = true }

// TransferLeadership starts the transfer of leadership to the voter with the highest
// match index, to one that is about to end only if there is no other. A voter that has
// acknowledged no heartbeat in this term is left out, unless its progress is marked as
// recentActive. The transfer is aborted after one election timeout, during which
// proposals fail with ErrTransferring.
func (r *Raft) TransferLeadership() error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.transferee != "" {
		return nil
	}
	voters := r.members.voters()
	for _, id := range r.peerIDs() {
		if !voters[id] || !r.peers[id].recentActive && r.peers[id].ackedRound == 0 {
			continue
		}
		if r.transferee == "" || r.peers[id].isBetterTransferee(r.peers[r.transferee]) {
			r.transferee = id
		}
	}
	r.transferElapsed = 0
	r.maybeSendTimeoutNow()
	return nil
}

// maybeSendTimeoutNow asks the target of a leadership transfer to campaign at once,
// if it has the whole log.
func (r *Raft) maybeSendTimeoutNow() {
	p := r.peers[r.transferee]
	if p == nil || p.match < r.log.lastIndex() {
		return
	}
	r.send(&wire.PeerMessage{Kind: timeoutNow, To: r.transferee})
}

func (r *Raft) tickTransfer() {
	if r.transferee == "" {
		return
	}
	r.transferElapsed++
	if r.transferElapsed >= r.electionTicks {
		r.transferee = ""
	}
}
