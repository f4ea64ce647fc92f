package faultproxy

import (
	"net"
	"sync"
	"time"
)

// proxiedConn is a client connection and its connection to the target. The target
// connection is nil if the client connection was black-holed from the start.
type proxiedConn struct {
	proxy  *Proxy
	client *net.TCPConn
	target *net.TCPConn
	closed chan struct{} // closed by close and reset
	once   sync.Once

	mu         sync.Mutex
	blackholed Direction
}

func (c *proxiedConn) dial() error {
	conn, err := net.DialTimeout("tcp", c.proxy.target, dialTimeout)
	if err != nil {
		return err
	}
	c.target = conn.(*net.TCPConn)
	return nil
}

// run forwards data in both directions until both ends have closed.
func (c *proxiedConn) run() {
	var forwarders sync.WaitGroup
	forwarders.Go(func() { c.forward(c.client, c.target, Up) })
	if c.target != nil {
		forwarders.Go(func() { c.forward(c.target, c.client, Down) })
	}
	forwarders.Wait()
	if c.isBlackholed(Both) {
		<-c.closed // a black-holed connection passes no close on, so it stays open until the proxy closes it
	}
	c.close()
}

func (c *proxiedConn) forward(from, to *net.TCPConn, direction Direction) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.isBlackholed(direction) && !c.writeDelayed(to, buffer[:n], direction) {
			return
		}
		if err != nil {
			c.forwardEOF(to, direction)
			return
		}
	}
}

// writeDelayed writes a chunk after the proxy's delay, unless the direction has been
// black-holed in the meantime. It returns false if the connection has closed.
func (c *proxiedConn) writeDelayed(to *net.TCPConn, chunk []byte, direction Direction) bool {
	if !c.waitDelay(c.proxy.nextDelay()) {
		return false
	}
	if c.isBlackholed(direction) {
		return true
	}
	_, err := to.Write(chunk)
	if err != nil {
		c.close()
	}
	return err == nil
}

// waitDelay waits for the delay and returns false if the connection closes first.
func (c *proxiedConn) waitDelay(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}

// forwardEOF closes the receiver's connection for writing, unless the direction is
// black-holed.
func (c *proxiedConn) forwardEOF(to *net.TCPConn, direction Direction) {
	if !c.isBlackholed(direction) {
		_ = to.CloseWrite()
	}
}

func (c *proxiedConn) blackhole(direction Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blackholed |= direction
}

// isBlackholed reports whether any of the given directions is black-holed.
func (c *proxiedConn) isBlackholed(direction Direction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed&direction != 0
}

func (c *proxiedConn) close() {
	c.once.Do(func() { close(c.closed) })
	_ = c.client.Close()
	if c.target != nil {
		_ = c.target.Close()
	}
}

func (c *proxiedConn) reset() {
	c.once.Do(func() { close(c.closed) })
	reset(c.client)
	if c.target != nil {
		reset(c.target)
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
