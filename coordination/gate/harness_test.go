package gate_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

var errReset = errors.New("connection reset")

// disconnectDelay is how long the endpoint takes to notice a closed connection.
const disconnectDelay = 30 * time.Millisecond

// testReplayBytes is enough for each single answer of the tests, except that of
// TestUnreadAnswerIsBounded.
const testReplayBytes = 2 << 20

// fakeEngine is an endpoint in memory that records violations of its limits.
type fakeEngine struct {
	delay       time.Duration // between the write of a request and its arrival
	tokens      int           // events of one answer
	eventGap    time.Duration // between two events
	coldLimit   int
	breakAfter  int                            // number of events after which the first stream of an attempt breaks; 0 for never
	resumeError string                         // answered in place of a resumed stream, unless empty
	service     string                         // name of the service, empty for an engine
	answer      func() (*gate.Response, error) // answers each attempt in place of a stream, unless nil
	resumption  func() (*gate.Response, error) // answers each resumption, unless nil

	mu         sync.Mutex
	boot       int
	admissible int
	active     map[string]*engineAttempt
	runs       map[string]int
	blocks     map[string]bool
	orders     []uint64
	violations []string
	sends      []string
}

type engineAttempt struct {
	boot       int
	stop       chan struct{}
	closeError error // error that the reader gets; nil leaves the connection silent
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		delay: time.Millisecond, tokens: 4, eventGap: 10 * time.Millisecond, coldLimit: 2, admissible: 2, boot: 1,
		active: map[string]*engineAttempt{}, runs: map[string]int{}, blocks: map[string]bool{},
	}
}

func (e *fakeEngine) bootID() string { return fmt.Sprint("boot", e.boot) }

func (e *fakeEngine) Send(ctx context.Context, call *gate.Call) (*gate.Response, error) {
	if call.OnWritten != nil {
		call.OnWritten()
	}
	time.Sleep(e.delay) // a written request arrives even if the sender has given up
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends = append(e.sends, call.Attempt)
	e.runs[call.Attempt]++
	if e.answer != nil {
		return e.answer()
	}
	if len(e.active) >= e.admissible {
		e.violations = append(e.violations, fmt.Sprintf("%s arrived at %d of %d", call.Attempt, len(e.active), e.admissible))
	}
	w := &engineAttempt{boot: e.boot, stop: make(chan struct{})}
	id := call.Attempt
	if call.Path == "/kv/prefill" {
		id += "-0" // number of the segment
	}
	e.active[id] = w
	contentType := "text/event-stream"
	reader, writer := io.Pipe()
	if call.Path != "/v1/completions" {
		contentType = "application/json"
		block := id
		e.blocks[block] = true
		go e.stream(ctx, id, w, writer, 1, 0, func(int) string { return `{"block":"` + block + `"}` })
	} else {
		go e.stream(ctx, call.Attempt, w, writer, 1, e.breakAfter, event)
	}
	return &gate.Response{Status: 200, ContentType: contentType, BootID: e.bootID(), Body: reader}, nil
}

func event(i int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", i, i) }

func (e *fakeEngine) stream(ctx context.Context, id string, w *engineAttempt, out *io.PipeWriter, from, breakAfter int, text func(int) string) {
	for i := from; i <= e.tokens; i++ {
		select {
		case <-time.After(e.currentEventGap()):
		case <-ctx.Done():
			out.CloseWithError(ctx.Err())
			time.Sleep(disconnectDelay)
			e.finish(id, w)
			return
		case <-w.stop:
			if w.closeError == nil {
				<-ctx.Done()
			}
			out.CloseWithError(errReset)
			return
		}
		_, _ = io.WriteString(out, text(i))
		if breakAfter == i {
			out.CloseWithError(errReset)
			return
		}
		if text(1) == text(2) {
			break // the answer consists of one part
		}
	}
	if text(1) != text(2) {
		_, _ = io.WriteString(out, fmt.Sprintf("id: %d\ndata: [DONE]\n\n", e.tokens+1))
	}
	if e.finish(id, w) {
		e.mu.Lock()
		e.admissible++
		e.mu.Unlock()
	}
	out.Close()
}

func (e *fakeEngine) finish(id string, w *engineAttempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active[id] != w {
		return false
	}
	delete(e.active, id)
	return true
}

func (e *fakeEngine) Resume(ctx context.Context, id string, from uint64) (*gate.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resumption != nil {
		return e.resumption()
	}
	w, ok := e.active[id]
	if !ok {
		return &gate.Response{Status: 404, Body: io.NopCloser(&io.LimitedReader{})}, nil
	}
	if e.resumeError != "" {
		return &gate.Response{Status: 200, BootID: e.bootID(), ContentType: "application/json", Body: io.NopCloser(strings.NewReader(e.resumeError))}, nil
	}
	reader, writer := io.Pipe()
	go e.stream(ctx, id, w, writer, int(from), 0, event)
	return &gate.Response{Status: 200, BootID: e.bootID(), ContentType: "text/event-stream", Body: reader}, nil
}

func (e *fakeEngine) Cancel(_ context.Context, id string) error {
	time.Sleep(time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, id)
	return nil
}

func (e *fakeEngine) List(context.Context) (*gate.Listing, error) {
	time.Sleep(time.Millisecond / 2)
	e.mu.Lock()
	defer e.mu.Unlock()
	l := &gate.Listing{BootID: e.bootID()}
	for id := range e.active {
		l.Attempts = append(l.Attempts, id)
	}
	l.Blocks = slices.Collect(maps.Keys(e.blocks))
	return l, nil
}

func (e *fakeEngine) Load(context.Context) (*gate.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &gate.Load{BootID: e.bootID(), Admissible: e.admissible, Report: &wire.EndpointLoad{}}, nil
}

func (e *fakeEngine) Order(_ context.Context, call gate.OrderCall) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, call.Number)
	return "ok", nil
}

func (e *fakeEngine) DeleteBlock(_ context.Context, block string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.blocks, block)
	return nil
}

func (e *fakeEngine) currentEventGap() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.eventGap
}

func (e *fakeEngine) setEventGap(gap time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eventGap = gap
}

// activeIDs returns the IDs of the attempts at the endpoint, sorted.
func (e *fakeEngine) activeIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.active))
}

func (e *fakeEngine) blockCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.blocks)
}

// restart restarts the endpoint into cold start. With closeError nil, its
// connections become silent without being closed.
func (e *fakeEngine) restart(closeError error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.admissible = e.coldLimit
	for id, w := range e.active {
		w.closeError = closeError
		close(w.stop)
		delete(e.active, id)
	}
	clear(e.blocks)
}

// fakeControl is a control group in memory.
type fakeControl struct {
	mu           sync.Mutex
	deny         bool
	lease        uint64
	done         []uint64
	startedUnder map[uint64]uint64 // lease number by order number
}

func (c *fakeControl) Acquire(context.Context, *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &wire.GateLeaseResponse{Held: !c.deny, Number: c.lease + 7, ValidMs: 2000}, nil
}

func (c *fakeControl) Done(_ context.Context, request *wire.OrderDoneRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !request.Started {
		c.done = append(c.done, request.Number)
		return nil
	}
	if holder, started := c.startedUnder[request.Number]; started && holder != request.LeaseNumber {
		return fault.New(fault.Conflict, "started under lease %d", holder)
	}
	if c.startedUnder == nil {
		c.startedUnder = map[uint64]uint64{}
	}
	c.startedUnder[request.Number] = request.LeaseNumber
	return nil
}

// testGate is a gate in front of a fakeEngine, with a current configuration and
// an announced endpoint.
type testGate struct {
	*gate.Gate
	engine        *fakeEngine
	control       *fakeControl
	store         *configsync.Store
	refreshConfig func(bool) // keeps the configuration current, or lets it become outdated
	cancel        context.CancelFunc
}

func newGate(e *fakeEngine, c *wire.FleetConfig) *testGate { return newGateWith(e, c, &fakeControl{}) }

// newGateWith starts a gate, announces its endpoint and keeps its configuration
// current.
func newGateWith(e *fakeEngine, config *wire.FleetConfig, c *fakeControl) *testGate {
	r := &testGate{engine: e, control: c, store: configsync.NewStore()}
	ctx, stop := context.WithCancel(context.Background())
	r.cancel = stop
	r.Gate = gate.New(gate.Options{DataCentre: "dc1", Address: "gate", Configuration: r.store, Endpoint: e, Leases: r.control, Orders: r.control, ReplayBytes: testReplayBytes})
	var mu sync.Mutex
	on := true
	r.refreshConfig = func(keep bool) { mu.Lock(); on = keep; mu.Unlock() }
	info := gate.EndpointInfo{Endpoint: "e1", Service: e.service, Address: "a", Models: []string{"m"}, MemoryTokens: 100_000, Concurrency: 16, ColdConcurrency: e.coldLimit, PrefillTokensPerSecond: 1e6}
	go func() {
		for ctx.Err() == nil {
			mu.Lock()
			if on {
				r.store.Update(&wire.SyncResponse{Revision: config.Revision, Snapshot: config}, time.Now())
			}
			mu.Unlock()
			_ = r.Announce(info)
			time.Sleep(500 * time.Millisecond)
		}
	}()
	go r.Run(ctx)
	time.Sleep(time.Second)
	return r
}

func newOpen(id string, repeatable bool) *wire.AttemptOpen {
	return &wire.AttemptOpen{
		Attempt: id, Organisation: "o", Model: "m", Path: "/v1/completions", PromptTokens: 1000, OutputTokens: 100,
		FirstTokenMs: 5000, WholeAnswerMs: 20000, Repeatable: repeatable, Streamed: true,
	}
}

// stop stops the gate and waits until its goroutines have ended.
func (r *testGate) stop() {
	r.cancel()
	time.Sleep(time.Minute)
}

// submit admits and submits an attempt. A refusal fails the test.
func (r *testGate) submit(t *testing.T, o *wire.AttemptOpen) *gate.Attempt {
	t.Helper()
	a, refusal := r.Admit(o)
	if refusal != nil {
		t.Fatalf("%s refused: %v", o.Attempt, refusal)
	}
	a.AddReader()
	var body []byte
	if o.Path == "/kv/prefill" {
		body = fmt.Appendf(nil, `{"attempt":%q,"segment":0}`, o.Attempt)
	}
	a.Submit(body)
	return a
}

// readAnswer reads and acknowledges an answer from a sequence number on to its
// last message.
func readAnswer(a *gate.Attempt, from uint64) (text string, last *wire.AttemptDown) {
	for {
		messages, done, err := a.Read(context.Background(), from)
		if done || err != nil {
			return text, last
		}
		for _, m := range messages {
			text += string(m.GetChunk().GetData())
			from, last = m.Sequence+1, m
			a.Acknowledge(m.Sequence)
		}
	}
}

// readUnacknowledged reads an answer to its last message without acknowledging
// it.
func readUnacknowledged(a *gate.Attempt) (last *wire.AttemptDown) {
	for from := uint64(1); ; from = last.Sequence + 1 {
		messages, done, err := a.Read(context.Background(), from)
		if done || err != nil {
			return last
		}
		last = messages[len(messages)-1]
	}
}

func (r *testGate) find(t *testing.T, id string) *gate.Attempt {
	t.Helper()
	a, err := r.FindAttempt(&wire.ResumeRequest{Attempt: id, Organisation: "o", GateInstance: r.Instance()})
	if err != nil {
		t.Fatal(err)
	}
	return a
}
