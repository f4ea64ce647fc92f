package gate_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

var errReset = errors.New("connection reset")

// noticeDelay is how late an endpoint notices a closed connection.
const noticeDelay = 30 * time.Millisecond

// testReplayBytes holds the answers of the tests but the long one.
const testReplayBytes = 2 << 20

// engine is an endpoint in memory that checks its own rules.
type engine struct {
	delay      time.Duration // between the write of a request and its arrival
	tokens     int           // events of an answer
	gap        time.Duration // between events
	coldLimit  int
	breakAfter int // events after which each first stream breaks, 0 for never

	mu         sync.Mutex
	boot       int
	admissible int
	active     map[string]*work
	runs       map[string]int
	blocks     map[string]bool
	orders     []uint64
	breaches   []string
	sends      []string
}

type work struct {
	boot int
	stop chan struct{}
	kill error // what the reader sees; nil for silence
}

func newEngine() *engine {
	return &engine{
		delay: time.Millisecond, tokens: 4, gap: 10 * time.Millisecond, coldLimit: 2, admissible: 2, boot: 1,
		active: map[string]*work{}, runs: map[string]int{}, blocks: map[string]bool{},
	}
}

func (e *engine) bootID() string { return fmt.Sprint("boot", e.boot) }

func (e *engine) Send(ctx context.Context, call *gate.Call) (*gate.Response, error) {
	if call.OnWritten != nil {
		call.OnWritten()
	}
	time.Sleep(e.delay) // what was written arrives, also when the sender has given up
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends = append(e.sends, call.Attempt)
	e.runs[call.Attempt]++
	if len(e.active) >= e.admissible {
		e.breaches = append(e.breaches, fmt.Sprintf("%s arrived at %d of %d", call.Attempt, len(e.active), e.admissible))
	}
	w := &work{boot: e.boot, stop: make(chan struct{})}
	id := call.Attempt
	if call.Path == "/kv/prefill" {
		id += "-0" // its segment
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

func (e *engine) stream(ctx context.Context, id string, w *work, out *io.PipeWriter, from, breakAfter int, text func(int) string) {
	for i := from; i <= e.tokens; i++ {
		select {
		case <-time.After(e.pace()):
		case <-ctx.Done():
			out.CloseWithError(ctx.Err())
			time.Sleep(noticeDelay)
			e.drop(id, w)
			return
		case <-w.stop:
			if w.kill == nil {
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
			break // a whole answer of one part
		}
	}
	if text(1) != text(2) {
		_, _ = io.WriteString(out, fmt.Sprintf("id: %d\ndata: [DONE]\n\n", e.tokens+1))
	}
	if e.drop(id, w) {
		e.mu.Lock()
		e.admissible++
		e.mu.Unlock()
	}
	out.Close()
}

func (e *engine) drop(id string, w *work) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active[id] != w {
		return false
	}
	delete(e.active, id)
	return true
}

func (e *engine) Resume(ctx context.Context, id string, from uint64) (*gate.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, ok := e.active[id]
	if !ok {
		return &gate.Response{Status: 404, Body: io.NopCloser(&io.LimitedReader{})}, nil
	}
	reader, writer := io.Pipe()
	go e.stream(ctx, id, w, writer, int(from), 0, event)
	return &gate.Response{Status: 200, BootID: e.bootID(), ContentType: "text/event-stream", Body: reader}, nil
}

func (e *engine) Cancel(_ context.Context, id string) error {
	time.Sleep(time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, id)
	return nil
}

func (e *engine) List(context.Context) (*gate.Listing, error) {
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

func (e *engine) Load(context.Context) (*gate.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &gate.Load{BootID: e.bootID(), Admissible: e.admissible, Report: &wire.EndpointLoad{}}, nil
}

func (e *engine) Order(_ context.Context, call gate.OrderCall) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, call.Number)
	return "ok", nil
}

func (e *engine) DeleteBlock(_ context.Context, block string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.blocks, block)
	return nil
}

func (e *engine) pace() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gap
}

func (e *engine) setPace(gap time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gap = gap
}

// left names the attempts at the endpoint, in order.
func (e *engine) left() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.active))
}

func (e *engine) blocksLeft() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.blocks)
}

// restart turns the endpoint cold; with kill nil its connections go silent.
func (e *engine) restart(kill error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.admissible = e.coldLimit
	for id, w := range e.active {
		w.kill = kill
		close(w.stop)
		delete(e.active, id)
	}
	clear(e.blocks)
}

// control is a control group in memory.
type control struct {
	mu    sync.Mutex
	deny  bool
	lease uint64
	done  []uint64
	begun map[uint64]uint64 // lease by order
}

func (c *control) Acquire(context.Context, *wire.GateLeaseRequest) (*wire.GateLeaseResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &wire.GateLeaseResponse{Held: !c.deny, Number: c.lease + 7, ValidMs: 2000}, nil
}

func (c *control) Done(_ context.Context, request *wire.OrderDoneRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !request.Started {
		c.done = append(c.done, request.Number)
		return nil
	}
	if holder, begun := c.begun[request.Number]; begun && holder != request.LeaseNumber {
		return fault.New(fault.Conflict, "begun under lease %d", holder)
	}
	if c.begun == nil {
		c.begun = map[uint64]uint64{}
	}
	c.begun[request.Number] = request.LeaseNumber
	return nil
}

// rig is a gate before an engine, both current and announced.
type rig struct {
	*gate.Gate
	engine  *engine
	control *control
	store   *configsync.Store
	fresh   func(bool) // keeps the configuration current, or lets it age
	cancel  context.CancelFunc
}

func newRig(e *engine, config *wire.FleetConfig) *rig { return newRigAt(e, config, &control{}) }

func newRigAt(e *engine, config *wire.FleetConfig, c *control) *rig {
	r := &rig{engine: e, control: c, store: configsync.NewStore()}
	ctx, stop := context.WithCancel(context.Background())
	r.cancel = stop
	r.Gate = gate.New(gate.Options{DataCentre: "dc1", Address: "gate", Configuration: r.store, Endpoint: e, Leases: r.control, Orders: r.control, ReplayBytes: testReplayBytes})
	var mu sync.Mutex
	on := true
	r.fresh = func(keep bool) { mu.Lock(); on = keep; mu.Unlock() }
	info := gate.EndpointInfo{Endpoint: "e1", Address: "a", Models: []string{"m"}, MemoryTokens: 100_000, Concurrency: 16, ColdConcurrency: e.coldLimit, PrefillTokensPerSecond: 1e6}
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

func open(id string, repeatable bool) *wire.AttemptOpen {
	return &wire.AttemptOpen{
		Attempt: id, Organisation: "o", Model: "m", Path: "/v1/completions", PromptTokens: 1000, OutputTokens: 100,
		FirstTokenMs: 5000, WholeAnswerMs: 20000, Repeatable: repeatable, Streamed: true,
	}
}

// stop ends the rig and lets its goroutines end.
func (r *rig) stop() {
	r.cancel()
	time.Sleep(time.Minute)
}

// submit sends an attempt and reports whether the gate began it.
func (r *rig) submit(t *testing.T, o *wire.AttemptOpen) *gate.Attempt {
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

// collect reads an answer from a sequence on to its last message.
func collect(a *gate.Attempt, from uint64) (text string, last *wire.AttemptDown) {
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

// readToEnd reads an answer without acknowledging it.
func readToEnd(a *gate.Attempt) (last *wire.AttemptDown) {
	for from := uint64(1); ; from = last.Sequence + 1 {
		messages, done, err := a.Read(context.Background(), from)
		if done || err != nil {
			return last
		}
		last = messages[len(messages)-1]
	}
}

func (r *rig) find(t *testing.T, id string) *gate.Attempt {
	t.Helper()
	a, err := r.FindAttempt(&wire.ResumeRequest{Attempt: id, Organisation: "o", GateInstance: r.Instance()})
	if err != nil {
		t.Fatal(err)
	}
	return a
}
