package replica

import (
	"slices"

	"github.com/apricotspoke/apricotspoke/coordination/raft"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"google.golang.org/protobuf/proto"
)

// checkLeader checks election safety and leader completeness if n leads.
func (s *sim) checkLeader(n *simNode) {
	s.collectAnswers()
	st := n.replica.raft.Status()
	if st.Role != raft.Leader {
		return
	}
	if was := s.leaders[st.Term]; was != "" && was != n.replica.id {
		s.t.Fatalf("election safety: two leaders in term %d", st.Term)
	}
	if s.leaders[st.Term] == "" {
		s.counts["leader elected"]++
		s.leaders[st.Term] = n.replica.id
		s.checkLeaderCompleteness(n, st)
	}
}

// checkLeaderCompleteness checks that a new leader's log contains every entry that
// was applied in terms up to its own. Entries of later terms don't count, as a
// candidate that was frozen may still win an earlier term with votes that were
// held for it.
func (s *sim) checkLeaderCompleteness(n *simNode, st raft.Status) {
	for index, what := range s.appliedEntries {
		if s.appliedTerms[index] > st.Term {
			continue
		}
		if index > st.LastIndex {
			s.t.Fatalf("leader completeness: entry %d is missing from the log of %s, which ends at %d", index, n.address, st.LastIndex)
		}
		held := n.replica.raft.Entries(index)
		if index < st.FirstIndex || len(held) == 0 {
			continue
		}
		if c := decodeCommand(held[0]); c == nil || c.GetApply().GetOperationId() != what {
			s.t.Fatalf("leader completeness: %s has another entry at %d", n.address, index)
		}
	}
}

func (s *sim) checkLogMatching() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[i+1:] {
			if a.replica != nil && b.replica != nil {
				s.checkPair(a, b)
			}
		}
	}
}

// checkPair checks that two logs are equal up to the last index at which their
// terms are equal.
func (s *sim) checkPair(a, b *simNode) {
	agree := false
	ra, rb := a.replica.raft, b.replica.raft
	low := max(ra.Status().FirstIndex, rb.Status().FirstIndex)
	for i := min(ra.Status().LastIndex, rb.Status().LastIndex); i >= low && i > 0; i-- {
		ea, eb := ra.Entries(i)[0], rb.Entries(i)[0]
		if ea.Term == eb.Term {
			agree = true
		}
		if agree && !proto.Equal(ea, eb) {
			s.t.Fatalf("log matching: %s and %s differ at %d", a.address, b.address, i)
		}
	}
}

// collectAnswers records the proposals and reads that were answered and removes
// them from the pending ones.
func (s *sim) collectAnswers() {
	s.pendingProposals = slices.DeleteFunc(s.pendingProposals, func(w *pendingRequest) bool {
		select {
		case a := <-w.done:
			s.recordAnswer(w, a.err)
			return true
		default:
			return false
		}
	})
	s.pendingReads = slices.DeleteFunc(s.pendingReads, func(w *pendingRequest) bool {
		select {
		case a := <-w.done:
			if a.err == nil {
				s.counts["confirmed read"]++
				s.checkRead(w)
			}
			return true
		default:
			return false
		}
	})
}

func (s *sim) recordAnswer(w *pendingRequest, err error) {
	if err == nil {
		s.acked = append(s.acked, w.id)
		s.counts["acknowledged"]++
	} else if fault.KindOf(err).NotRun() {
		s.rejected[w.id] = true
	} else {
		s.counts["outcome unknown"]++
	}
}

// checkRead checks that a confirmed read sees every operation that was
// acknowledged before the read was requested.
func (s *sim) checkRead(w *pendingRequest) {
	seen := make(map[string]bool)
	for _, id := range w.node.log {
		seen[id] = true
	}
	for _, id := range s.acked[:w.acked] {
		if !seen[id] {
			s.t.Fatalf("stale read: %s confirmed a read without %s", w.node.address, id)
		}
	}
}

// checkProposalOutcomes checks that acknowledged operations were applied exactly
// once and rejected ones never.
func (s *sim) checkProposalOutcomes() {
	times := make(map[string]int)
	for _, id := range s.order {
		times[id]++
	}
	for _, id := range s.acked {
		if times[id] != 1 {
			s.t.Fatalf("acknowledged %s was applied %d times", id, times[id])
		}
	}
	for id := range s.rejected {
		if times[id] != 0 {
			s.t.Fatalf("rejected %s was committed", id)
		}
	}
}

// recordApplied records the operation applied at an index and checks that all
// replicas apply the same one there.
func (s *sim) recordApplied(index, term uint64, what string) {
	if was, ok := s.appliedEntries[index]; ok && was != what {
		s.t.Fatalf("index %d was applied as %q and as %q", index, was, what)
	}
	if _, ok := s.appliedEntries[index]; !ok {
		s.appliedTerms[index] = term
	}
	s.appliedEntries[index] = what
}
