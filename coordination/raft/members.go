package raft

import (
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// memberLog holds the member lists that are in the log. The newest one takes
// effect as soon as it is appended, before it is committed.
type memberLog struct {
	lists []memberList
}

type memberList struct {
	index   uint64
	members []*wire.Member
}

func newMemberLog(snapshot *wire.LogSnapshot, entries []*wire.LogEntry) *memberLog {
	m := &memberLog{lists: []memberList{{}}}
	if snapshot != nil {
		m.reset(snapshot)
	}
	for _, e := range entries {
		m.append(e)
	}
	return m
}

func (m *memberLog) reset(snapshot *wire.LogSnapshot) {
	m.lists = []memberList{{index: snapshot.Index, members: snapshot.Members}}
}

func (m *memberLog) append(e *wire.LogEntry) {
	if e.Kind != wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS || e.Index <= m.lastIndex() {
		return
	}
	m.lists = append(m.lists, memberList{index: e.Index, members: DecodeMembers(e)})
}

func (m *memberLog) truncateFrom(index uint64) {
	for len(m.lists) > 1 && m.lastIndex() >= index {
		m.lists = m.lists[:len(m.lists)-1]
	}
}

func (m *memberLog) compact(snapshot *wire.LogSnapshot) {
	kept := []memberList{{index: snapshot.Index, members: snapshot.Members}}
	for _, l := range m.lists {
		if l.index > snapshot.Index {
			kept = append(kept, l)
		}
	}
	m.lists = kept
}

func (m *memberLog) lastIndex() uint64       { return m.lists[len(m.lists)-1].index }
func (m *memberLog) current() []*wire.Member { return m.lists[len(m.lists)-1].members }

// at returns the member list in effect at a log index.
func (m *memberLog) at(index uint64) []*wire.Member {
	members := m.lists[0].members
	for _, l := range m.lists {
		if l.index <= index {
			members = l.members
		}
	}
	return members
}

func encodeMembers(config *wire.MemberConfig) []byte {
	data, err := proto.Marshal(config)
	if err != nil {
		panic(err)
	}
	return data
}

// DecodeMembers returns the member list of a log entry of kind MEMBERS. It panics
// if the entry can't be decoded.
func DecodeMembers(e *wire.LogEntry) []*wire.Member {
	config := &wire.MemberConfig{}
	if err := proto.Unmarshal(e.Data, config); err != nil {
		panic(err)
	}
	return config.Members
}

func isVoter(m *wire.Member) bool  { return !m.Learner && !m.Removed }
func isActive(m *wire.Member) bool { return !m.Removed }

func voterSet(members []*wire.Member) map[string]bool {
	voters := make(map[string]bool)
	for _, m := range members {
		if isVoter(m) {
			voters[m.Id] = true
		}
	}
	return voters
}

// atMostOneVoterChanged reports whether two member lists differ by one voter or
// none and the new one has a voter.
func atMostOneVoterChanged(old, next []*wire.Member) bool {
	before, after := voterSet(old), voterSet(next)
	changes := 0
	for id := range before {
		if !after[id] {
			changes++
		}
	}
	for id := range after {
		if !before[id] {
			changes++
		}
	}
	return changes <= 1 && len(after) > 0
}
