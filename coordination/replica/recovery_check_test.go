package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// recoveryRuns counts runs and what they caused.
type recoveryRuns struct {
	t       *testing.T
	number  int
	slowest int // ticks
	causes  map[string]int
}

// record counts a run that has recovered within some ticks.
func (r *recoveryRuns) record(s *sim, ticks int) {
	r.slowest = max(r.slowest, ticks)
	r.number++
	for what, n := range s.counts {
		r.causes[what] += n
	}
}

// recover ends all faults and returns the ticks until the group has elected, committed
// a new operation, confirmed a new read and made every replica a voter.
func (s *recoverySim) recover() int { return s.recoverUntil(s.admitAll, s.allVote) }

// recoverUntil is recover with another way to admit new replicas, and another condition for
// a group that is whole.
func (s *recoverySim) recoverUntil(admit func(), whole func() bool) int {
	s.heal()
	proposed, reads := s.proposed, s.counts["confirmed read"]
	s.pendingReads = nil
	for tick := range recoveryTicks {
		if tick%joinTicks == 0 {
			admit()
			if l := s.leaderNode(); l != nil {
				s.propose(l)
				s.read(l)
			}
		}
		s.checkMemberships()
		s.runLossy(1, false)
		if s.acknowledgedSince(proposed) && s.counts["confirmed read"] > reads && whole() {
			s.checkLogMatching()
			s.checkProposalOutcomes()
			return tick + 1
		}
	}
	s.t.Fatalf("not recovered after %d ticks: acknowledged %v, read %v, voters %s, %s", recoveryTicks,
		s.acknowledgedSince(proposed), s.counts["confirmed read"] > reads, activeVoters(s.members), s.describe())
	return 0
}

func (s *recoverySim) heal() {
	clear(s.blocked)
	for _, n := range s.nodes {
		n.fs.CrashAt = 0
		s.unfreeze(n)
		if n.replica == nil {
			s.start(n)
		}
	}
}

// checkMemberships does what checkMembership of package controlplane and RunControl do:
// a removed replica that knows no leader for a while starts anew with an empty folder.
func (s *recoverySim) checkMemberships() {
	for _, n := range s.nodes {
		if n.replica == nil {
			if s.reopening[n]--; s.reopening[n] <= 0 {
				s.start(n)
			}
			continue
		}
		st := n.replica.raft.Status()
		s.noLeader[n]++
		if st.Leader != "" || len(st.Members) == 0 {
			s.noLeader[n] = 0
		}
		if s.noLeader[n] < membershipCheckTicks {
			continue
		}
		s.noLeader[n] = 0
		l := s.leaderNode()
		if l == nil {
			continue
		}
		q := &wire.JoinRequest{Id: n.replica.id, Address: n.address}
		if _, err := nextJoinChange(l.replica.raft.Status().Members, q); fault.KindOf(err) == fault.Conflict {
			s.clearDisk(n)
			s.reopening[n] = reopenTicks
		}
	}
}

func (s *recoverySim) acknowledgedSince(proposed int) bool {
	return slices.ContainsFunc(s.acked, func(id string) bool {
		number := 0
		_, _ = fmt.Sscanf(id, "op-%d", &number)
		return number > proposed
	})
}

// allVote reports whether the voters of the newest committed list are the replicas that run.
func (s *recoverySim) allVote() bool {
	voters := activeVoters(s.members)
	for _, n := range s.nodes {
		if n.replica == nil || !slices.Contains(voters, n.replica.id) {
			return false
		}
	}
	return len(voters) == len(s.nodes)
}

func (s *recoverySim) describe() string {
	var b strings.Builder
	for _, n := range s.nodes {
		if n.replica == nil {
			fmt.Fprintf(&b, "%s down; ", n.address)
			continue
		}
		st := n.replica.raft.Status()
		fmt.Fprintf(&b, "%s id %.6s role %d term %d leader %.6s commit %d last %d list %d; ", n.address, n.replica.id, st.Role, st.Term, st.Leader, st.Commit, st.LastIndex, st.MembersIndex)
	}
	return b.String()
}

// countUncommitted counts which change of members a node that ends holds uncommitted,
// and a snapshot whose member list is not the one in its log.
func (s *recoverySim) countUncommitted(n *simNode) {
	st := n.replica.raft.Status()
	if st.SnapshotIndex > 0 && !slices.EqualFunc(n.replica.raft.MembersAt(st.SnapshotIndex), st.Members, sameMember) {
		s.counts["snapshot with another list"]++
	}
	if st.MembersIndex <= s.membersIndex {
		return
	}
	removed, learners := 0, 0
	for _, m := range st.Members {
		if m.Removed {
			removed++
		} else if m.Learner {
			learners++
		}
	}
	switch {
	case removed > len(s.members)-len(activeVoters(s.members))-learnersOf(s.members):
		s.counts["removal not committed"]++
	case learners > learnersOf(s.members):
		s.counts["addition not committed"]++
	case learners < learnersOf(s.members):
		s.counts["promotion not committed"]++
	}
}

func learnersOf(members []*wire.Member) (n int) {
	for _, m := range members {
		if m.Learner && !m.Removed {
			n++
		}
	}
	return n
}
