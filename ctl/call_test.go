package ctl

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// lossyReplica is a control replica that executes calls and loses their responses.
type lossyReplica struct {
	wire.UnimplementedOperatorServer
	mu          sync.Mutex
	loseChanges int  // how many responses to changes it still loses
	loseReads   bool // it loses every response to a read
	applied     map[string]bool
}

var errLost = status.Error(codes.DeadlineExceeded, "lost")

// Apply implements wire.OperatorServer.
func (f *lossyReplica) Apply(_ context.Context, q *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	repeated := f.applied[q.OperationId]
	f.applied[q.OperationId] = true
	if f.loseChanges > 0 {
		f.loseChanges--
		return nil, errLost
	}
	return &wire.ApplyResponse{Revision: 9, RepeatedOperation: repeated}, nil
}

// Read implements wire.OperatorServer.
func (f *lossyReplica) Read(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) {
	if f.loseReads {
		return nil, errLost
	}
	return &wire.ReadResponse{Config: &wire.FleetConfig{}}, nil
}

func startLossyReplica(t *testing.T) (*lossyReplica, string) {
	t.Helper()
	listener := loopback.Listen(t)
	f := &lossyReplica{applied: make(map[string]bool)}
	server := grpc.NewServer()
	wire.RegisterOperatorServer(server, f)
	go func() { _ = server.Serve(listener) }() // returns when the server is stopped
	t.Cleanup(server.Stop)
	return f, listener.Addr().String()
}

func runCommand(address string, args ...string) (code int, text string) {
	var out, errOut bytes.Buffer
	code = Run(append([]string{"--control", address, "--key", "k"}, args...), &out, &errOut)
	return code, out.String() + errOut.String()
}

// When a command resends a change whose response was lost, the result must not be
// reported as a repeated operation. When the user runs a second command with the
// same operation ID, it must be.
func TestChangeWithLostResponseReportsItsResult(t *testing.T) {
	f, address := startLossyReplica(t)
	for _, args := range [][]string{{"data-centre", "out", "dc1"}, {"data-centre", "out", "dc1", "--operation-id", "mine"}} {
		f.loseChanges = 1
		if code, text := runCommand(address, args...); code != ExitOK || !strings.Contains(text, "done at revision 9") {
			t.Errorf("%v: code %d, %s", args, code, text)
		}
	}
	if _, text := runCommand(address, "data-centre", "out", "dc1", "--operation-id", "mine"); !strings.Contains(text, "was done before") {
		t.Errorf("the operation of an earlier command: %s", text)
	}
}

// A lost response to a read must not be reported as an unknown outcome.
func TestUnansweredReadIsUnavailable(t *testing.T) {
	f, address := startLossyReplica(t)
	f.loseReads = true
	if code, text := runCommand(address, "contract", "list"); code != ExitUnavailable {
		t.Errorf("code %d: %s", code, text)
	}
}
