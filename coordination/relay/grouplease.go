package relay

import (
	"context"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/group"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	reservationTTL = 8 * time.Second // of a reservation that is not renewed
	renewInterval  = 2 * time.Second
	reserveTimeout = time.Second // for one Reserve call
)

// groupLease makes, renews and releases the reservations of one group. It
// implements group.Reserver.
type groupLease struct {
	ctx     context.Context
	gates   Gates
	session *groupSession

	mu        sync.Mutex
	addresses map[string]string // addresses of the members' endpoints, by name
}

func newGroupLease(ctx context.Context, gates Gates, s *groupSession) *groupLease {
	return &groupLease{ctx: ctx, gates: gates, session: s, addresses: make(map[string]string)}
}

// Reserve implements group.Reserver.
func (l *groupLease) Reserve(m group.Member) group.Reply {
	reply, err := l.reserve(m)
	if err != nil {
		return group.Reply{}
	}
	if fault.KindOf(fault.FromWire(reply.Failure)) == fault.Overloaded {
		return group.Reply{FreeTokens: reply.FreeTokens}
	}
	if reply.Held {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.addresses[m.Name] = reply.EndpointAddress
	}
	return group.Reply{Reserved: reply.Held && reply.EndpointAddress != ""}
}

func (l *groupLease) address(member string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[member]
}

func (l *groupLease) reserve(m group.Member) (*wire.ReserveResponse, error) {
	report := l.session.endpoints[m.Name].Report
	gate, err := l.gates.Gate(report.GateAddress)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(l.ctx, reserveTimeout)
	defer cancel()
	return gate.Reserve(ctx, &wire.ReserveRequest{
		Reservation: l.session.reservation, GateInstance: report.GateInstance, MemoryTokens: m.ReserveTokens,
		ValidMs: uint32(reservationTTL.Milliseconds()), Request: l.session.job.Open.Request,
	})
}

// Release implements group.Reserver. A reservation whose release fails expires
// after reservationTTL.
func (l *groupLease) Release(m group.Member) {
	gate, err := l.gates.Gate(l.session.endpoints[m.Name].Report.GateAddress)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(l.ctx), cancelTimeout)
	defer cancel()
	_, _ = gate.Release(ctx, &wire.ReleaseRequest{Reservation: l.session.reservation})
}

// releaseAll releases all reservations in the background.
func (l *groupLease) releaseAll(members []group.Member) {
	for _, m := range members {
		go l.Release(m)
	}
}

// renew renews a reservation until the context of the lease ends. If the gate
// no longer holds the reservation, it cancels the session.
func (l *groupLease) renew(m group.Member, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.ctx.Done():
			return
		}
		if reply, err := l.reserve(m); err == nil && !reply.Held {
			cancel(fault.New(fault.EndpointFailed, "endpoint %s no longer holds its reservation", m.Name))
			return
		}
	}
}
