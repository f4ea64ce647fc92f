package ctl

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// forgetful is a control replica that carries calls out and loses answers.
type forgetful struct {
	wire.UnimplementedOperatorServer
	mu        sync.Mutex
	lose      int  // answers to changes
	loseReads bool // all answers to reads
	done      map[string]bool
}

var errLost = status.Error(codes.DeadlineExceeded, "lost")

// Apply implements wire.OperatorServer.
func (f *forgetful) Apply(_ context.Context, q *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	repeated := f.done[q.OperationId]
	f.done[q.OperationId] = true
	if f.lose > 0 {
		f.lose--
		return nil, errLost
	}
	return &wire.ApplyResponse{Revision: 9, RepeatedOperation: repeated}, nil
}

// Read implements wire.OperatorServer.
func (f *forgetful) Read(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) {
	if f.loseReads {
		return nil, errLost
	}
	return &wire.ReadResponse{Config: &wire.FleetConfig{}}, nil
}

func startForgetful(t *testing.T) (*forgetful, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forgetful{done: make(map[string]bool)}
	server := grpc.NewServer()
	wire.RegisterOperatorServer(server, f)
	go func() { _ = server.Serve(listener) }() // ends when it is stopped
	t.Cleanup(server.Stop)
	return f, listener.Addr().String()
}

func runCommand(address string, args ...string) (code int, text string) {
	var out, errOut bytes.Buffer
	code = Run(append([]string{"--control", address, "--key", "k"}, args...), &out, &errOut)
	return code, out.String() + errOut.String()
}

func TestAChangeWhoseAnswerWasLostTellsWhatItDid(t *testing.T) {
	f, address := startForgetful(t)
	for _, args := range [][]string{{"data-centre", "out", "dc1"}, {"data-centre", "out", "dc1", "--operation-id", "mine"}} {
		f.lose = 1
		if code, text := runCommand(address, args...); code != ExitOK || !strings.Contains(text, "done at revision 9") {
			t.Errorf("%v: code %d, %s", args, code, text)
		}
	}
	if _, text := runCommand(address, "data-centre", "out", "dc1", "--operation-id", "mine"); !strings.Contains(text, "was done before") {
		t.Errorf("an operation of another command: %s", text)
	}
}

func TestAReadThatGetsNoAnswerLeavesNothingUnknown(t *testing.T) {
	f, address := startForgetful(t)
	f.loseReads = true
	if code, text := runCommand(address, "contract", "list"); code != ExitUnavailable {
		t.Errorf("code %d: %s", code, text)
	}
}
