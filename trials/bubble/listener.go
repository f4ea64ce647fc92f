package bubble

import "net"

// Listener accepts one connection and then waits until it is closed. With one end of a
// net.Pipe a server runs in virtual time.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
}

// Listen returns a listener that accepts the given connection.
func Listen(conn net.Conn) *Listener {
	l := &Listener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conns <- conn
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (*Listener) Addr() net.Addr { return &net.TCPAddr{} }
