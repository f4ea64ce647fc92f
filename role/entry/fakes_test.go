package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// plan is what a fake gate does with one attempt.
type plan struct {
	refuse     *wire.Failure
	lost       bool // the stream breaks before the gate records the attempt
	chunks     []string
	status     uint32
	fail       *wire.Failure
	breakAfter int                                           // messages after which the stream breaks once; 0 for never
	mangle     func([]*wire.AttemptDown) []*wire.AttemptDown // reorders, repeats or drops messages
	hang       bool                                          // the gate sends nothing after Accepted
	crash      bool                                          // the stream breaks and the gate loses its state
}

// seenAttempt is an attempt that a fake gate received, with the messages of its answer.
type seenAttempt struct {
	open *wire.AttemptOpen
	body []byte
	down []*wire.AttemptDown
}

// fakeGate is a gate whose behaviour for each attempt a plan sets.
type fakeGate struct {
	wire.UnimplementedGateServer
	address string

	mu           sync.Mutex
	plan         func(attempt int, open *wire.AttemptOpen) plan
	attempts     map[string]*seenAttempt
	attemptIDs   []string
	refused      map[string]bool
	cancels      int
	resumes      int
	crashed      bool
	reservations map[string]uint64 // memory tokens by reservation
	reserveCalls int
	full         bool // refuses reservations
}

// gateMemoryTokens is the memory of the model endpoint behind each fake gate.
const gateMemoryTokens = 1600

func (g *fakeGate) Reserve(_ context.Context, r *wire.ReserveRequest) (*wire.ReserveResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, again := g.reservations[r.Reservation]; g.full || !again && len(g.reservations) > 0 {
		return &wire.ReserveResponse{Failure: fault.ToWire(fault.New(fault.Overloaded, "full"))}, nil
	}
	g.reserveCalls++
	g.reservations[r.Reservation] = r.MemoryTokens
	return &wire.ReserveResponse{Held: true, EndpointAddress: "endpoint-of-" + r.GateInstance}, nil
}

func (g *fakeGate) Release(_ context.Context, r *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.reservations, r.Reservation)
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
	if p.lost || p.crash {
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
	p := g.plan(len(g.attemptIDs), open)
	if g.refused[open.Attempt] {
		p.refuse = fault.ToWire(fault.New(fault.Overloaded, "refused before"))
	}
	if p.lost {
		return p, nil
	}
	down := messages(p)
	g.attemptIDs = append(g.attemptIDs, open.Attempt)
	g.attempts[open.Attempt] = &seenAttempt{open: open, body: body, down: down}
	if p.refuse != nil {
		g.refused[open.Attempt] = true
	}
	g.crashed = g.crashed || p.crash
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
	seen, crashed := g.attempts[r.Attempt], g.crashed
	g.mu.Unlock()
	if seen == nil || crashed {
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
	case g.crashed:
		return &wire.InquireResponse{State: wire.AttemptState_ATTEMPT_STATE_UNKNOWN}, nil
	case g.refused[r.Attempt]:
		return &wire.InquireResponse{State: wire.AttemptState_ATTEMPT_STATE_REFUSED}, nil
	case seen == nil:
		g.refused[r.Attempt] = r.RefuseIfUnseen
		return &wire.InquireResponse{State: wire.AttemptState_ATTEMPT_STATE_NEVER_SEEN}, nil
	}
	outcome := &wire.Outcome{ContentType: "application/json"}
	for _, d := range seen.down {
		outcome.Body = append(outcome.Body, d.GetChunk().GetData()...)
		outcome.Status = max(outcome.Status, d.GetEnd().GetStatus()) // only the end has one
	}
	return &wire.InquireResponse{State: wire.AttemptState_ATTEMPT_STATE_DONE, Outcome: outcome}, nil
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
	return len(g.attemptIDs), g.cancels, g.resumes
}

// fakeGateLeases grants each gate its lease.
type fakeGateLeases struct {
	wire.UnimplementedGateLeasesServer
}

func (fakeGateLeases) Acquire(context.Context, *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error) {
	return &wire.GateLeaseResponse{Held: true, Number: 3, ValidMs: 3000}, nil
}

// fakeControl is a control replica that can lose answers and deny quota.
type fakeControl struct {
	wire.UnimplementedConfigServer
	wire.UnimplementedClaimsServer
	wire.UnimplementedQuotasServer
	config *wire.FleetConfig

	mu         sync.Mutex
	claims     map[string]*wire.ClaimRecord
	loseClaim  int // number of claims that take effect but whose answer is lost
	loseSettle bool
	denyQuota  bool
	slotsHeld  uint32 // concurrency slots that the entry last reported in use
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
		c.slotsHeld = d.ConcurrencyHeld
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

// testbed is an entry with a fake control replica and some fake gates.
type testbed struct {
	t       *testing.T
	url     string
	control *fakeControl
	gates   []*fakeGate
	entry   *Entry

	controlAddress, fleetAddress string

	stop  context.CancelFunc
	ended chan error
}

const testKey = "key-a"
