package faultproxy

import (
	"net"
	"sync"
	"time"
)

// pair is a client connection and its connection to the target, which is nil
// for a connection that is mute from the start.
type pair struct {
	proxy  *Proxy
	client *net.TCPConn
	target *net.TCPConn
	gone   chan struct{} // closed by close and reset
	once   sync.Once

	mu     sync.Mutex
	silent Direction
}

func (c *pair) dial() error {
	conn, err := net.DialTimeout("tcp", c.proxy.target, dialTimeout)
	if err != nil {
		return err
	}
	c.target = conn.(*net.TCPConn)
	return nil
}

// run forwards both ways until both ends are done.
func (c *pair) run() {
	var ways sync.WaitGroup
	ways.Go(func() { c.forward(c.client, c.target, Up) })
	if c.target != nil {
		ways.Go(func() { c.forward(c.target, c.client, Down) })
	}
	ways.Wait()
	if c.isSilent(Both) {
		<-c.gone // a silent link tells neither end that the other has closed
	}
	c.close()
}

func (c *pair) forward(from, to *net.TCPConn, direction Direction) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.isSilent(direction) && !c.pass(to, buffer[:n], direction) {
			return
		}
		if err != nil {
			c.finish(to, direction)
			return
		}
	}
}

// pass writes a chunk after its delay, unless the link went silent meanwhile.
func (c *pair) pass(to *net.TCPConn, chunk []byte, direction Direction) bool {
	if !c.wait(c.proxy.hold()) {
		return false
	}
	if c.isSilent(direction) {
		return true
	}
	_, err := to.Write(chunk)
	if err != nil {
		c.close()
	}
	return err == nil
}

func (c *pair) wait(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.gone:
		return false
	}
}

// finish passes the end of one way on.
func (c *pair) finish(to *net.TCPConn, direction Direction) {
	if !c.isSilent(direction) {
		_ = to.CloseWrite()
	}
}

func (c *pair) silence(direction Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent |= direction
}

// isSilent reports whether any of the directions is silent.
func (c *pair) isSilent(direction Direction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent&direction != 0
}

func (c *pair) close() {
	c.once.Do(func() { close(c.gone) })
	_ = c.client.Close()
	if c.target != nil {
		_ = c.target.Close()
	}
}

func (c *pair) reset() {
	c.once.Do(func() { close(c.gone) })
	reset(c.client)
	if c.target != nil {
		reset(c.target)
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
