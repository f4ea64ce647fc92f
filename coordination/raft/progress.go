package raft

import (
	"fmt"
	"slices"

	"github.com/apricotspoke/apricotspoke/coordination/membership"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// progress is the leader's view of one peer's replication state.
type progress struct {
	match           uint64 // highest index that the peer is known to have synced
	next            uint64 // index of the next entry to send
	probing         bool   // one append at a time, until a matching index is found
	probeSent       bool   // an append was sent while probing and is not answered yet
	pendingSnapshot uint64 // index of a snapshot sent and not acknowledged, 0 if there is none
	snapshotTicks   int    // since pendingSnapshot was sent
	recentActive    bool   // heard, or newly added to peers, since the last call of quorumActive
	silentTicks     int    // since the peer was last heard, or added to peers
	ackedRound      uint64 // highest heartbeat round of this term that the peer has acknowledged
	leaving         bool   // the peer's last reply said that its process is about to end
}

// String describes the progress for a log line.
func (p *progress) String() string {
	text := fmt.Sprintf("match %d next %d heard %d ticks ago", p.match, p.next, p.silentTicks)
	if p.probing {
		text += " probing"
	}
	if p.pendingSnapshot != 0 {
		text += fmt.Sprintf(" snapshot %d on its way", p.pendingSnapshot)
	}
	return text
}

// tickSnapshot marks a pending snapshot as failed after retryTicks, so that it is
// sent again.
func (p *progress) tickSnapshot(retryTicks int) {
	if p.pendingSnapshot == 0 {
		return
	}
	p.snapshotTicks++
	if p.snapshotTicks >= retryTicks {
		p.snapshotFailed()
	}
}

func (p *progress) snapshotFailed() {
	p.pendingSnapshot = 0
	p.probing, p.probeSent = true, false
}

// isBetterTransferee reports whether a transfer of leadership should go to this peer rather
// than to another one.
func (p *progress) isBetterTransferee(other *progress) bool {
	if p.leaving != other.leaving {
		return other.leaving
	}
	return p.match > other.match
}

// ReportSnapshotFailure tells the leader that a snapshot did not reach a peer, so
// that it is sent again before the retry timeout.
func (r *Raft) ReportSnapshotFailure(id string) {
	if p := r.peers[id]; p != nil && p.pendingSnapshot != 0 {
		p.snapshotFailed()
	}
}

// syncPeers adds and removes progress entries to match the current member list.
func (r *Raft) syncPeers() {
	if r.role != Leader {
		return
	}
	wanted := make(map[string]bool)
	for _, m := range r.members.current() {
		if !isActive(m) || m.Id == r.id {
			continue
		}
		wanted[m.Id] = true
		if r.peers[m.Id] == nil {
			r.peers[m.Id] = &progress{next: r.log.lastIndex() + 1, probing: true, recentActive: true}
		}
	}
	for id := range r.peers {
		if !wanted[id] {
			delete(r.peers, id)
		}
	}
}

// peerIDs returns the peers' IDs in sorted order, which keeps the algorithm
// deterministic.
func (r *Raft) peerIDs() []string {
	ids := make([]string, 0, len(r.peers))
	for id := range r.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// quorum returns the rule by which this replica campaigns and leads.
func (r *Raft) quorum() membership.Quorum {
	return membership.Quorum{Voters: r.members.voters(), Before: r.members.before, Lost: r.lostInTerm}
}

// quorumValue returns the highest value that a quorum of the voters has reached.
// self is this replica's value. A voter that is no longer a member has reached 0.
func (r *Raft) quorumValue(self uint64, value func(*progress) uint64) uint64 {
	return r.quorum().Value(func(id string) uint64 {
		if id == r.id {
			return self
		}
		if p := r.peers[id]; p != nil {
			return value(p)
		}
		return 0
	})
}

// maybeCommit commits the entries that a quorum of the voters has synced. An entry
// of an earlier term is only committed together with one of the current term, as a
// later leader might still overwrite it. A leader that is no longer a voter steps
// down once the member list that says so is committed.
func (r *Raft) maybeCommit() {
	index := r.quorumValue(r.log.stable, func(p *progress) uint64 { return p.match })
	if index <= r.log.committed || !r.log.matches(index, r.term) {
		return
	}
	r.log.committed = index
	if r.members.lastIndex() <= index && !r.selfIsVoter() {
		r.becomeFollower(r.term, "")
		return
	}
	r.settleMembers()
}

// settleMembers appends the newest member list a second time once it is committed, if it
// has changed the voters; see memberLog.
func (r *Raft) settleMembers() {
	if r.members.isSettled() || r.members.lastIndex() > r.log.committed {
		return
	}
	r.appendLocal(wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS, encodeMembers(&wire.MemberConfig{Members: r.members.current()}))
}

// confirmReads moves the pending reads whose heartbeat round a majority of the
// voters has acknowledged to reads.
func (r *Raft) confirmReads() {
	round := r.quorumValue(r.heartbeatRound, func(p *progress) uint64 { return p.ackedRound })
	n := 0
	for n < len(r.pendingReads) && r.pendingReads[n].round <= round {
		r.reads = append(r.reads, ReadState{ID: r.pendingReads[n].id, Index: r.pendingReads[n].index})
		n++
	}
	r.pendingReads = r.pendingReads[n:]
}

// quorumActive reports whether a majority of the voters was heard since the last
// call. This replica counts as heard.
func (r *Raft) quorumActive() bool {
	heard := r.quorumValue(1, func(p *progress) uint64 {
		if p.recentActive {
			return 1
		}
		return 0
	})
	for _, p := range r.peers {
		p.recentActive = false
	}
	return heard == 1
}

func (r *Raft) selfIsVoter() bool { return r.members.voters()[r.id] }

func (r *Raft) send(m *wire.PeerMessage) {
	m.From = r.id
	m.FromAddress = r.address
	m.Leaving = r.leaving
	if m.Term == 0 {
		m.Term = r.term
	}
	r.messages = append(r.messages, m)
}

func (r *Raft) broadcastAppend() {
	for _, id := range r.peerIDs() {
		for r.sendAppend(id, false) {
		}
	}
}

func (r *Raft) broadcastHeartbeat() {
	r.heartbeatElapsed = 0
	r.heartbeatRound++
	for _, id := range r.peerIDs() {
		r.send(&wire.PeerMessage{
			Kind:    heartbeat,
			To:      id,
			Commit:  min(r.log.committed, r.peers[id].match),
			Context: r.heartbeatRound,
		})
	}
}

// sendAppend sends the next entries to a peer, or a snapshot if they have been
// compacted. It reports whether entries were sent and more may follow at once.
// If sendIfEmpty is set, it sends a message even if no entries are due.
func (r *Raft) sendAppend(id string, sendIfEmpty bool) bool {
	p := r.peers[id]
	if p.probeSent || p.pendingSnapshot != 0 {
		return false
	}
	previous := p.next - 1
	term, ok := r.log.term(previous)
	if !ok {
		r.sendSnapshot(id, p)
		return false
	}
	var entries []*wire.LogEntry
	if p.probing || p.next <= p.match+maxInflightEntries {
		entries = r.log.slice(p.next, maxAppendBytes)
	}
	if len(entries) == 0 && !sendIfEmpty && !p.probing {
		return false
	}
	r.send(&wire.PeerMessage{
		Kind:    appendEntries,
		To:      id,
		Index:   previous,
		LogTerm: term,
		Commit:  r.log.committed,
		Entries: entries,
	})
	if p.probing {
		p.probeSent = true
		return false
	}
	p.next += uint64(len(entries))
	return len(entries) > 0
}

// sendSnapshot sends the newest snapshot, if there is one. No entries are sent to
// the peer until it has acknowledged the snapshot or the snapshot counts as failed.
func (r *Raft) sendSnapshot(id string, p *progress) {
	if r.log.snapshot == nil {
		return
	}
	p.pendingSnapshot, p.snapshotTicks = r.log.snapshot.Index, 0
	r.send(&wire.PeerMessage{
		Kind:     installSnapshot,
		To:       id,
		Index:    r.log.snapshot.Index,
		LogTerm:  r.log.snapshot.Term,
		Snapshot: encodeSnapshot(r.log.snapshot),
	})
}
