package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
	"google.golang.org/grpc"
)

func listen(t *testing.T) net.Listener {
	l := loopback.Listen(t)
	return l
}

func serveGRPC(t *testing.T, register func(*grpc.Server)) string {
	l := listen(t)
	server := link.NewServer(link.Security{})
	register(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return l.Addr().String()
}

func hash(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

func testConfig() *wire.FleetConfig {
	contract := func(name, key string) *wire.Contract {
		return &wire.Contract{Organisation: name, KeyHashes: [][]byte{hash(key)}, Models: []string{"m1"}, Services: []string{"booking"},
			RequestsPerSecond: 100, MaxPromptTokens: 2000, MaxOutputTokens: 10, Concurrency: 10,
			Deadlines: []*wire.DeadlineBand{{UpToTokens: 1 << 20, FirstTokenMs: 3000, WholeAnswerMs: 6000}}}
	}
	return &wire.FleetConfig{Revision: 5, Contracts: []*wire.Contract{contract("a", testKey), contract("b", "key-b")}}
}

func newTestbed(t *testing.T, gates int, planFor func(attempt int, open *wire.AttemptOpen) plan) *testbed {
	t.Helper()
	b := &testbed{t: t, control: &fakeControl{config: testConfig(), claims: map[string]*wire.ClaimRecord{}}}
	b.controlAddress = serveGRPC(t, func(s *grpc.Server) {
		wire.RegisterConfigServer(s, b.control)
		wire.RegisterClaimsServer(s, b.control)
		wire.RegisterQuotasServer(s, b.control)
		wire.RegisterGateLeasesServer(s, fakeGateLeases{})
	})
	for range gates {
		g := &fakeGate{plan: planFor, attempts: map[string]*seenAttempt{}, refused: map[string]bool{}, reservations: map[string]uint64{}}
		g.address = serveGRPC(t, func(s *grpc.Server) { wire.RegisterGateServer(s, g) })
		b.gates = append(b.gates, g)
	}
	b.url = b.startEntry(b.controlAddress)
	b.await("readiness", func() bool {
		r, err := http.Get(b.url + "/readyz")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == 200 && b.routableEndpoints() == 2*gates
	})
	return b
}

func (b *testbed) startEntry(control string) string {
	e, err := Build(&Options{ID: "e1", DataCentre: "d1", Control: []string{control}, Policy: "adaptive",
		ResumeSecret: "s", DrainLimit: 20 * time.Second, ReadyGrace: 10 * time.Millisecond})
	if err != nil {
		b.t.Fatal(err)
	}
	fleetListener, callerListener := listen(b.t), listen(b.t)
	b.fleetAddress = fleetListener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	b.entry, b.stop, b.ended = e, stop, make(chan error, 1)
	go func() { b.ended <- e.Serve(ctx, fleetListener, callerListener) }()
	reportCtx, stopReports := context.WithCancel(context.Background())
	for i, g := range b.gates {
		go announce(reportCtx, b.fleetAddress, g.address, string(rune('a'+i)))
	}
	b.t.Cleanup(func() {
		stopReports()
		stop()
		select {
		case <-b.ended:
		case <-time.After(30 * time.Second):
			b.t.Error("the entry does not stop")
		}
	})
	return "http://" + callerListener.Addr().String()
}

// announce sends reports of a gate that has a model endpoint and a service endpoint.
func announce(ctx context.Context, entry, gate, name string) {
	conn, err := link.Dial(entry, link.Security{})
	if err != nil {
		return
	}
	defer conn.Close()
	for ctx.Err() == nil {
		stream, err := wire.NewAnnounceClient(conn).Reports(ctx)
		for n := uint64(1); err == nil; n++ {
			report := &wire.GateReport{Sequence: n, GateInstance: name, GateAddress: gate, Endpoint: "m" + name, DataCentre: "d1",
				Models: []string{"m1"}, Ready: true, AdmitLimit: 8, Load: &wire.EndpointLoad{
					PrefillTokensPerSecond: 1e6, DecodeMsPerToken: 1, MemoryTokensTotal: gateMemoryTokens}}
			service := &wire.GateReport{Sequence: n, GateInstance: name, GateAddress: gate, Endpoint: "s" + name, DataCentre: "d1",
				Service: "booking", Ready: true, AdmitLimit: 8, Load: &wire.EndpointLoad{}}
			err = errors.Join(stream.Send(report), stream.Send(service))
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (b *testbed) routableEndpoints() int {
	r, err := http.Get(b.url + "/metrics")
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	return strings.Count(string(text), "entry_endpoint{")
}

func (b *testbed) await(what string, done func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	b.t.Fatalf("no %s", what)
}

type answer struct {
	status int
	header http.Header
	body   string
}

// do sends a request with the key of organisation a. Headers are given as names and
// values in turn.
func (b *testbed) do(method, path, body string, headers ...string) answer {
	b.t.Helper()
	r, err := http.NewRequest(method, b.url+path, bytes.NewReader([]byte(body)))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		b.t.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(text)}
}

// runs counts the attempts that gates received and didn't refuse.
func (b *testbed) runs() int {
	count := 0
	for _, g := range b.gates {
		g.mu.Lock()
		for _, id := range g.attemptIDs {
			if !g.refused[id] {
				count++
			}
		}
		g.mu.Unlock()
	}
	return count
}

func (b *testbed) awaitSlotsFree() {
	b.t.Helper()
	b.await("release of all quota", func() bool { return b.entry.quota.SlotsInUse("a") == 0 })
}
