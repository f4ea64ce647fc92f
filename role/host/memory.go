package host

import (
	"fmt"
	"io"

	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/state/hostconfig"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/apricotspoke/apricotspoke/transport/bodybudget"
	"github.com/apricotspoke/apricotspoke/transport/connlimit"
)

const (
	// reservedDescriptors are kept for links, logs and files.
	reservedDescriptors = 200
	// descriptorsPerCaller counts the caller's connection and the one to its endpoint.
	descriptorsPerCaller = 2
	// connectionMemoryDivisor makes callers' connections take at most a quarter of the
	// process's memory.
	connectionMemoryDivisor = 4
)

// maxConnections returns the limit of callers' connections, 0 for none. The connections by
// which connlimit may exceed it fit into the memory and the descriptors too.
func maxConnections(p *hostconfig.Process) int {
	limit := 0
	if p.MaxDescriptors > 0 {
		limit = connlimit.LimitFor((p.MaxDescriptors - reservedDescriptors) / descriptorsPerCaller)
	}
	if p.MemoryBytes > 0 {
		byMemory := connlimit.LimitFor(int(p.MemoryBytes / connectionMemoryDivisor / connlimit.BytesPerConnection))
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

// configuredLimits returns the limits of the configuration, all zero before there is one.
func configuredLimits(store *statecache.Store) catalogue.Limits {
	if c := store.State().Catalogue; c != nil {
		return c.Limits
	}
	return catalogue.Limits{}
}

// newBodyBudget returns the budget of the process, with its metrics.
func newBodyBudget(p *hostconfig.Process, registry *metrics.Registry) *bodybudget.Budget {
	budget := bodybudget.New(bodybudget.ShareOf(p.MemoryBytes))
	registry.AddCollector(func(w io.Writer) {
		counts := budget.Counts()
		fmt.Fprintf(w, "bodies_held_bytes %d\n", budget.HeldBytes())
		fmt.Fprintf(w, "bodies_refused{cause=\"evicted\"} %d\nbodies_refused{cause=\"no_room\"} %d\n", counts.Evicted, counts.NoRoom)
		fmt.Fprintf(w, "bodies_refused{cause=\"too_slow\"} %d\nbodies_refused{cause=\"too_large\"} %d\n", counts.TimedOut, counts.TooLarge)
	})
	return budget
}

// newConnectionLimiter returns the limiter of callers' connections, with its metrics.
func newConnectionLimiter(reloadable *hostconfig.Reloadable, store *statecache.Store, bodies *bodybudget.Budget, registry *metrics.Registry) *connlimit.Limiter {
	limiter := connlimit.New(func() connlimit.Limits {
		l := configuredLimits(store)
		return connlimit.Limits{
			Connections:   maxConnections(reloadable.Get()),
			HeaderBytes:   l.HeaderBytes,
			HeaderTimeout: l.HeaderTimeout,
			IdleTimeout:   l.IdleTimeout,
		}
	}, bodies.EvictStalled)
	registry.AddCollector(func(w io.Writer) {
		c := limiter.Counts()
		fmt.Fprintf(w, "caller_connections %d\n", c.Open)
		fmt.Fprintf(w, "caller_connections_closed{cause=\"refused\"} %d\n", c.Refused)
		fmt.Fprintf(w, "caller_connections_closed{cause=\"evicted_idle\"} %d\ncaller_connections_closed{cause=\"evicted_header\"} %d\n", c.EvictedIdle, c.EvictedHeader)
		fmt.Fprintf(w, "caller_connections_closed{cause=\"evicted_body\"} %d\n", c.EvictedBody)
		fmt.Fprintf(w, "caller_connections_closed{cause=\"idle\"} %d\ncaller_connections_closed{cause=\"slow_header\"} %d\n", c.IdleTimeouts, c.SlowHeaders)
		fmt.Fprintf(w, "caller_connections_closed{cause=\"long_header\"} %d\n", c.LongHeaders)
	})
	return limiter
}
