package raft

import (
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

func voters(ids ...string) []*wire.Member {
	var members []*wire.Member
	for _, id := range ids {
		members = append(members, &wire.Member{Id: id, Address: id})
	}
	return members
}

// replica returns one of a group of a, b and c whose log has one entry for each
// of the given terms behind the member list at index 1.
func replica(id string, term uint64, terms ...uint64) *Raft {
	snapshot := &wire.LogSnapshot{Index: 1, Term: 1, Members: voters("a", "b", "c")}
	var entries []*wire.LogEntry
	for i, t := range terms {
		entries = append(entries, &wire.LogEntry{Index: uint64(i) + 2, Term: t})
	}
	return New(Config{
		ID: id, Address: id, HardState: &wire.HardState{Term: term}, Snapshot: snapshot, Entries: entries,
		ElectionTicks: 10, HeartbeatTicks: 1, Random: func(int) int { return 0 },
	})
}

// flush does all ready work and returns the messages.
func flush(r *Raft) []*wire.PeerMessage {
	var sent []*wire.PeerMessage
	for {
		ready := r.Ready()
		if ready.Empty() {
			return sent
		}
		sent = append(sent, ready.Messages...)
		r.Advance(ready)
	}
}

// elect makes r the leader by the votes of b.
func elect(t *testing.T, r *Raft) {
	t.Helper()
	for range 10 {
		r.Tick()
	}
	r.Step(&wire.PeerMessage{Kind: preVoteReply, From: "b", To: r.id, Term: r.term + 1})
	r.Step(&wire.PeerMessage{Kind: voteReply, From: "b", To: r.id, Term: r.term})
	if r.role != Leader {
		t.Fatalf("role %d", r.role)
	}
	flush(r)
}

func TestEntryOfAnEarlierTermIsNotCommittedByCounting(t *testing.T) {
	r := replica("a", 2, 2)
	elect(t, r)
	r.Step(&wire.PeerMessage{Kind: appendReply, From: "b", To: "a", Term: r.term, Index: 2})
	if c := r.Status().Commit; c != 1 {
		t.Fatalf("committed %d", c)
	}
	if r.ReadIndex(1) != ErrNotReady {
		t.Fatal("a read was taken before an entry of the term is committed")
	}
	if _, _, err := r.ProposeMembers(voters("a", "b")); err != ErrNotReady {
		t.Fatalf("a membership change was taken: %v", err)
	}
	r.Step(&wire.PeerMessage{Kind: appendReply, From: "b", To: "a", Term: r.term, Index: 3})
	if c := r.Status().Commit; c != 3 {
		t.Fatalf("committed %d", c)
	}
	if _, _, err := r.ProposeMembers(voters("a", "b")); err != nil {
		t.Fatal(err)
	}
	if _, _, err := r.ProposeMembers(voters("a")); err != ErrChangePending {
		t.Fatalf("a second change was taken: %v", err)
	}
}

func TestVoteIsPartOfTheHardState(t *testing.T) {
	r := replica("c", 4)
	r.Step(&wire.PeerMessage{Kind: vote, From: "a", To: "c", Term: 5, Index: 1, LogTerm: 1})
	flush(r)
	r.Step(&wire.PeerMessage{Kind: vote, From: "a", To: "c", Term: 5, Index: 1, LogTerm: 1})
	if r.saved.Term != 5 || r.saved.Vote != "a" {
		t.Fatalf("saved %d %q", r.saved.Term, r.saved.Vote)
	}
	// A vote in a term that is already saved must be saved as well.
	r = replica("c", 5)
	r.Step(&wire.PeerMessage{Kind: vote, From: "a", To: "c", Term: 5, Index: 1, LogTerm: 1})
	if ready := r.Ready(); ready.HardState == nil || ready.HardState.Vote != "a" || ready.Messages[0].Reject {
		t.Fatal("the vote is not in the hard state")
	}
	r.Step(&wire.PeerMessage{Kind: vote, From: "b", To: "c", Term: 5, Index: 9, LogTerm: 4})
	if sent := flush(r); !sent[len(sent)-1].Reject {
		t.Fatal("two votes in one term")
	}
}

func TestCommitGoesNoFurtherThanTheAgreedEntries(t *testing.T) {
	r := replica("c", 3, 1, 2, 2) // 3 and 4 are of a term that was replaced
	r.Step(&wire.PeerMessage{Kind: appendEntries, From: "a", To: "c", Term: 3, Index: 2, LogTerm: 1, Commit: 4})
	if c := r.Status().Commit; c != 2 {
		t.Fatalf("committed %d", c)
	}
}

func TestReplacedMemberListIsTakenBack(t *testing.T) {
	r := replica("c", 2)
	list := encodeMembers(&wire.MemberConfig{Members: voters("a", "b", "c", "d")})
	r.Step(&wire.PeerMessage{Kind: appendEntries, From: "a", To: "c", Term: 2, Index: 1, LogTerm: 1, Entries: []*wire.LogEntry{
		{Index: 2, Term: 2, Kind: wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERS, Data: list}}})
	if len(r.Status().Members) != 4 {
		t.Fatal("the list is not in force when appended")
	}
	r.Step(&wire.PeerMessage{Kind: appendEntries, From: "b", To: "c", Term: 3, Index: 1, LogTerm: 1, Entries: []*wire.LogEntry{{Index: 2, Term: 3}}})
	if len(r.Status().Members) != 3 {
		t.Fatal("the replaced list is still in force")
	}
}

func TestMessagesForAFormerIdentityAreDropped(t *testing.T) {
	r := replica("c", 2)
	r.Step(&wire.PeerMessage{Kind: vote, From: "a", To: "former", Term: 5, Index: 9, LogTerm: 4})
	if sent := flush(r); len(sent) != 0 || r.term != 2 {
		t.Fatal("a new replica answered for the former one")
	}
}

func TestChangeOfTwoVotersIsRefused(t *testing.T) {
	if oneVoterApart(voters("a", "b", "c"), voters("a", "d")) {
		t.Fatal("two majorities that don't meet")
	}
}

func TestLeaderCountsItselfOnlyUpToItsSync(t *testing.T) {
	r := replica("a", 2)
	elect(t, r)
	r.Step(&wire.PeerMessage{Kind: appendReply, From: "b", To: "a", Term: r.term, Index: 2})
	index, _, err := r.Propose([]byte("x"))
	if err != nil {
		t.Fatal(err)
	}
	ready := r.Ready()
	r.Step(&wire.PeerMessage{Kind: appendReply, From: "b", To: "a", Term: r.term, Index: index})
	if r.Status().Commit >= index {
		t.Fatal("committed with one synced copy of three")
	}
	r.Advance(ready)
	if r.Status().Commit != index {
		t.Fatal("not committed with two synced copies")
	}
}

// A whole group that was started anew has a leader before a running group would
// even call an election.
func TestGroupThatWasStartedAnewElectsSoon(t *testing.T) {
	a, b := replica("a", 4, 4), replica("b", 4, 4)
	a.random, b.random = func(n int) int { return n - 1 }, func(n int) int { return n - 1 }
	a.resetTimeout()
	ticks := 0
	for ; a.role != Leader && ticks < 30; ticks++ {
		a.Tick()
		for sent := flush(a); len(sent) > 0; sent = flush(a) {
			for _, m := range sent {
				b.Step(m)
			}
			for _, m := range flush(b) {
				a.Step(m)
			}
		}
	}
	if ticks >= a.electionTicks {
		t.Fatalf("a leader after %d ticks, the least election timeout has %d", ticks, a.electionTicks)
	}
	b.becomeFollower(b.term, "a")
	if b.timeout < b.electionTicks {
		t.Fatalf("a replica that has met a leader campaigns after %d ticks", b.timeout)
	}
}

// A replica that was started anew beside a leader that lives changes no term.
func TestCampaignAfterARestartDisturbsNoLeader(t *testing.T) {
	leader, restarted := replica("a", 4, 4), replica("c", 4, 4)
	elect(t, leader)
	term := leader.term
	for range 20 {
		restarted.Tick()
		for _, m := range flush(restarted) {
			leader.Step(m)
		}
	}
	if leader.role != Leader || leader.term != term || restarted.term != 4 {
		t.Fatalf("leader: role %d, term %d; restarted: term %d", leader.role, leader.term, restarted.term)
	}
}
