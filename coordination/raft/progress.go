package raft

import (
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// progress is what the leader knows of one peer.
type progress struct {
	match    uint64
	next     uint64
	probing  bool // one append at a time until a position is agreed
	paused   bool // a probe is under way
	snapshot uint64
	waited   int // ticks since the snapshot was sent
	active   bool
	round    uint64 // highest heartbeat round acknowledged
}

// tick lets a snapshot that was lost be sent again.
func (p *progress) tick(retryTicks int) {
	if p.snapshot == 0 {
		return
	}
	p.waited++
	if p.waited >= retryTicks {
		p.snapshotLost()
	}
}

func (p *progress) snapshotLost() {
	p.snapshot = 0
	p.probing, p.paused = true, false
}

// ReportSnapshotFailure reports that a snapshot did not reach a peer, so that it is sent
// again without waiting.
func (r *Raft) ReportSnapshotFailure(id string) {
	if p := r.peers[id]; p != nil && p.snapshot != 0 {
		p.snapshotLost()
	}
}

// syncPeers matches the progress table to the members in force.
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
			r.peers[m.Id] = &progress{next: r.log.lastIndex() + 1, probing: true, active: true}
		}
	}
	for id := range r.peers {
		if !wanted[id] {
			delete(r.peers, id)
		}
	}
}

// peerIDs returns the peers in a fixed order, which keeps the core deterministic.
func (r *Raft) peerIDs() []string {
	ids := make([]string, 0, len(r.peers))
	for id := range r.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// quorumValue returns the highest value that a majority of voters has reached.
func (r *Raft) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range r.members.current() {
		if !isVoter(m) {
			continue
		}
		if m.Id == r.id {
			values = append(values, own)
		} else {
			values = append(values, of(r.peers[m.Id]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func (r *Raft) maybeCommit() {
	index := r.quorumValue(r.log.stable, func(p *progress) uint64 { return p.match })
	if index <= r.log.committed || !r.log.matches(index, r.term) {
		return
	}
	r.log.committed = index
	if r.members.lastIndex() <= index && !r.isVoterNow() {
		r.becomeFollower(r.term, "")
	}
}

func (r *Raft) confirmReads() {
	round := r.quorumValue(r.round, func(p *progress) uint64 { return p.round })
	n := 0
	for n < len(r.pendingReads) && r.pendingReads[n].round <= round {
		r.reads = append(r.reads, ReadState{ID: r.pendingReads[n].id, Index: r.pendingReads[n].index})
		n++
	}
	r.pendingReads = r.pendingReads[n:]
}

// quorumActive reports whether a majority was heard since the last call.
func (r *Raft) quorumActive() bool {
	heard := r.quorumValue(1, func(p *progress) uint64 {
		if p.active {
			return 1
		}
		return 0
	})
	for _, p := range r.peers {
		p.active = false
	}
	return heard == 1
}

func (r *Raft) isVoterNow() bool { return voterSet(r.members.current())[r.id] }

func (r *Raft) send(m *wire.PeerMessage) {
	m.From = r.id
	m.FromAddress = r.address
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
	r.beatElapsed = 0
	r.round++
	for _, id := range r.peerIDs() {
		r.send(&wire.PeerMessage{
			Kind:    heartbeat,
			To:      id,
			Commit:  min(r.log.committed, r.peers[id].match),
			Context: r.round,
		})
	}
}

// sendAppend sends the next entries to a peer and reports whether more remain.
// With evenEmpty it sends a message without entries when there are none due.
func (r *Raft) sendAppend(id string, evenEmpty bool) bool {
	p := r.peers[id]
	if p.paused || p.snapshot != 0 {
		return false
	}
	previous := p.next - 1
	term, ok := r.log.term(previous)
	if !ok {
		r.sendSnapshot(id, p)
		return false
	}
	var entries []*wire.LogEntry
	if p.probing || p.next <= p.match+maxInflightWindow {
		entries = r.log.slice(p.next, maxAppendBytes)
	}
	if len(entries) == 0 && !evenEmpty && !p.probing {
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
		p.paused = true
		return false
	}
	p.next += uint64(len(entries))
	return len(entries) > 0
}

func (r *Raft) sendSnapshot(id string, p *progress) {
	if r.log.snapshot == nil {
		return
	}
	p.snapshot, p.waited = r.log.snapshot.Index, 0
	r.send(&wire.PeerMessage{
		Kind:     installMessage,
		To:       id,
		Index:    r.log.snapshot.Index,
		LogTerm:  r.log.snapshot.Term,
		Snapshot: encodeSnapshot(r.log.snapshot),
	})
}
