// Package control serves the control role over the replicated log: operators'
// changes, claims, quota leases, gate leases, order results, gates' reports and
// the fleet configuration. Followers pass calls on to the leader.
package control

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Status tells what a replica knows of its group.
type Status struct {
	ID            string
	Leader        string
	LeaderAddress string
	IsLeader      bool
	Term          uint64
	Commit        uint64
	Applied       uint64
	FirstIndex    uint64
	SnapshotIndex uint64
	Members       []*wire.Member
	LeaderSince   time.Time // when this replica became leader
}

// Replica is the replicated log that the services propose to.
type Replica interface {
	// Propose commits and applies a command and returns the machine's result.
	// It fails with NotLeader when nothing was proposed.
	Propose(ctx context.Context, command *wire.Command) (any, error)
	// Barrier returns a moment such that all that was committed before it is
	// applied here, as confirmed by a quorum.
	Barrier(ctx context.Context) (time.Time, error)
	Status() Status
	ChangeMembers(ctx context.Context, change *wire.MemberChange) error
	Transfer(ctx context.Context) error
}
