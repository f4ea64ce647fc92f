// Package permits keeps the rate limit that an endpoint states for the requests of all
// entries together, and the rate that a cold endpoint accepts from them. Before an entry
// sends a request to such an endpoint, it takes a permit from the endpoint's issuer, one
// of the entries, which each of them derives from the list of processes. When an entry
// can't reach the issuer, it asks the next in the order.
//
// While the entries disagree about who can be reached, several issue permits for one
// endpoint. Each divides the rate by its own place in the order, so that together they
// issue less than one and a half times the limit.
package permits

import (
	"context"
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/rendezvous"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

const (
	// fallbackDivisor divides the rate at which permits are issued for each place in the
	// order of issuers. The sum over all places is 4/3 of the rate.
	fallbackDivisor = 4
	// askTimeout is the longest time for which a request waits for a permit.
	askTimeout = 100 * time.Millisecond
	// noIssuerWait is when to ask again if the issuer did not answer: the next one is
	// then asked.
	noIssuerWait = 20 * time.Millisecond
)

// Limits knows the rate limits of the endpoints.
type Limits interface {
	// AllowedRate returns the rate, in requests a second, at which all entries together
	// may send to an endpoint, infinite if there is no limit.
	AllowedRate(key uint64) float64
	// RateLimitMessage returns a limit for other processes.
	RateLimitMessage(key uint64) *wire.RateLimit
	// MergeRateLimit applies a limit that another process knows.
	MergeRateLimit(key uint64, stated *wire.RateLimit)
}

// Ask sends a request for a permit to another entry.
type Ask func(ctx context.Context, address string, q *wire.PermitRequest) (*wire.PermitResponse, error)

// Permits takes permits for this entry and issues them for others. It is safe for
// concurrent use.
type Permits struct {
	self      string // address of this process
	limits    Limits
	processes func() []*wire.ProcessRecord
	ask       Ask
	issuer    *Issuer
	outages   *rendezvous.Outages
}

// New returns the permits of the entry at the address self. processes returns the records
// of the processes that are not gone.
func New(self string, limits Limits, processes func() []*wire.ProcessRecord, ask Ask, now func() monotonic.Time) *Permits {
	return &Permits{
		self: self, limits: limits, processes: processes, ask: ask, issuer: NewIssuer(now),
		outages: rendezvous.NewOutages(self, now, logs.For("permits")),
	}
}

// Take takes a permit for one request to an endpoint, which is granted at once if the
// endpoint has no rate limit. coldPerSecond is the rate that the endpoint accepts because
// it is cold, infinite if it isn't. If there is no permit, retryAfter is when to ask again.
func (p *Permits) Take(ctx context.Context, e *directory.Endpoint, coldPerSecond float64) (granted bool, retryAfter time.Duration) {
	perSecond := min(p.limits.AllowedRate(e.Key), coldPerSecond)
	if math.IsInf(perSecond, 1) {
		return true, 0
	}
	q := &wire.PermitRequest{Endpoint: e.Key, DataCentre: e.DataCentre, RateLimit: p.limits.RateLimitMessage(e.Key), PerSecond: perSecond}
	address := rendezvous.First(e.Key, e.DataCentre, p.processes(), p.outages.MayAsk)
	if address == p.self || address == "" {
		return p.issue(q)
	}
	response, err := rendezvous.Ask(ctx, askTimeout, func(ctx context.Context) (*wire.PermitResponse, error) {
		return p.ask(ctx, address, q)
	})
	if err != nil {
		if ctx.Err() == nil {
			p.outages.RecordFailure(address, err)
		}
		return false, noIssuerWait
	}
	p.outages.RecordAnswer(address)
	return response.Granted, time.Duration(response.RetryAfterMs) * time.Millisecond
}

// Answer answers a request for a permit of another entry.
func (p *Permits) Answer(q *wire.PermitRequest) *wire.PermitResponse {
	p.limits.MergeRateLimit(q.Endpoint, q.RateLimit)
	granted, retryAfter := p.issue(q)
	if granted {
		return &wire.PermitResponse{Granted: true}
	}
	return &wire.PermitResponse{RetryAfterMs: uint32(retryAfter.Milliseconds()) + 1}
}

// issue issues a permit at this entry's part of the rate. The rate is the lower one of
// those that this entry and the sender know: an issuer that was just started may not know
// that the endpoint is cold, or that its limit has just ended.
func (p *Permits) issue(q *wire.PermitRequest) (granted bool, retryAfter time.Duration) {
	perSecond := p.limits.AllowedRate(q.Endpoint)
	if q.PerSecond > 0 {
		perSecond = min(perSecond, q.PerSecond)
	}
	if math.IsInf(perSecond, 1) {
		return true, 0
	}
	place := rendezvous.Place(p.self, q.Endpoint, q.DataCentre, p.processes())
	return p.issuer.Take(q.Endpoint, perSecond/math.Pow(fallbackDivisor, float64(place)))
}
