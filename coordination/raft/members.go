package raft

import (
	"maps"
	"slices"

	"github.com/apricotspoke/apricotspoke/coordination/membership"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// memberLog holds the member lists that are in the log. The newest one takes
// effect as soon as it is appended, before it is committed. The one before it may still
// count towards the quorum, as the newest one may not be committed; but the one before
// that doesn't, as a list is only appended once the one before it is committed.
//
// A leader that has committed a list with other voters appends it a second time. A log
// whose last two lists have the same voters thus says that they are committed, also after
// a restart.
type memberLog struct {
	lists []memberList

	// The following are derived from lists.
	before      membership.Voters // of the list before the newest one, nil if they are the same
	changeIndex uint64            // of the newest list that differs from the one before it
}

type memberList struct {
	index   uint64
	members []*wire.Member
	voters  membership.Voters
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
	m.lists = []memberList{newMemberList(snapshot.Index, snapshot.Members)}
	m.derive()
}

func newMemberList(index uint64, members []*wire.Member) memberList {
	return memberList{index: index, members: members, voters: voterSet(members)}
}

// derive must be called after each change of lists.
func (m *memberLog) derive() {
	last := len(m.lists) - 1
	m.before = nil
	if last > 0 && !maps.Equal(m.lists[last-1].voters, m.voters()) {
		m.before = m.lists[last-1].voters
	}
	for last > 0 && sameMembers(m.lists[last].members, m.lists[last-1].members) {
		last--
	}
	m.changeIndex = m.lists[last].index
}

// voters returns the voters of the newest list.
func (m *memberLog) voters() membership.Voters { return m.lists[len(m.lists)-1].voters }

// isSettled reports whether the log says that the voters of the newest list are committed.
func (m *memberLog) isSettled() bool { return len(m.before) == 0 }

func sameMembers(a, b []*wire.Member) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Member) bool { return proto.Equal(x, y) })
}

func (m *memberLog) append(e *wire.LogEntry) {
	if e.Kind != wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS || e.Index <= m.lastIndex() {
		return
	}
	m.lists = append(m.lists, newMemberList(e.Index, DecodeMembers(e)))
	m.derive()
}

func (m *memberLog) truncateFrom(index uint64) {
	for len(m.lists) > 1 && m.lastIndex() >= index {
		m.lists = m.lists[:len(m.lists)-1]
	}
	m.derive()
}

func (m *memberLog) compact(snapshot *wire.LogSnapshot) {
	kept := []memberList{newMemberList(snapshot.Index, snapshot.Members)}
	for _, l := range m.lists {
		if l.index > snapshot.Index {
			kept = append(kept, l)
		}
	}
	m.lists = kept
	m.derive()
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

// IsVoter reports whether a member's vote counts.
func IsVoter(m *wire.Member) bool { return !m.Learner && !m.Removed }

func isActive(m *wire.Member) bool { return !m.Removed }

func voterSet(members []*wire.Member) membership.Voters {
	voters := make(membership.Voters)
	for _, m := range members {
		if IsVoter(m) {
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
