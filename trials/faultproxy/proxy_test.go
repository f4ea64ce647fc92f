package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

const (
	noEchoWait  = 100 * time.Millisecond // how long a link is watched that must deliver nothing
	echoTimeout = 30 * time.Second       // far longer than an echo takes on a busy host
)

// echoServer starts a server that sends back what it receives, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener := loopback.Listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func newProxy(t *testing.T) *Proxy {
	t.Helper()
	p, err := New(echoServer(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echo sends a text and returns what comes back.
func echo(conn net.Conn, text string) (string, error) { return echoWithin(conn, text, echoTimeout) }

// probe sends a text on a link that must deliver nothing and returns what comes back.
func probe(conn net.Conn, text string) (string, error) { return echoWithin(conn, text, noEchoWait) }

func echoWithin(conn net.Conn, text string, limit time.Duration) (string, error) {
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	buffer := make([]byte, len(text))
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	n, err := io.ReadFull(conn, buffer)
	return string(buffer[:n]), err
}

func TestBlackholedLinkAcceptsWritesWhileNewLinksWork(t *testing.T) {
	for _, direction := range []Direction{Up, Down, Both} {
		p := newProxy(t)
		old := dial(t, p)
		if got, err := echo(old, "a"); got != "a" {
			t.Fatalf("before: %q, %v", got, err)
		}
		if p.BlackholeConnections(direction) != 1 {
			t.Fatal("no open connection")
		}
		got, err := probe(old, "b")
		if got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("direction %d: black-holed link returned %q, %v", direction, got, err)
		}
		if got, err := echo(dial(t, p), "c"); got != "c" {
			t.Errorf("direction %d: new link returned %q, %v", direction, got, err)
		}
	}
}

func TestPartitionAndHeal(t *testing.T) {
	p := newProxy(t)
	p.Partition()
	if got, err := probe(dial(t, p), "a"); got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("partitioned link returned %q, %v", got, err)
	}
	p.Heal()
	if got, err := echo(dial(t, p), "b"); got != "b" {
		t.Errorf("healed link returned %q, %v", got, err)
	}
}

func TestCloseResetAndRefuse(t *testing.T) {
	p := newProxy(t)
	for _, end := range []struct {
		act  func() int
		want error
	}{{p.CloseConnections, io.EOF}, {p.ResetConnections, syscall.ECONNRESET}} {
		conn := dial(t, p)
		if _, err := echo(conn, "a"); err != nil {
			t.Fatal(err)
		}
		end.act()
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, end.want) {
			t.Errorf("got %v, want %v", err, end.want)
		}
	}
	p.SetAcceptMode(Refuse)
	conn, err := net.Dial("tcp", p.Address())
	if err == nil {
		if got, _ := echo(conn, "a"); got != "" {
			t.Errorf("refused link returned %q", got)
		}
	}
}
