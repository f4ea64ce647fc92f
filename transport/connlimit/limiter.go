// Package connlimit bounds the connections that an HTTP server holds, and what clients hold
// before their requests have arrived: idle connections and incomplete headers.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

const (
	// sweepInterval is how often headers and idle connections are checked against their
	// time limits.
	sweepInterval = 250 * time.Millisecond
	// headerStalledAfter is the time after which an incomplete header gives way to a new
	// connection.
	headerStalledAfter = 250 * time.Millisecond
	// maxRefusals bounds the refused connections that wait for their answer to be read.
	// Further ones are closed without an answer.
	maxRefusals = 16
)

// Limits of the connections of one server. Zero means that a limit is not set.
type Limits struct {
	Connections   int
	HeaderBytes   int
	HeaderTimeout time.Duration // from the first byte of a header to its end
	IdleTimeout   time.Duration // without a request
}

// Counts are the connections that were closed, by cause.
type Counts struct {
	Open          int
	Refused       int64 // new ones, as the limit was reached
	EvictedIdle   int64 // idle ones, for new ones
	EvictedHeader int64 // ones with an incomplete header, for new ones
	IdleTimeouts  int64
	SlowHeaders   int64
	LongHeaders   int64
}

// Limiter holds the connections of one server.
type Limiter struct {
	limits       func() Limits
	evictStalled func() bool // ends a request whose body makes no progress; reports whether there was one
	logger       *logs.Logger
	refusals     chan struct{}

	mu     sync.Mutex
	open   map[*conn]struct{}
	counts Counts
}

// New returns a limiter. limits is called for each decision, so its result may change.
// evictStalled is called when a new connection is refused.
func New(limits func() Limits, evictStalled func() bool) *Limiter {
	return &Limiter{limits: limits, evictStalled: evictStalled, logger: logs.For("connections"), refusals: make(chan struct{}, maxRefusals), open: make(map[*conn]struct{})}
}

// Attach lets the limiter see the states of a server's connections. The server must serve
// a listener of Listen.
func (l *Limiter) Attach(server *http.Server) {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok {
			l.setState(c, state)
		}
	}
}

// Counts returns the open connections and those closed so far.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	counts.Open = len(l.open)
	return counts
}

// Run closes connections whose time limits have passed, until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.sweep(now)
		}
	}
}

func (l *Limiter) sweep(now time.Time) {
	limits := l.limits()
	var late []*conn
	l.mu.Lock()
	for c := range l.open {
		switch {
		case c.phase == phaseHeader && limits.HeaderTimeout > 0 && now.Sub(c.since) >= limits.HeaderTimeout:
			l.counts.SlowHeaders++
		case c.phase == phaseIdle && limits.IdleTimeout > 0 && now.Sub(c.since) >= limits.IdleTimeout:
			l.counts.IdleTimeouts++
		default:
			continue
		}
		late = append(late, c)
	}
	l.mu.Unlock()
	for _, c := range late {
		_ = c.Close() // the server finds it closed
	}
}

// admit adds a new connection, or returns false if the limit is reached and no connection
// can give way.
func (l *Limiter) admit(c *conn) bool {
	limits := l.limits()
	l.mu.Lock()
	var victim *conn
	if limits.Connections > 0 && len(l.open) >= limits.Connections {
		if victim = l.victim(time.Now()); victim == nil {
			l.counts.Refused++
			l.mu.Unlock()
			return false
		}
		if victim.phase == phaseIdle {
			l.counts.EvictedIdle++
		} else {
			l.counts.EvictedHeader++
		}
		delete(l.open, victim)
	}
	l.open[c] = struct{}{}
	l.mu.Unlock()
	if victim != nil {
		_ = victim.Close() // the server finds it closed
		l.logger.RateLimitedWarn("evicted").Int("limit", limits.Connections).Msg("The limit of connections is reached; one without a request is closed for a new one.")
	}
	return true
}

// victim returns the connection that has been idle for longest, else the one whose header
// has been incomplete for longest, else nil.
func (l *Limiter) victim(now time.Time) *conn {
	var idle, header *conn
	for c := range l.open {
		switch {
		case c.phase == phaseIdle && (idle == nil || c.since.Before(idle.since)):
			idle = c
		case c.phase == phaseHeader && now.Sub(c.since) >= headerStalledAfter && (header == nil || c.since.Before(header.since)):
			header = c
		}
	}
	if idle != nil {
		return idle
	}
	return header
}

func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// setState records what the server does with a connection.
func (l *Limiter) setState(c *conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.phase, c.since, c.headerBytes = phaseIdle, time.Now(), 0
	case http.StateActive, http.StateHijacked:
		c.phase = phaseRequest
	}
}

// recordHeader counts bytes that a connection read while the server waited for a header or
// was reading one. It returns false if the header is too long.
func (l *Limiter) recordHeader(c *conn, n int) bool {
	limits := l.limits()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == phaseRequest {
		return true
	}
	if c.phase == phaseIdle {
		c.phase, c.since = phaseHeader, time.Now()
	}
	c.headerBytes += n
	if limits.HeaderBytes > 0 && c.headerBytes > limits.HeaderBytes+readAheadBytes {
		l.counts.LongHeaders++
		return false
	}
	return true
}
