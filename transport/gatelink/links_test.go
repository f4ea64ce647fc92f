package gatelink

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

// proxy forwards TCP connections. A muted connection stays open and forwards nothing more;
// a cut one is closed.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []*proxiedConn
}

type proxiedConn struct {
	client, server net.Conn
	muted          atomic.Bool
}

func newProxy(t *testing.T, target string) *proxy {
	l := loopback.Listen(t)
	p := &proxy{listener: l, target: target}
	go p.accept()
	t.Cleanup(func() { _ = l.Close(); p.forEach(func(c *proxiedConn) { c.close() }) })
	return p
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &proxiedConn{client: client, server: server}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go c.forward(client, server)
		go c.forward(server, client)
	}
}

func (c *proxiedConn) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !c.muted.Load() {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			if !c.muted.Load() {
				_ = to.Close()
			}
			return
		}
	}
}

func (c *proxiedConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

func (p *proxy) forEach(do func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		do(c)
	}
}

// countingGate counts attempts. It sends one of three chunks on the first stream and the
// rest when the attempt is resumed.
type countingGate struct {
	wire.UnimplementedGateServer
	attempts, bodies atomic.Int32
}

func answerMessage(sequence uint64) *wire.AttemptDown {
	if sequence == 4 {
		return &wire.AttemptDown{Sequence: 4, Of: &wire.AttemptDown_End{End: &wire.End{Status: 200, Chunks: 3}}}
	}
	return &wire.AttemptDown{Sequence: sequence, Of: &wire.AttemptDown_Chunk{Chunk: &wire.Chunk{Data: []byte{byte('0' + sequence)}}}}
}

func (g *countingGate) Attempt(stream wire.Gate_AttemptServer) error {
	g.attempts.Add(1)
	for {
		up, err := stream.Recv()
		if err != nil {
			return err
		}
		if up.GetBodyEnd() {
			break
		}
	}
	g.bodies.Add(1)
	if err := stream.Send(answerMessage(1)); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

func (g *countingGate) Resume(r *wire.ResumeRequest, stream wire.Gate_ResumeServer) error {
	for sequence := r.FromSequence; sequence <= 4; sequence++ {
		if err := stream.Send(answerMessage(sequence)); err != nil {
			return err
		}
	}
	return nil
}

func (g *countingGate) Beat(stream wire.Gate_BeatServer) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := stream.Send(m); err != nil {
			return err
		}
	}
}

type textSink struct {
	text  string
	first chan struct{}
}

func (s *textSink) Chunk(_ relay.Origin, _ uint64, chunk *wire.Chunk) error {
	if s.text == "" {
		close(s.first)
	}
	s.text += string(chunk.Data)
	return nil
}

func (s *textSink) Reset() bool { return false }

// An answer whose connection goes silent or breaks is resumed at the same place on a new
// connection. The attempt is not sent a second time.
func TestAnswerResumesAfterLinkFailure(t *testing.T) {
	damages := map[string]func(*proxiedConn){
		"silent": func(c *proxiedConn) { c.muted.Store(true) },
		"cut":    func(c *proxiedConn) { c.close() },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			gate := &countingGate{}
			l := loopback.Listen(t)
			server := link.NewServer(link.Security{})
			wire.RegisterGateServer(server, gate)
			go func() { _ = server.Serve(l) }()
			defer server.Stop()
			p := newProxy(t, l.Addr().String())
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			pool := link.NewPool(link.Security{})
			defer pool.Close()
			links := New(ctx, pool)
			origin := relay.Origin{GateAddress: p.listener.Addr().String(), Attempt: "x"}
			attempt := relay.Start(ctx, links, origin, &wire.AttemptOpen{Attempt: "x"}, make([]byte, 1<<20))
			defer attempt.Close()
			sink := &textSink{first: make(chan struct{})}
			go func() {
				<-sink.first
				p.forEach(damage)
			}()
			end, err := relay.ForwardAnswer(attempt, origin, sink, func() {})
			if err != nil || end.Status != 200 || sink.text != "123" {
				t.Errorf("answer %q: %v", sink.text, err)
			}
			if gate.attempts.Load() != 1 {
				t.Errorf("%d attempts arrived", gate.attempts.Load())
			}
		})
	}
}

// gRPC does not send an attempt again when its connection breaks while the attempt is in
// transit to the gate.
func TestAttemptIsNeverResent(t *testing.T) {
	l := loopback.Listen(t)
	gate := &countingGate{}
	server := link.NewServer(link.Security{})
	wire.RegisterGateServer(server, gate)
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	p := newProxy(t, l.Addr().String())
	pool := link.NewPool(link.Security{})
	defer pool.Close()
	conn, err := pool.Get(p.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		before := gate.attempts.Load()
		stream, err := wire.NewGateClient(conn).Attempt(context.Background())
		if err != nil {
			continue
		}
		_ = stream.Send(&wire.AttemptUp{Of: &wire.AttemptUp_Open{Open: &wire.AttemptOpen{Attempt: "x"}}})
		for gate.attempts.Load() == before {
			time.Sleep(time.Millisecond)
		}
		p.forEach(func(c *proxiedConn) { c.close() })
		if _, err := stream.Recv(); err == nil || err == io.EOF {
			t.Fatalf("the stream goes on: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
		if sent := gate.attempts.Load() - before; sent != 1 {
			t.Fatalf("one attempt arrived %d times", sent)
		}
	}
}
