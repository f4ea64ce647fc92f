package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/controllink"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/httpserver"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
	"google.golang.org/grpc"
)

// fakePeers is a fake control replica and entry on one address.
type fakePeers struct {
	wire.UnimplementedGateLeasesServer
	wire.UnimplementedOrderReportsServer
	wire.UnimplementedAnnounceServer
	streams atomic.Int32
	reports chan *wire.GateReport
}

func (p *fakePeers) Acquire(context.Context, *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error) {
	return &wire.GateLeaseResponse{Held: true, Number: 3, ValidMs: 3000}, nil
}

// Reports acknowledges nothing on the first stream, as if its link had failed
// without closing.
func (p *fakePeers) Reports(stream wire.Announce_ReportsServer) error {
	silent := p.streams.Add(1) == 1
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		if silent {
			continue
		}
		select {
		case p.reports <- report:
		default:
		}
		if err := stream.Send(&wire.ReportAck{Sequence: report.Sequence}); err != nil {
			return err
		}
	}
}

// fakeEndpoint is an endpoint over HTTP that counts the requests of each attempt.
type fakeEndpoint struct {
	mu       sync.Mutex
	requests map[string]int
	active   map[string]bool
	release  chan struct{} // answers end when it is closed
}

func (e *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Boot-Id", "b1")
	switch r.URL.Path {
	case "/v1/attempts":
		e.mu.Lock()
		defer e.mu.Unlock()
		ids := []string{}
		for id := range e.active {
			ids = append(ids, id)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"boot_id": "b1", "attempts": ids})
	case "/load":
		_, _ = fmt.Fprint(w, `{"boot_id":"b1","admissible":4}`)
	case "/v1/completions":
		e.complete(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *fakeEndpoint) complete(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	body := new(bytes.Buffer)
	_, _ = body.ReadFrom(r.Body)
	e.mu.Lock()
	e.requests[id]++
	e.active[id] = true
	e.mu.Unlock()
	defer func() { e.mu.Lock(); delete(e.active, id); e.mu.Unlock() }()
	if id == "cut" {
		panic(http.ErrAbortHandler) // closes the connection before any answer
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "id: 1\ndata: %d\n\n", body.Len())
	w.(http.Flusher).Flush()
	<-e.release
	_, _ = fmt.Fprint(w, "id: 2\ndata: [DONE]\n\n")
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.ReserveAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newOptions returns the options of an agent with free addresses.
func newOptions(t *testing.T, control string) *Options {
	t.Helper()
	return &Options{
		ID: "agent1", DataCentre: "dc1", Listen: freeAddress(t), AnnounceListen: freeAddress(t),
		Control: []string{control}, DrainLimit: time.Minute,
	}
}

func startFakePeers(t *testing.T) (*fakePeers, string) {
	t.Helper()
	peers := &fakePeers{reports: make(chan *wire.GateReport, 64)}
	store := configsync.NewStore()
	server := link.NewServer(link.Security{})
	wire.RegisterGateLeasesServer(server, peers)
	wire.RegisterOrderReportsServer(server, peers)
	wire.RegisterAnnounceServer(server, peers)
	wire.RegisterConfigServer(server, controllink.NewConfigServer(store, nil))
	listener := loopback.Listen(t)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	go func() {
		for t.Context().Err() == nil {
			store.Update(&wire.SyncResponse{Revision: 2, Snapshot: &wire.FleetConfig{Revision: 2}}, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return peers, listener.Addr().String()
}

func announceEndpoint(t *testing.T, agent, address string) {
	body := fmt.Sprintf(`{"endpoint":"e1","address":%q,"models":["m"],"boot_id":"b1","memory_tokens":9000000,"concurrency":4,"cold_concurrency":2,"prefill_tokens_per_second":1e9}`, address)
	for t.Context().Err() == nil {
		if response, err := http.Post("http://"+agent+"/announce", "application/json", bytes.NewBufferString(body)); err == nil {
			response.Body.Close()
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func startAttempt(t *testing.T, client wire.GateClient, id string, body []byte) wire.Gate_AttemptClient {
	t.Helper()
	return startAttemptAt(t, client, &wire.AttemptOpen{Attempt: id, Model: "m", Path: "/v1/completions", PromptTokens: uint64(len(body) / 4), Streamed: true}, body)
}

// startAttemptAt starts an attempt with a body and with ample time.
func startAttemptAt(t *testing.T, client wire.GateClient, open *wire.AttemptOpen, body []byte) wire.Gate_AttemptClient {
	t.Helper()
	stream, err := client.Attempt(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	send := func(up *wire.AttemptUp) {
		if err := stream.Send(up); err != nil {
			t.Fatal(err)
		}
	}
	open.BodyBytes, open.FirstTokenMs, open.WholeAnswerMs = uint64(len(body)), 60_000, 60_000
	send(&wire.AttemptUp{Of: &wire.AttemptUp_Open{Open: open}})
	const part = 256 << 10
	for at := 0; at < len(body); at += part {
		send(&wire.AttemptUp{Of: &wire.AttemptUp_Body{Body: body[at:min(at+part, len(body))]}})
	}
	send(&wire.AttemptUp{Of: &wire.AttemptUp_BodyEnd{BodyEnd: true}})
	return stream
}

func receive(t *testing.T, stream grpc.ServerStreamingClient[wire.AttemptDown]) *wire.AttemptDown {
	t.Helper()
	down, err := stream.Recv()
	if err != nil {
		t.Fatal(err)
	}
	return down
}

// TestAgentProcess runs a whole agent over real links. A report stream without
// acknowledgements is replaced, a prompt of a million tokens passes, a call whose
// connection broke is not retried, and a shutdown interrupts no answer.
func TestAgentProcess(t *testing.T) {
	peers, address := startFakePeers(t)
	endpoint := &fakeEndpoint{requests: map[string]int{}, active: map[string]bool{}, release: make(chan struct{})}
	endpointServer := httpserver.Start(t, endpoint)
	options := newOptions(t, address)
	agent, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, shutDown := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- agent.Run(ctx) }()
	go announceEndpoint(t, options.AnnounceListen, endpointServer.Listener.Addr().String())
	awaitReport(t, peers, (*wire.GateReport).GetReady)
	if got := peers.streams.Load(); got < 2 {
		t.Errorf("%d report streams", got)
	}
	conn, err := link.Dial(options.Listen, link.Security{})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	client := wire.NewGateClient(conn)
	cut := startAttempt(t, client, "cut", []byte("booking"))
	receive(t, cut)
	if end := receive(t, cut).GetEnd(); !end.GetMayHaveRun() || end.GetFailure() == nil {
		t.Errorf("a call whose connection broke ended with %v", end)
	}
	awaitReport(t, peers, (*wire.GateReport).GetReady)
	long := startAttempt(t, client, "long", make([]byte, 4<<20))
	receive(t, long)
	if got := string(receive(t, long).GetChunk().GetData()); got != "id: 1\ndata: 4194304\n\n" {
		t.Errorf("first chunk is %q", got)
	}
	recorder := httptest.NewRecorder()
	agent.healthHandler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, series := range []string{"gate_queue_ms", "gate_running "} {
		if !strings.Contains(recorder.Body.String(), series) {
			t.Errorf("no %s in %s", series, recorder.Body)
		}
	}
	shutDown()
	awaitReport(t, peers, (*wire.GateReport).GetLeaving)
	if refused := receive(t, startAttempt(t, client, "new", nil)).GetRefused(); refused.GetFailure().GetRetryAfterMs() == 0 {
		t.Errorf("a new attempt while draining got %v", refused)
	}
	close(endpoint.release)
	receive(t, long)
	if end := receive(t, long).GetEnd(); end.GetFailure() != nil || end.GetStatus() != 200 || end.GetChunks() != 2 {
		t.Errorf("the running answer ended with %v", end)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if fmt.Sprint(endpoint.requests) != "map[cut:1 long:1]" {
		t.Errorf("the endpoint got the requests %v", endpoint.requests)
	}
}

func awaitReport(t *testing.T, peers *fakePeers, want func(*wire.GateReport) bool) {
	t.Helper()
	limit := time.After(time.Minute)
	for {
		select {
		case report := <-peers.reports:
			if want(report) {
				return
			}
		case <-limit:
			t.Fatal("the expected report did not arrive")
		}
	}
}
