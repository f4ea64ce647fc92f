package replica

import (
	"context"
	"sync"

	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// lostDiskReport says that the replica with an ID has lost its disk.
type lostDiskReport struct{ id string }

func (q lostDiskReport) run(r *Replica) { r.raft.ReportLost(q.id) }

// watchElectors asks the other voters for their replica IDs, as long as no leader is known,
// until ctx ends. A voter at whose address another replica answers has lost its disk: an ID
// is created with a data folder, and a process keeps its address. The group may have too few
// voters left to elect a leader that admits the new replica, unless this one knows that; see
// membership.Quorum.
func (r *Replica) watchElectors(ctx context.Context) {
	for wait.For(ctx, r.options.JoinInterval) {
		var calls sync.WaitGroup
		for _, elector := range r.Status().Electors {
			if elector.Id != r.id {
				calls.Go(func() { r.checkElector(ctx, elector) })
			}
		}
		calls.Wait()
	}
}

// checkElector reports a voter as lost if another replica answers at its address. The answer
// is to a call that began when the voter was known, so it can't be an earlier replica's.
func (r *Replica) checkElector(ctx context.Context, elector *wire.Member) {
	ctx, cancel := context.WithTimeout(ctx, r.options.PeerTimeout)
	defer cancel()
	answer, err := r.callJoin(ctx, elector.Address, &wire.JoinRequest{InquireOnly: true})
	if err != nil || answer.Id == "" || answer.Id == elector.Id {
		return
	}
	r.logger.RateLimitedWarn("lost disk").Str("replica", elector.Id).Str("address", elector.Address).Str("now", answer.Id).
		Msg("A voter has lost its disk: another replica answers at its address.")
	if err := r.enqueue(ctx, lostDiskReport{elector.Id}); err != nil {
		r.logger.RateLimitedWarn("lost disk").Str("replica", elector.Id).Err(err).Msg("The loss of a voter's disk could not be reported to Raft yet.")
	}
}
