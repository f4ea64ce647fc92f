// Package faultproxy is a TCP proxy that injects network faults: connections that
// close, are reset, refused or delayed, or become a black hole, which accepts writes
// and delivers nothing.
package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

// AcceptMode is what the proxy does with new connections.
type AcceptMode int

// The accept modes.
const (
	Forward   AcceptMode = iota // forward data in both directions
	Refuse                      // reset the connection at once
	Blackhole                   // accept the connection, read everything and forward nothing
)

// Direction is a set of the directions of data on a connection.
type Direction int

// Up is from the client to the target, Down from the target to the client.
const (
	Up Direction = 1 << iota
	Down
	Both = Up | Down
)

const (
	dialTimeout = time.Second
	chunkBytes  = 32 << 10
)

// Proxy forwards connections to one target.
type Proxy struct {
	target     string
	listener   net.Listener
	goroutines sync.WaitGroup

	mu         sync.Mutex
	random     *rand.Rand
	acceptance AcceptMode
	delay      time.Duration
	jitter     time.Duration
	conns      map[*proxiedConn]struct{}
	accepted   int
	closed     bool
}

// New starts a proxy to a target on a loopback address of its own. The seed determines the
// sequence of random delays.
func New(target string, seed uint64) (*Proxy, error) {
	return Listen(net.JoinHostPort(loopback.UnusedHost(), "0"), target, seed)
}

// Listen starts a proxy to a target on the given address.
func Listen(address, target string, seed uint64) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		target:   target,
		listener: listener,
		random:   rand.New(rand.NewPCG(seed, 0)),
		conns:    make(map[*proxiedConn]struct{}),
	}
	p.goroutines.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted returns the number of connections accepted so far, in any mode.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// SetAcceptMode sets what happens to new connections; open ones are not affected.
func (p *Proxy) SetAcceptMode(acceptance AcceptMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptance = acceptance
}

// SetDelay delays each chunk by delay plus a random time below jitter. It also limits
// the throughput: a chunk has at most 32 KiB, and a direction forwards one at a time.
func (p *Proxy) SetDelay(delay, jitter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.jitter = delay, jitter
}

// CloseConnections closes the open connections and returns their number.
func (p *Proxy) CloseConnections() int { return p.forEach((*proxiedConn).close) }

// ResetConnections resets the open connections and returns their number.
func (p *Proxy) ResetConnections() int { return p.forEach((*proxiedConn).reset) }

// BlackholeConnections stops forwarding on the open connections in a direction, for
// good, and returns their number. They still accept writes, and the receiver doesn't
// learn that the sender has closed.
func (p *Proxy) BlackholeConnections(direction Direction) int {
	return p.forEach(func(c *proxiedConn) { c.blackhole(direction) })
}

// Partition black-holes the open connections and all new ones, until Heal.
func (p *Proxy) Partition() {
	p.SetAcceptMode(Blackhole)
	p.BlackholeConnections(Both)
}

// Heal forwards new connections again and resets the open ones.
func (p *Proxy) Heal() {
	p.SetAcceptMode(Forward)
	p.ResetConnections()
}

// Close stops the proxy, closes all its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.CloseConnections()
	p.goroutines.Wait()
}

func (p *Proxy) forEach(act func(*proxiedConn)) int {
	p.mu.Lock()
	conns := make([]*proxiedConn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		act(c)
	}
	return len(conns)
}

func (p *Proxy) accept() {
	defer p.goroutines.Done()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Add(1)
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	defer p.goroutines.Done()
	p.mu.Lock()
	acceptance := p.acceptance
	p.accepted++
	p.mu.Unlock()
	if acceptance == Refuse {
		reset(client)
		return
	}
	c := &proxiedConn{proxy: p, client: client, closed: make(chan struct{})}
	if acceptance == Blackhole {
		c.blackholed = Both
	} else if err := c.dial(); err != nil {
		reset(client)
		return
	}
	if !p.track(c) {
		c.close()
		return
	}
	c.run()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// track adds a connection and returns false if the proxy has closed.
func (p *Proxy) track(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// nextDelay returns the delay of the next chunk.
func (p *Proxy) nextDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.jitter <= 0 {
		return p.delay
	}
	return p.delay + time.Duration(p.random.Int64N(int64(p.jitter)))
}
