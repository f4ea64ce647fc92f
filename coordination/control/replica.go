// Package control implements the gRPC services of the control role on top of
// the replicated log: operators' changes, claims, quota leases, gate leases,
// order results, gate reports and the fleet configuration. Followers forward
// calls to the leader.
package control

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Replica is the replicated log that commands are proposed to.
type Replica interface {
	// Propose stamps a command with a time that never goes back, commits it and
	// returns the state machine's result. It fails with NotLeader if nothing
	// was proposed; after other errors the command may still be committed.
	Propose(ctx context.Context, command *wire.Command) (any, error)
	// Barrier returns a time after the call such that everything committed
	// before it is applied here. A quorum confirms that this replica still
	// leads; otherwise Barrier fails.
	Barrier(ctx context.Context) (time.Time, error)
	Status() replica.Status
	ChangeMembers(ctx context.Context, change *wire.MemberChange) error
	TransferLeadership(ctx context.Context) error
}
