package raft

import "github.com/apricotspoke/apricotspoke/protocol/wire"

// forcedCampaign in a vote request's context says that the leader asked for
// the campaign, so that voters answer although they still hear the leader.
const forcedCampaign = 1

func (r *Raft) becomeFollower(term uint64, leader string) {
	if term != r.term {
		r.term, r.vote = term, ""
	}
	r.role = Follower
	r.leader = leader
	r.met = r.met || leader != ""
	r.votes = nil
	r.forced = false
	r.peers = make(map[string]*progress)
	r.transferee = ""
	r.pendingReads = nil
	r.resetTimeout()
}

// resetTimeout draws the time until the next campaign. It is short until a
// leader is met: after a restart of the whole group nobody serves before the
// first election, and pre-votes disturb no leader that lives.
func (r *Raft) resetTimeout() {
	r.elapsed = 0
	if !r.met {
		r.timeout = max(1, r.electionTicks/startShare) + r.random(max(1, r.electionTicks/startRange))
		return
	}
	r.timeout = r.electionTicks + r.random(r.electionTicks)
}

// campaign asks for votes: first for pre-votes, which change no terms.
func (r *Raft) campaign(pre bool) {
	r.resetTimeout()
	if !r.isVoterNow() {
		return
	}
	r.leader = ""
	r.votes = map[string]bool{r.id: true}
	kind, term := preVote, r.term+1
	r.role = PreCandidate
	if !pre {
		r.role = Candidate
		r.term++
		r.vote = r.id
		kind, term = vote, r.term
	}
	var context uint64
	if r.forced {
		context = forcedCampaign
	}
	for _, m := range r.members.current() {
		if isVoter(m) && m.Id != r.id {
			r.send(&wire.PeerMessage{Kind: kind, To: m.Id, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), Context: context})
		}
	}
	r.countVotes()
}

func (r *Raft) countVotes() {
	granted, refused, voters := 0, 0, 0
	for id := range voterSet(r.members.current()) {
		voters++
		vote, answered := r.votes[id]
		if answered && vote {
			granted++
		}
		if answered && !vote {
			refused++
		}
	}
	quorum := voters/2 + 1
	switch {
	case granted >= quorum && r.role == PreCandidate:
		r.campaign(false)
	case granted >= quorum && r.role == Candidate:
		r.becomeLeader()
	case refused >= quorum:
		r.becomeFollower(r.term, "")
	}
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.id
	r.met = true
	r.votes = nil
	r.forced = false
	r.elapsed, r.beatElapsed = 0, 0
	r.round = 0
	r.pendingReads = nil
	r.transferee = ""
	r.peers = make(map[string]*progress)
	r.syncPeers()
	r.termStart = r.appendOwn(wire.LogEntryKind_LOG_ENTRY_KIND_NOOP, nil)
	r.broadcastHeartbeat()
}

// handleVote answers a vote or pre-vote request.
func (r *Raft) handleVote(m *wire.PeerMessage) {
	pre := m.Kind == preVote
	reply := voteReply
	free := r.vote == m.From || (r.vote == "" && r.leader == "")
	if pre {
		reply = preVoteReply
		free = m.Term > r.term
	}
	if !free || !r.upToDate(m) {
		r.send(&wire.PeerMessage{Kind: reply, To: m.From, Reject: true})
		return
	}
	if !pre {
		r.vote = m.From
		r.elapsed = 0
	}
	r.send(&wire.PeerMessage{Kind: reply, To: m.From, Term: m.Term})
}

// upToDate reports whether a candidate's log is not behind this one.
func (r *Raft) upToDate(m *wire.PeerMessage) bool {
	if m.LogTerm != r.log.lastTerm() {
		return m.LogTerm > r.log.lastTerm()
	}
	return m.Index >= r.log.lastIndex()
}

// hearsLeader reports whether a leader was heard within the shortest election
// timeout, in which case requests for votes are ignored.
func (r *Raft) hearsLeader() bool {
	return r.leader != "" && r.elapsed < r.electionTicks
}

func (r *Raft) handleVoteReply(m *wire.PeerMessage, during Role) {
	if r.role != during {
		return
	}
	if _, known := r.votes[m.From]; known {
		return
	}
	r.votes[m.From] = !m.Reject
	r.countVotes()
}

// TransferLeadership hands leadership to the most advanced voter. It is given up after
// an election timeout.
func (r *Raft) TransferLeadership() error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if r.transferee != "" {
		return nil
	}
	voters := voterSet(r.members.current())
	for _, id := range r.peerIDs() {
		if !voters[id] || !r.peers[id].active && r.peers[id].round == 0 {
			continue
		}
		if r.transferee == "" || r.peers[id].match > r.peers[r.transferee].match {
			r.transferee = id
		}
	}
	r.transferFor = 0
	r.tryTransfer()
	return nil
}

func (r *Raft) tryTransfer() {
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
	r.transferFor++
	if r.transferFor >= r.electionTicks {
		r.transferee = ""
	}
}
