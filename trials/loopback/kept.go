package loopback

import (
	"net"
	"sync"
)

// Kept is a port of loopback that a test keeps while the server that listens on it is
// stopped and started again, so that no other process can take it meanwhile. Connections
// that arrive while no server listens are reset.
type Kept struct {
	listener net.Listener

	mu     sync.Mutex
	server *serverListener // that listens now, nil for none
}

// KeepFor takes a port of an unused loopback address until the end of a test.
func KeepFor(t Test) *Kept {
	t.Helper()
	k := &Kept{listener: Listen(t)}
	go k.accept()
	return k
}

// Address returns the address of the port.
func (k *Kept) Address() string { return k.listener.Addr().String() }

// Listen returns a listener for a server, in place of an earlier one. Closing it keeps the
// port.
func (k *Kept) Listen() net.Listener {
	l := &serverListener{kept: k, conns: make(chan net.Conn), closed: make(chan struct{})}
	k.mu.Lock()
	earlier := k.server
	k.server = l
	k.mu.Unlock()
	if earlier != nil {
		_ = earlier.Close() // never fails
	}
	return l
}

// accept passes connections to the server until the port is given back.
func (k *Kept) accept() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		server := k.server
		k.mu.Unlock()
		if server == nil || !server.pass(conn) {
			reset(conn)
		}
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the peer sees an end instead
	}
	_ = conn.Close() // nothing was written
}

// serverListener is the listener of one server on a kept port.
type serverListener struct {
	kept   *Kept
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// pass hands a connection to the server. It returns false if the server has stopped.
func (l *serverListener) pass(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *serverListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *serverListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.kept.mu.Lock()
	defer l.kept.mu.Unlock()
	if l.kept.server == l {
		l.kept.server = nil
	}
	return nil
}

// Addr implements net.Listener.
func (l *serverListener) Addr() net.Addr { return l.kept.listener.Addr() }
