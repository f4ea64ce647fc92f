package controlplane

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

// Behaviours of a process that is called.
const (
	leads    = "leads"
	follows  = "follows"
	silent   = "silent"
	resets   = "resets"
	refuses  = "refuses"
	slowLead = "leads after a while"
	dead     = "is reached by new connections only, and leads"

	deadFollower = "is reached by new connections only, and follows"
)

// fakeConn is a connection to a process that behaves in one way.
type fakeConn struct {
	grpc.ClientConnInterface
	behaviour string
}

func (c *fakeConn) Invoke(ctx context.Context, _ string, _, answer any, _ ...grpc.CallOption) error {
	got, err := respond(ctx, c.behaviour)
	if err == nil {
		proto.Merge(answer.(proto.Message), got)
	}
	return err
}

// fakeConns holds a connection to each address. Connections that were retired are replaced
// by ones to a process that leads.
type fakeConns struct {
	mu      sync.Mutex
	conns   map[string]*fakeConn
	retired map[string]int // by address
}

func (f *fakeConns) Get(address string) (grpc.ClientConnInterface, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns[address], nil
}

func (f *fakeConns) Replace(address string, conn grpc.ClientConnInterface) { f.Retire(address, conn) }

func (f *fakeConns) Retire(address string, conn grpc.ClientConnInterface) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retired == nil {
		f.retired = make(map[string]int)
	}
	f.retired[address]++
	switch f.conns[address].behaviour {
	case dead:
		f.conns[address] = &fakeConn{behaviour: leads}
	case deadFollower:
		f.conns[address] = &fakeConn{behaviour: follows}
	}
}

// newTestService returns a service without a replica and the addresses of processes with
// the given behaviours.
func newTestService(behaviours ...string) (s *Service, addresses []string) {
	conns := &fakeConns{conns: make(map[string]*fakeConn)}
	for i, behaviour := range behaviours {
		address := fmt.Sprint("process", i)
		addresses = append(addresses, address)
		conns.conns[address] = &fakeConn{behaviour: behaviour}
	}
	return New(Options{Connections: conns}), addresses
}

// read is a call to the leader.
func read(ctx context.Context, c wire.SteeringClient) (*wire.SteeringAnswer, error) {
	return c.Read(ctx, &wire.SteeringRead{})
}

func TestUnresponsiveProcessDoesNotDelayCallToLeader(t *testing.T) {
	for _, c := range []struct {
		name      string
		processes []string
		kind      fault.Kind // expected kind of error, empty for success
	}{
		{"the first does not answer", []string{silent, follows, leads}, ""},
		{"only the last answers", []string{silent, silent, leads}, ""},
		{"the first connection breaks", []string{resets, follows, leads}, ""},
		{"the leader is slow", []string{slowLead, follows, follows}, ""},
		{"a refusal is final", []string{follows, refuses, leads}, fault.Conflict},
		{"no process leads", []string{follows, follows}, fault.NotLeader},
		{"no process is known", nil, fault.NotLeader},
		{"one may have made the change", []string{resets, follows}, fault.OutcomeUnknown},
		{"one never answers", []string{follows, silent}, fault.OutcomeUnknown},
	} {
		s, addresses := newTestService(c.processes...)
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		_, err := s.callHedged(ctx, addresses, read)
		cancel()
		if kind := fault.KindOf(err); kind != c.kind && !(err == nil && c.kind == "") {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// Guards against a connection that has fallen silent and is used for all later calls.
func TestDeadConnectionIsReplacedWithinTheCall(t *testing.T) {
	for _, processes := range [][]string{{dead}, {follows, dead, follows}, {dead, follows, follows}} {
		bubble.Run(t, func(t *testing.T) {
			s, addresses := newTestService(processes...)
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			if _, err := s.callHedged(ctx, addresses, read); err != nil {
				t.Errorf("%v: %v", processes, err)
			}
		})
	}
}

// Guards against dead connections that later calls use, as the call that met them ended.
func TestConnectionsThatAreSilentAtTheEndOfACallAreRetired(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		conns := &fakeConns{conns: map[string]*fakeConn{"a": {behaviour: silent}, "b": {behaviour: slowLead}, "c": {behaviour: follows}}}
		s := New(Options{Connections: conns})
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		defer cancel()
		if _, err := s.callHedged(ctx, []string{"c", "a", "b"}, read); err != nil {
			t.Error(err)
		}
		if conns.retired["a"] != 2 || conns.retired["c"] != 0 {
			t.Errorf("connections were retired %v times, want both to the silent process and none to the one that answered", conns.retired)
		}
	})
}

// Guards against calls that are refused, or fail, as long as this process's own replica
// knows no leader or a wrong one, while the group has one.
func TestProcessWhoseReplicaKnowsNoLeaderAsksTheOthers(t *testing.T) {
	conns := &fakeConns{conns: map[string]*fakeConn{"a": {behaviour: follows}, "b": {behaviour: leads}}}
	outside, err := replica.Open(replica.Options{DataFolder: t.TempDir(), Address: "c"})
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{
		Replica: outside, Connections: conns,
		PeerAddresses:  func() []string { return []string{"a", "b"} },
		SinceLastHeard: func() map[string]time.Duration { return nil },
	})
	if _, err := s.callLeader(t.Context(), read, nil); err != nil {
		t.Error(err)
	}
}

func respond(ctx context.Context, behaviour string) (*wire.SteeringAnswer, error) {
	switch behaviour {
	case silent, dead, deadFollower:
		<-ctx.Done()
		return nil, ctx.Err()
	case resets:
		return nil, errors.New("reset")
	case follows:
		return &wire.SteeringAnswer{Failure: fault.ToWire(fault.New(fault.NotLeader, "it follows"))}, nil
	case refuses:
		return &wire.SteeringAnswer{Failure: fault.ToWire(fault.New(fault.Conflict, "other content"))}, nil
	case slowLead:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(2 * hedgeDelay):
		}
	}
	return &wire.SteeringAnswer{}, nil
}

func TestLeaderCandidatesAreOrderedByLastHeard(t *testing.T) {
	s := New(Options{
		PeerAddresses: func() []string { return []string{"gone", "old", "fresh"} },
		SinceLastHeard: func() map[string]time.Duration {
			return map[string]time.Duration{"old": time.Second, "fresh": time.Millisecond}
		},
	})
	got := s.leaderCandidates()
	if len(got) != 3 || got[0] != "fresh" || got[1] != "old" || got[2] != "gone" {
		t.Errorf("processes are called in the order %q", got)
	}
	if got := s.candidates("old"); !slices.Equal(got, []string{"old", "fresh", "gone"}) {
		t.Errorf("with a known leader processes are called in the order %q", got)
	}
}
