// Package control serves the control role over the replicated log: operators'
// changes, claims, quota leases, gate leases, order results, gates' reports and
// the fleet configuration. Followers pass calls on to the leader.
package control

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Replica is the replicated log that the services propose to.
type Replica interface {
	// Propose stamps a command with a time that never goes back, commits it
	// and returns the machine's result.
	// It fails with NotLeader when nothing was proposed.
	Propose(ctx context.Context, command *wire.Command) (any, error)
	// Barrier returns a moment such that all that was committed before it is
	// applied here, as confirmed by a quorum.
	Barrier(ctx context.Context) (time.Time, error)
	Status() replica.Status
	ChangeMembers(ctx context.Context, change *wire.MemberChange) error
	TransferLeadership(ctx context.Context) error
}
