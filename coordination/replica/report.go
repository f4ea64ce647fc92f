package replica

import (
	"fmt"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/membership"
	"github.com/apricotspoke/apricotspoke/coordination/raft"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	// stalledAfter is the time for which a replica may know no leader, or a leader may
	// commit nothing although proposals wait, before a line says so.
	stalledAfter = time.Second
	// stalledReportInterval is the time between two such lines.
	stalledReportInterval = 5 * time.Second
)

// reporter logs which leader a replica knows, and why the group commits nothing. It is
// owned by the goroutine of Run.
type reporter struct {
	leader     string
	term       uint64
	commit     uint64
	calmAt     time.Time // last commit, last change of the leader, or last moment at which nothing was waiting for one
	reportedAt time.Time // last line about a group that commits nothing
}

// observe logs a change of the known leader, and that the group has committed nothing for
// stalledAfter although it should have.
func (o *reporter) observe(r *Replica, s raft.Status, now time.Time) {
	if s.Leader != o.leader || s.Term != o.term && s.Leader != "" {
		r.logger.Info().Str("replica", r.id).Str("leader", s.Leader).Str("before", o.leader).Uint64("term", s.Term).
			Str("members", memberText(r, s)).Uint64("commit", s.Commit).Uint64("last", s.LastIndex).
			Dur("calm", now.Sub(o.calmAt)).Msg("The replica knows another leader.")
		o.leader, o.term, o.calmAt = s.Leader, s.Term, now
	}
	waits := s.Leader == "" && len(s.Members) > 0 || s.Role == raft.Leader && len(r.proposals) > 0
	if s.Commit != o.commit || !waits {
		o.commit, o.calmAt = s.Commit, now
		return
	}
	stalled := now.Sub(o.calmAt)
	if stalled < stalledAfter || now.Sub(o.reportedAt) < stalledReportInterval {
		return
	}
	o.reportedAt = now
	r.logger.Warn().Str("replica", r.id).Str("leader", s.Leader).Uint64("term", s.Term).Str("members", memberText(r, s)).
		Uint64("commit", s.Commit).Uint64("last", s.LastIndex).Int("proposals", len(r.proposals)).Dur("stalled", stalled).
		Msg("The control group commits nothing.")
}

// reportMemberChange logs a change of the members that this leader has proposed.
func (r *Replica) reportMemberChange(action membership.Action, m membership.Member, address string) {
	line := r.logger.Info().Str("replica", m.ID).Str("address", address).Dur("silence", m.Silence)
	switch action {
	case membership.Demote:
		if m.Leaving {
			line.Msg("A voter whose process is about to end becomes a learner; it votes again once it is back.")
			return
		}
		line.Msg("A voter that is not heard becomes a learner; it votes again once it is heard.")
	case membership.Promote:
		line.Msg("A learner has caught up and becomes a voter.")
	case membership.Remove:
		line.Msg("A learner that is not heard is removed.")
	}
}

// reportRemovals logs which members a committed list has removed.
func (r *Replica) reportRemovals(index uint64, members []*wire.Member) {
	removedBefore := make(map[string]bool)
	for _, m := range r.raft.MembersAt(index - 1) {
		removedBefore[m.Id] = m.Removed
	}
	for _, m := range members {
		if m.Removed && !removedBefore[m.Id] {
			r.logger.Info().Str("replica", m.Id).Str("address", m.Address).Uint64("index", index).Msg("A member has been removed from the group.")
		}
	}
}

// memberText lists the members that are not removed, with their progress if this replica
// leads.
func memberText(r *Replica, s raft.Status) string {
	var texts []string
	for _, m := range s.Members {
		if m.Removed {
			continue
		}
		kind := "voter"
		if m.Learner {
			kind = "learner"
		}
		text := fmt.Sprintf("%s %.8s at %s", kind, m.Id, m.Address)
		if p := r.raft.ProgressOf(m.Id); p != "" {
			text += " " + p
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ", ")
}
