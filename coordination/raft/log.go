package raft

import (
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// raftLog holds the entries that follow index base; entries[0] has index base+1.
type raftLog struct {
	base      uint64
	baseTerm  uint64
	entries   []*wire.LogEntry
	snapshot  *wire.LogSnapshot // newest one, at or above base; nil if there is none
	stable    uint64            // highest index in stable storage
	committed uint64
	applied   uint64
}

func newLog(snapshot *wire.LogSnapshot, entries []*wire.LogEntry) *raftLog {
	l := &raftLog{snapshot: snapshot}
	if snapshot != nil {
		l.committed, l.applied = snapshot.Index, snapshot.Index
		l.base, l.baseTerm = snapshot.Index, snapshot.Term
	}
	for _, e := range entries {
		if e.Index > l.base {
			l.entries = append(l.entries, e)
		}
	}
	l.stable = l.lastIndex()
	return l
}

func (l *raftLog) lastIndex() uint64  { return l.base + uint64(len(l.entries)) }
func (l *raftLog) firstIndex() uint64 { return l.base + 1 }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry, or false if the entry is compacted or does
// not exist.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *raftLog) matches(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

func (l *raftLog) append(e *wire.LogEntry) { l.entries = append(l.entries, e) }

// truncateFrom removes the entry at index and all that follow it.
func (l *raftLog) truncateFrom(index uint64) {
	if index <= l.committed {
		panic("raft: log truncation would remove a committed entry")
	}
	// The full slice expression makes the next append copy, so that slices
	// returned by Ready don't change.
	n := index - l.base - 1
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, index-1)
}

// slice returns entries starting at index from, of limitBytes in total at most,
// but at least one entry if there is any.
func (l *raftLog) slice(from uint64, limitBytes int) []*wire.LogEntry {
	if from > l.lastIndex() {
		return nil
	}
	rest := l.entries[from-l.base-1:]
	size := 0
	for i, e := range rest {
		size += proto.Size(e)
		if i > 0 && size > limitBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// unstable returns the entries that are not in stable storage yet.
func (l *raftLog) unstable() []*wire.LogEntry {
	if l.stable >= l.lastIndex() {
		return nil
	}
	rest := l.entries[l.stable-l.base:]
	return rest[:len(rest):len(rest)]
}

// nextCommitted returns the committed entries to apply next. If toRestore is not
// nil, the state machine restores that snapshot first, so that only entries above
// the snapshot's index are returned.
func (l *raftLog) nextCommitted(toRestore *wire.LogSnapshot) []*wire.LogEntry {
	from := l.applied
	if toRestore != nil {
		from = max(from, toRestore.Index)
	}
	if l.committed <= from {
		return nil
	}
	return l.entries[from-l.base : l.committed-l.base : l.committed-l.base]
}

func (l *raftLog) stableTo(index uint64) { l.stable = max(l.stable, min(index, l.lastIndex())) }

// compact records a snapshot and removes the entries below keepFrom that it
// covers.
func (l *raftLog) compact(snapshot *wire.LogSnapshot, keepFrom uint64) {
	l.snapshot = snapshot
	keepFrom = min(keepFrom, snapshot.Index+1)
	if keepFrom <= l.firstIndex() {
		return
	}
	base := keepFrom - 1
	term, _ := l.term(base)
	l.entries = append([]*wire.LogEntry(nil), l.entries[base-l.base:]...)
	l.base, l.baseTerm = base, term
}

// install replaces the whole log with a received snapshot.
func (l *raftLog) install(snapshot *wire.LogSnapshot) {
	l.snapshot = snapshot
	l.base, l.baseTerm = snapshot.Index, snapshot.Term
	l.entries = nil
	l.stable = snapshot.Index
	l.committed = snapshot.Index
}
