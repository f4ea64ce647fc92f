package gatelink

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// wholeGate sends the whole answer on the first stream. It resumes it only if keeps is set.
type wholeGate struct {
	countingGate
	keeps bool
}

func (g *wholeGate) Attempt(stream wire.Gate_AttemptServer) error {
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
	return g.countingGate.Resume(&wire.ResumeRequest{FromSequence: 1}, stream)
}

func (g *wholeGate) Resume(r *wire.ResumeRequest, stream wire.Gate_ResumeServer) error {
	if !g.keeps {
		return status.Error(codes.NotFound, "the gate keeps no answer")
	}
	return g.countingGate.Resume(r, stream)
}

// startCutProxy forwards connections to target. It ends the first one after the given number
// of bytes from the target.
func startCutProxy(t *testing.T, target string, after int64, reset bool) (address string) {
	t.Helper()
	l := loopback.Listen(t)
	go func() {
		for limit := after; ; limit = 1 << 40 {
			client, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			go func() { _, _ = io.Copy(server, client); _ = server.Close() }() // ends with either connection
			go func() {
				_, _ = io.CopyN(client, server, limit)
				if reset {
					_ = client.(*net.TCPConn).SetLinger(0)
				}
				_ = client.Close()
				_ = server.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// runCut runs an attempt at a gate whose first connection ends after some bytes.
func runCut(t *testing.T, gate *wholeGate, after int64, reset bool) (text string, err error) {
	t.Helper()
	l := loopback.Listen(t)
	server := link.NewServer(link.Security{})
	wire.RegisterGateServer(server, gate)
	go func() { _ = server.Serve(l) }() // ends when it is stopped
	defer server.Stop()
	address := startCutProxy(t, l.Addr().String(), after, reset)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	pool := link.NewPool(link.Security{})
	defer pool.Close()
	origin := relay.Origin{GateAddress: address, Attempt: "x"}
	attempt := relay.Start(ctx, New(ctx, pool), origin, &wire.AttemptOpen{Attempt: "x"}, []byte("body"))
	defer attempt.Close()
	sink := &textSink{first: make(chan struct{})}
	_, err = relay.ForwardAnswer(attempt, origin, sink, func() {})
	return sink.text, err
}

// Guards against an answer of a gate that counts as whole, or as a refusal, though its
// connection ended at any byte of its heads or its messages.
func TestAnswerOfAGateCutAtAnyByteIsNeverWhole(t *testing.T) {
	const maxBytes = 340 // the gate sends 236, and pings
	for _, keeps := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			for after := range maxBytes {
				t.Run(fmt.Sprintf("keeps %v, reset %v, %d", keeps, reset, after), func(t *testing.T) {
					t.Parallel()
					gate := &wholeGate{keeps: keeps}
					text, err := runCut(t, gate, int64(after), reset)
					var refusal *relay.Refusal
					switch {
					case err == nil && text != "123":
						t.Errorf("%q counts as whole", text)
					case errors.As(err, &refusal) && gate.attempts.Load() > 0:
						t.Errorf("counts as not run: %v", err)
					case err != nil && refusal == nil && fault.KindOf(err) != fault.EndpointFailed:
						t.Errorf("fails with %v", err)
					case gate.attempts.Load() > 1:
						t.Errorf("arrived %d times", gate.attempts.Load())
					}
				})
			}
		}
	}
}

// The answer of a gate whose connection is not cut must be whole. Tries to which the gate can't
// be reached in time don't count.
func TestAnswerOfAGateIsWhole(t *testing.T) {
	const tries, uncut = 20, 1 << 40
	for _, keeps := range []bool{false, true} {
		for try := 1; ; try++ {
			gate := &wholeGate{keeps: keeps}
			text, err := runCut(t, gate, uncut, false)
			if err == nil && text == "123" {
				break
			}
			if gate.attempts.Load() > 0 || try == tries {
				t.Fatalf("keeps %v, try %d: %q, %v", keeps, try, text, err)
			}
		}
	}
}
