// Package faultproxy is a TCP proxy that causes the failures of networks:
// links that close, reset, refuse, delay, or go silent for good while they
// keep accepting writes.
package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// AcceptMode is what happens to new connections.
type AcceptMode int

// The kinds of acceptance.
const (
	Forward   AcceptMode = iota // forward them
	Refuse                      // reset them at once
	Blackhole                   // accept them, read all and forward nothing
)

// Direction names the way that data goes; Both is all of them.
type Direction int

// Up leads from the client to the target, Down back.
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
	target   string
	listener net.Listener
	done     sync.WaitGroup

	mu         sync.Mutex
	random     *rand.Rand
	acceptance AcceptMode
	delay      time.Duration
	jitter     time.Duration
	pairs      map[*pair]struct{}
	opened     int
	closed     bool
}

// New starts a proxy to a target on a free loopback port.
func New(target string, seed uint64) (*Proxy, error) {
	return Listen("127.0.0.1:0", target, seed)
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
		pairs:    make(map[*pair]struct{}),
	}
	p.done.Add(1)
	go p.accept()
	return p, nil
}

// Address is the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted is the number of connections accepted so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// SetAcceptMode says what happens to new connections from now on.
func (p *Proxy) SetAcceptMode(acceptance AcceptMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptance = acceptance
}

// SetDelay holds each chunk back for a delay and up to a jitter more. It bounds
// the throughput: a chunk has at most 32 KiB.
func (p *Proxy) SetDelay(delay, jitter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.jitter = delay, jitter
}

// CloseConnections closes the open connections and returns their number.
func (p *Proxy) CloseConnections() int { return p.each((*pair).close) }

// ResetConnections resets the open connections and returns their number.
func (p *Proxy) ResetConnections() int { return p.each((*pair).reset) }

// BlackholeConnections makes the open connections silent for good in a direction. They go on
// accepting writes, and neither end learns that the other has closed.
func (p *Proxy) BlackholeConnections(direction Direction) int {
	return p.each(func(c *pair) { c.silence(direction) })
}

// Partition mutes the open connections and all new ones, until Heal.
func (p *Proxy) Partition() {
	p.SetAcceptMode(Blackhole)
	p.BlackholeConnections(Both)
}

// Heal lets new connections pass and resets the open ones.
func (p *Proxy) Heal() {
	p.SetAcceptMode(Forward)
	p.ResetConnections()
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.CloseConnections()
	p.done.Wait()
}

func (p *Proxy) each(act func(*pair)) int {
	p.mu.Lock()
	pairs := make([]*pair, 0, len(p.pairs))
	for c := range p.pairs {
		pairs = append(pairs, c)
	}
	p.mu.Unlock()
	for _, c := range pairs {
		act(c)
	}
	return len(pairs)
}

func (p *Proxy) accept() {
	defer p.done.Done()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.done.Add(1)
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	defer p.done.Done()
	p.mu.Lock()
	acceptance := p.acceptance
	p.opened++
	p.mu.Unlock()
	if acceptance == Refuse {
		reset(client)
		return
	}
	c := &pair{proxy: p, client: client, gone: make(chan struct{})}
	if acceptance == Blackhole {
		c.silent = Both
	} else if err := c.dial(); err != nil {
		reset(client)
		return
	}
	if !p.add(c) {
		c.close()
		return
	}
	c.run()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

func (p *Proxy) add(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.pairs[c] = struct{}{}
	return true
}

// hold returns how long the next chunk is held back.
func (p *Proxy) hold() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.jitter <= 0 {
		return p.delay
	}
	return p.delay + time.Duration(p.random.Int64N(int64(p.jitter)))
}
