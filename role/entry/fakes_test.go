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
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// plan is what a fake gate does with one attempt.
type plan struct {
	refuse     *wire.Failure
	unseen     bool // the stream breaks before the gate takes the attempt
	chunks     []string
	status     uint32
	fail       *wire.Failure
	breakAfter int // messages after which the stream breaks once; 0 for never
	mangle     func([]*wire.AttemptDown) []*wire.AttemptDown
	hang       bool // no message after Accepted
	die        bool // the stream breaks for good and the gate forgets all
}

type seenAttempt struct {
	open *wire.AttemptOpen
	body []byte
	down []*wire.AttemptDown
}

type fakeGate struct {
	wire.UnimplementedGateServer
	address string

	mu       sync.Mutex
	plan     func(attempt int, open *wire.AttemptOpen) plan
	attempts map[string]*seenAttempt
	order    []string
	refused  map[string]bool
	cancels  int
	resumes  int
	dead     bool
	held     map[string]uint64 // reservations
	reserved int
	full     bool // refuses reservations
}

// gateMemory is the memory of each fake gate's model endpoint in tokens.
const gateMemory = 1600

func (g *fakeGate) Reserve(_ context.Context, r *wire.ReserveRequest) (*wire.ReserveResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, again := g.held[r.Reservation]; g.full || !again && len(g.held) > 0 {
		return &wire.ReserveResponse{Failure: fault.ToWire(fault.New(fault.Overloaded, "full"))}, nil
	}
	g.reserved++
	g.held[r.Reservation] = r.MemoryTokens
	return &wire.ReserveResponse{Held: true, EndpointAddress: "endpoint-of-" + r.GateInstance}, nil
}

func (g *fakeGate) Release(_ context.Context, r *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.held, r.Reservation)
	return &wire.ReleaseResponse{}, nil
}

func (g *fakeGate) Attempt(stream wire.Gate_AttemptServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	open := first.GetOpen()
	var body []byte
	for {
		up, err := stream.Recv()
		if err != nil {
			return err
		}
		if up.GetBodyEnd() {
			break
		}
		body = append(body, up.GetBody()...)
	}
	p, down := g.admit(open, body)
	if p.unseen || p.die {
		return status.Error(codes.Unavailable, "broken")
	}
	if p.refuse != nil {
		return stream.Send(&wire.AttemptDown{Of: &wire.AttemptDown_Refused{Refused: &wire.Refused{Failure: p.refuse}}})
	}
	_ = stream.Send(&wire.AttemptDown{Of: &wire.AttemptDown_Accepted{Accepted: &wire.Accepted{}}})
	if p.hang {
		<-stream.Context().Done()
		return nil
	}
	if p.mangle != nil {
		down = p.mangle(down)
	}
	for i, d := range down {
		if p.breakAfter > 0 && i == p.breakAfter {
			return status.Error(codes.Unavailable, "broken")
		}
		if err := stream.Send(d); err != nil {
			return err
		}
	}
	<-stream.Context().Done()
	return nil
}

func (g *fakeGate) admit(open *wire.AttemptOpen, body []byte) (plan, []*wire.AttemptDown) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.plan(len(g.order), open)
	if g.refused[open.Attempt] {
		p.refuse = fault.ToWire(fault.New(fault.Overloaded, "refused before"))
	}
	if p.unseen {
		return p, nil
	}
	down := messages(p)
	g.order = append(g.order, open.Attempt)
	g.attempts[open.Attempt] = &seenAttempt{open: open, body: body, down: down}
	if p.refuse != nil {
		g.refused[open.Attempt] = true
	}
	g.dead = g.dead || p.die
	return p, down
}

func messages(p plan) []*wire.AttemptDown {
	var down []*wire.AttemptDown
	for i, c := range p.chunks {
		down = append(down, &wire.AttemptDown{Sequence: uint64(i + 1), Of: &wire.AttemptDown_Chunk{Chunk: &wire.Chunk{Data: []byte(c), Tokens: 1}}})
	}
	end := &wire.End{Status: p.status, ContentType: "application/json", Failure: p.fail, MayHaveRun: true, Chunks: uint64(len(p.chunks))}
	return append(down, &wire.AttemptDown{Sequence: uint64(len(p.chunks) + 1), Of: &wire.AttemptDown_End{End: end}})
}

func (g *fakeGate) Resume(r *wire.ResumeRequest, stream wire.Gate_ResumeServer) error {
	g.mu.Lock()
	g.resumes++
	seen, dead := g.attempts[r.Attempt], g.dead
	g.mu.Unlock()
	if seen == nil || dead {
		return status.Error(codes.NotFound, "unknown attempt")
	}
	for _, d := range seen.down {
		if d.Sequence >= r.FromSequence {
			if err := stream.Send(d); err != nil {
				return err
			}
		}
	}
	return nil
}

func (g *fakeGate) Cancel(context.Context, *wire.CancelRequest) (*wire.CancelResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancels++
	return &wire.CancelResponse{}, nil
}

func (g *fakeGate) Inquire(_ context.Context, r *wire.InquireRequest) (*wire.InquireResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := g.attempts[r.Attempt]
	switch {
	case g.dead:
		return &wire.InquireResponse{State: wire.AttemptState_ATTEMPT_STATE_UNKNOWN}, nil
	case g.refused[r.Attempt]:
		return &wire.InquireResponse{State: wire.AttemptState_ATTEMPT_STATE_REFUSED}, nil
	case seen == nil:
		g.refused[r.Attempt] = r.RefuseIfUnseen
		return &wire.InquireResponse{State: wire.AttemptState_ATTEMPT_STATE_NEVER_SEEN}, nil
	}
	var body []byte
	for _, d := range seen.down {
		body = append(body, d.GetChunk().GetData()...)
	}
	return &wire.InquireResponse{State: wire.AttemptState_ATTEMPT_STATE_DONE, Outcome: &wire.Outcome{Status: 200, ContentType: "application/json", Body: body}}, nil
}

func (g *fakeGate) Beat(stream wire.Gate_BeatServer) error {
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

func (g *fakeGate) counts() (attempts, cancels, resumes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.order), g.cancels, g.resumes
}

type fakeControl struct {
	wire.UnimplementedConfigServer
	wire.UnimplementedClaimsServer
	wire.UnimplementedQuotasServer
	config *wire.FleetConfig

	mu         sync.Mutex
	claims     map[string]*wire.ClaimRecord
	loseClaim  int // answers to claims that are lost after their effect
	loseSettle bool
	denyQuota  bool
	held       uint32 // slots last reported in use
}

func (c *fakeControl) Sync(context.Context, *wire.SyncRequest) (*wire.SyncResponse, error) {
	time.Sleep(10 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	return &wire.SyncResponse{Revision: c.config.Revision, Snapshot: c.config}, nil
}

func (c *fakeControl) Claim(_ context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	have := c.claims[r.Key]
	response := &wire.ClaimResponse{Existing: proto.CloneOf(have)}
	if have == nil || have.State == wire.ClaimState_CLAIM_STATE_NOT_RUN {
		c.claims[r.Key] = &wire.ClaimRecord{Organisation: r.Organisation, Key: r.Key, RequestDigest: r.RequestDigest,
			Attempt: r.Attempt, GateInstance: r.GateInstance, GateAddress: r.GateAddress}
		response = &wire.ClaimResponse{Granted: true}
	}
	if c.loseClaim > 0 {
		c.loseClaim--
		return nil, status.Error(codes.Unavailable, "lost")
	}
	return response, nil
}

func (c *fakeControl) Settle(_ context.Context, r *wire.SettleRequest) (*wire.SettleResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loseSettle {
		return &wire.SettleResponse{Failure: fault.ToWire(fault.New(fault.Internal, "lost"))}, nil
	}
	have := c.claims[r.Key]
	if have == nil || have.Attempt != r.Attempt {
		return &wire.SettleResponse{Failure: fault.ToWire(fault.New(fault.Conflict, "another attempt"))}, nil
	}
	have.State, have.Outcome = r.State, r.Outcome
	return &wire.SettleResponse{Record: proto.CloneOf(have)}, nil
}

func (c *fakeControl) Lease(_ context.Context, r *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := &wire.LeaseResponse{}
	for _, d := range r.Demands {
		c.held = d.ConcurrencyHeld
		g := &wire.QuotaGrant{Organisation: d.Organisation, ValidMs: 2000}
		if c.denyQuota {
			g.RetryAfterMs = 2500
		} else {
			g.Requests, g.Tokens, g.Concurrency = d.Requests, d.Tokens, d.ConcurrencyWanted
		}
		response.Grants = append(response.Grants, g)
	}
	return response, nil
}

// bed is an entry with one fake control and some fake gates.
type bed struct {
	t       *testing.T
	url     string
	control *fakeControl
	gates   []*fakeGate
	entry   *Entry
	stop    context.CancelFunc
	ended   chan error
}

const testKey = "key-a"

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
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

func newBed(t *testing.T, gates int, doing func(attempt int, open *wire.AttemptOpen) plan) *bed {
	t.Helper()
	b := &bed{t: t, control: &fakeControl{config: testConfig(), claims: map[string]*wire.ClaimRecord{}}}
	address := serveGRPC(t, func(s *grpc.Server) {
		wire.RegisterConfigServer(s, b.control)
		wire.RegisterClaimsServer(s, b.control)
		wire.RegisterQuotasServer(s, b.control)
	})
	for range gates {
		g := &fakeGate{plan: doing, attempts: map[string]*seenAttempt{}, refused: map[string]bool{}, held: map[string]uint64{}}
		g.address = serveGRPC(t, func(s *grpc.Server) { wire.RegisterGateServer(s, g) })
		b.gates = append(b.gates, g)
	}
	b.url = b.startEntry(address)
	b.await("readiness", func() bool {
		r, err := http.Get(b.url + "/readyz")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == 200 && b.routable() == 2*gates
	})
	return b
}

func (b *bed) startEntry(control string) string {
	e, err := Build(&Options{ID: "e1", DataCentre: "d1", Control: []string{control}, Policy: "adaptive",
		ResumeSecret: "s", DrainLimit: 20 * time.Second, ReadyGrace: 10 * time.Millisecond})
	if err != nil {
		b.t.Fatal(err)
	}
	fleetListener, callers := listen(b.t), listen(b.t)
	ctx, stop := context.WithCancel(context.Background())
	b.entry, b.stop, b.ended = e, stop, make(chan error, 1)
	go func() { b.ended <- e.Serve(ctx, fleetListener, callers) }()
	reporting, stopReports := context.WithCancel(context.Background())
	for i, g := range b.gates {
		go announce(reporting, fleetListener.Addr().String(), g.address, string(rune('a'+i)))
	}
	b.t.Cleanup(func() {
		stopReports()
		stop()
		select {
		case <-b.ended:
		case <-time.After(30 * time.Second):
			b.t.Error("the entry does not end")
		}
	})
	return "http://" + callers.Addr().String()
}

// announce reports one model and one service endpoint behind a gate.
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
					PrefillTokensPerSecond: 1e6, DecodeMsPerToken: 1, MemoryTokensTotal: gateMemory}}
			service := &wire.GateReport{Sequence: n, GateInstance: name, GateAddress: gate, Endpoint: "s" + name, DataCentre: "d1",
				Service: "booking", Ready: true, AdmitLimit: 8, Load: &wire.EndpointLoad{}}
			err = errors.Join(stream.Send(report), stream.Send(service))
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (b *bed) routable() int {
	r, err := http.Get(b.url + "/metrics")
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	return strings.Count(string(text), "entry_endpoint{")
}

func (b *bed) await(what string, done func() bool) {
	b.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
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

// do sends a request with the key of organisation a; headers come in pairs.
func (b *bed) do(method, path, body string, headers ...string) answer {
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

// runs counts the attempts that gates have taken and not refused.
func (b *bed) runs() int {
	count := 0
	for _, g := range b.gates {
		g.mu.Lock()
		for _, id := range g.order {
			if !g.refused[id] {
				count++
			}
		}
		g.mu.Unlock()
	}
	return count
}

func (b *bed) slotsFree() {
	b.t.Helper()
	b.await("release of all quota", func() bool { return b.entry.quota.Used("a") == 0 })
}
