// Package connlimit bounds the connections that an HTTP server holds, and what clients hold
// before their requests have arrived: idle connections and incomplete headers.
package connlimit

import (
	"cmp"
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
	// idleAfter and headerStalledAfter are the times after which a connection without a
	// request, or with an incomplete header, may be closed for a new one. Ordinary clients
	// send a header as soon as they are connected. With longer times they are refused while
	// others open connections without pause; with shorter ones their own connections are
	// closed before the server has read from them.
	idleAfter          = 10 * time.Millisecond
	headerStalledAfter = 50 * time.Millisecond
	// overshootDivisor lets new connections exceed the limit by a quarter. They replace
	// connections whose bodies were evicted and which are about to be closed.
	overshootDivisor = 4
	// minConnections keeps a process reachable, whatever its settings say.
	minConnections = 16
	// maxRefusals bounds the refused connections that stay open until their clients have read
	// the answer. Further ones are closed at once, and may be reset before that.
	maxRefusals = 64
	// defaultWriteTimeout bounds a write for which no deadline was set: those of net/http
	// itself are short.
	defaultWriteTimeout = 5 * time.Second
)

// Limits are the limits of the connections of one server; zero for none.
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
	EvictedBody   int64 // ones with a body without progress, for new ones
	IdleTimeouts  int64
	SlowHeaders   int64
	LongHeaders   int64
}

// Limiter limits the connections of one server. Its methods may be called concurrently.
type Limiter struct {
	limits       func() Limits
	evictStalled func() bool // refuses a request whose body makes no progress, and reports whether there was one
	logger       *logs.Logger
	refusals     chan struct{} // a token for each goroutine of refuse
	writeTimeout time.Duration

	mu     sync.Mutex
	open   map[*conn]struct{}
	counts Counts
}

// New returns a limiter. limits is called for each decision, so its result may change.
// evictStalled is called, without the limiter's lock, when no connection can be closed for a new one.
func New(limits func() Limits, evictStalled func() bool) *Limiter {
	return &Limiter{
		limits:       limits,
		evictStalled: evictStalled,
		logger:       logs.For("connections"),
		refusals:     make(chan struct{}, maxRefusals),
		writeTimeout: defaultWriteTimeout,
		open:         make(map[*conn]struct{}),
	}
}

// LimitFor returns the limit with which at most total connections are open, including those
// by which the limit may be exceeded. It is at least minConnections.
func LimitFor(total int) int {
	return max(minConnections, total*overshootDivisor/(overshootDivisor+1))
}

// Attach makes a server report the states of its connections. It must serve a listener of
// Listen.
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
	var expired []*conn
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
		expired = append(expired, c)
	}
	l.mu.Unlock()
	for _, c := range expired {
		_ = c.Close() // the server finds it closed
	}
}

// admit adds a new connection. It returns false if the limit is reached and no other connection
// can be closed for it.
func (l *Limiter) admit(c *conn) bool {
	limit := l.limits().Connections
	victim, admitted := l.tryAdmit(c, limit)
	if !admitted {
		admitted = l.hasRoomBeyond(limit) && l.evictStalled() && l.admitBeyond(c, limit)
	}
	if victim != nil {
		_ = victim.Close() // the server finds it closed
	}
	if !admitted {
		l.mu.Lock()
		l.counts.Refused++
		l.mu.Unlock()
	}
	return admitted
}

// tryAdmit adds a connection if there is room, or in place of a victim, which the caller must
// close.
func (l *Limiter) tryAdmit(c *conn, limit int) (victim *conn, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit > 0 && len(l.open) >= limit {
		victim = l.victim(time.Now())
		if victim == nil {
			return nil, false
		}
		l.countEviction(victim)
		delete(l.open, victim)
	}
	l.open[c] = struct{}{}
	return victim, true
}

// hasRoomBeyond reports whether a connection may be added beyond the limit, so that no body is
// evicted for one that is refused all the same.
func (l *Limiter) hasRoomBeyond(limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isBelowOvershoot(limit)
}

// isBelowOvershoot reports whether the limit may be exceeded further. The caller holds the
// lock.
func (l *Limiter) isBelowOvershoot(limit int) bool {
	return len(l.open) < limit+limit/overshootDivisor
}

// admitBeyond adds a connection in place of one whose body was evicted.
func (l *Limiter) admitBeyond(c *conn, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isBelowOvershoot(limit) {
		return false
	}
	l.counts.EvictedBody++
	l.open[c] = struct{}{}
	return true
}

func (l *Limiter) countEviction(victim *conn) {
	switch victim.phase {
	case phaseIdle:
		l.counts.EvictedIdle++
	case phaseHeader:
		l.counts.EvictedHeader++
	}
}

// minVictimAge is how long a connection has been in a phase before it may be closed for a new
// one.
var minVictimAge = [phaseCount]time.Duration{phaseIdle: idleAfter, phaseHeader: headerStalledAfter}

// victim returns the connection to close for a new one: one that was answered and is about to
// be closed, else one without a request, else one with an incomplete header; of several, the
// one that has been in that phase for the longest time. It returns nil if there is none.
func (l *Limiter) victim(now time.Time) *conn {
	var victims [phaseCount]*conn
	for c := range l.open {
		if now.Sub(c.since) < minVictimAge[c.phase] {
			continue
		}
		if longest := victims[c.phase]; longest == nil || c.since.Before(longest.since) {
			victims[c.phase] = c
		}
	}
	return cmp.Or(victims[phaseClosing], victims[phaseIdle], victims[phaseHeader])
}

// markClosing records that a connection was answered and is about to be closed.
func (l *Limiter) markClosing(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.phase, c.since = phaseClosing, time.Now()
	c.inRequest.Store(true)
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
		c.inRequest.Store(false)
	case http.StateActive, http.StateHijacked:
		c.phase = phaseRequest
		c.inRequest.Store(true)
	}
}

// recordHeader counts bytes that a connection read while the server waited for a header or
// was reading one. It returns false if the header is too long.
func (l *Limiter) recordHeader(c *conn, n int) bool {
	limits := l.limits()
	l.mu.Lock()
	defer l.mu.Unlock()
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
