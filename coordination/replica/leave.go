package replica

import (
	"context"
	"slices"

	"github.com/apricotspoke/apricotspoke/coordination/raft"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// leavingRequest makes this replica say that its process is about to end.
type leavingRequest struct{}

func (leavingRequest) run(r *Replica) { r.raft.AnnounceLeaving() }

// Leave prepares the end of this replica's process: it transfers the leadership, if this
// replica leads, and gives up its vote, if the group has more voters than it needs. The
// leader makes the change, see membership.Next; Leave returns once it is committed, or with
// Timeout when ctx ends. The replica goes on until Run ends. It gets its vote back when it is
// opened again.
func (r *Replica) Leave(ctx context.Context) error {
	if err := r.enqueue(ctx, leavingRequest{}); err != nil {
		return err
	}
	for {
		if err := r.TransferLeadership(ctx); err != nil {
			return err
		}
		if !r.hasSpareVote() {
			return nil
		}
		if !wait.For(ctx, r.options.TickInterval) {
			return fault.Wrap(ctx.Err(), fault.Timeout, "no leader has taken this replica's vote away in time")
		}
	}
}

// hasSpareVote reports whether this replica votes in a group that has more voters than it
// needs, by the list that is known to be committed.
func (r *Replica) hasSpareVote() bool {
	members := r.Status().AppliedMembers
	needed := r.options.MinVoters()
	votes := slices.ContainsFunc(members, func(m *wire.Member) bool { return m.Id == r.id && raft.IsVoter(m) })
	return votes && needed > 0 && CountVoters(members) > needed
}
