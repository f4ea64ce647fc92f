package quarantine

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/rendezvous"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

const (
	// askTimeout bounds a call to the entry that grants leases.
	askTimeout = 100 * time.Millisecond
	// noGranterWait is when to ask again if the entry did not answer: the next one in the
	// order is then asked.
	noGranterWait = 20 * time.Millisecond
)

// Calls are the calls to the entry that grants leases.
type Calls interface {
	Take(ctx context.Context, address string, q *wire.TrialRequest) (*wire.TrialResponse, error)
	End(ctx context.Context, address string, q *wire.TrialEnd) error
}

// Guard decides which requests of this entry may be sent, and grants leases to others. For
// each service the entries ask the same one of them. It is safe for concurrent use.
type Guard struct {
	*Tracker
	self      string // address of this process
	processes func() []*wire.ProcessRecord
	calls     Calls
	outages   *rendezvous.Outages
	leases    *leases
	logger    *logs.Logger
}

// NewGuard returns the guard of the entry at the address self. processes returns the records
// of the processes that are not gone.
func NewGuard(self string, tracker *Tracker, processes func() []*wire.ProcessRecord, calls Calls, now func() monotonic.Time) *Guard {
	logger := logs.For("quarantine")
	return &Guard{
		Tracker: tracker, self: self, processes: processes, calls: calls, logger: logger,
		outages: rendezvous.NewOutages(self, now, logger), leases: newLeases(now),
	}
}

// Lease allows one request with unclear parts.
type Lease struct {
	guard   *Guard
	id      uint64
	granter string // address
	parts   []uint64
	probed  uint64 // the quarantined one of the parts, 0 if there is none
}

// probedPart returns the quarantined part that a request with the lease tries, 0 without one.
func (l *Lease) probedPart() uint64 {
	if l == nil {
		return 0
	}
	return l.probed
}

// Take asks for a lease on the unclear ones of a request's parts; the request lasts a time
// at most. If Take returns none, retryAfter is when to ask again.
func (g *Guard) Take(ctx context.Context, service string, parts []uint64, lasts time.Duration) (l *Lease, retryAfter time.Duration) {
	parts, probed := g.unclear(parts)
	q := &wire.TrialRequest{Parts: parts, LastsMs: uint32(max(lasts, 0).Milliseconds()), Events: g.EventsOf(parts)}
	granter := rendezvous.First(Key(service, ""), "", g.processes(), g.outages.MayAsk)
	if granter == g.self || granter == "" {
		return g.leaseOf(g.Answer(q), g.self, parts, probed)
	}
	response, err := rendezvous.Ask(ctx, askTimeout, func(ctx context.Context) (*wire.TrialResponse, error) {
		return g.calls.Take(ctx, granter, q)
	})
	if err != nil {
		if ctx.Err() == nil {
			g.outages.RecordFailure(granter, err)
		}
		return nil, noGranterWait
	}
	g.outages.RecordAnswer(granter)
	g.Apply(response.Events)
	return g.leaseOf(response, granter, parts, probed)
}

func (g *Guard) leaseOf(response *wire.TrialResponse, granter string, parts []uint64, probed uint64) (l *Lease, retryAfter time.Duration) {
	if response.Lease == 0 {
		return nil, time.Duration(response.RetryAfterMs) * time.Millisecond
	}
	return &Lease{guard: g, id: response.Lease, granter: granter, parts: parts, probed: probed}, 0
}

// Answer answers the request of an entry for a lease.
func (g *Guard) Answer(q *wire.TrialRequest) *wire.TrialResponse {
	g.Apply(q.Events)
	response := &wire.TrialResponse{Events: g.EventsOf(q.Parts)}
	if standing, _ := g.Check(q.Parts); standing < Postponed && !g.awaitsOtherParts(q.Parts) {
		response.Lease = g.leases.take(q.Parts, time.Duration(q.LastsMs)*time.Millisecond, g.mustBeAlone(q.Parts))
	}
	if response.Lease == 0 {
		response.RetryAfterMs = uint32(leaseRetry.Milliseconds())
	}
	return response
}

// AnswerEnd ends a lease of another entry, which tells what it has seen of the parts.
func (g *Guard) AnswerEnd(q *wire.TrialEnd) {
	g.Apply(q.Events)
	g.leases.end(q.Lease)
}

// End ends the lease. It returns at once; if the granting entry can't be reached, the lease
// expires.
func (l *Lease) End() {
	g := l.guard
	if l.granter == g.self {
		g.leases.end(l.id)
		return
	}
	q := &wire.TrialEnd{Lease: l.id, Events: g.EventsOf(l.parts)}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		if err := g.calls.End(ctx, l.granter, q); err != nil {
			g.outages.RecordFailure(l.granter, err)
		}
	}()
}
