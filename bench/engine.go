package bench

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/prompt"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	chunkTokens   = 2048                  // prompt tokens computed in one step
	stepTime      = 5 * time.Millisecond  // of a step without prompts and streams
	streamTime    = 50 * time.Microsecond // added by each stream that decodes
	wakeTime      = 100 * time.Microsecond
	loadDelay     = 313 * time.Microsecond
	answerDelay   = 537 * time.Microsecond
	loadLag       = 200 * time.Millisecond
	loadSampling  = 50 * time.Millisecond
	samplePhase   = 7310 * time.Microsecond // no two timers of a gate coincide
	prefillRate   = 40_000.0                // tokens per second, without the time of the step
	memoryTokens  = 1_200_000
	concurrency   = 32
	coldLimit     = 4
	cacheBlocks   = 512
	eventEvery    = 700 * time.Millisecond // between deliveries of cache events
	eventGapEvery = 20                     // of so many deliveries one is lost
)

// MaxPrefillTokensPerSecond is the prompt tokens per second that an engine computes at most.
const MaxPrefillTokensPerSecond = 1 / (1/prefillRate + 0.005/chunkTokens)

// Engine is an endpoint in memory. It batches continuously: each step computes
// a chunk of the prompts, by priority, and one token of each stream.
type Engine struct {
	name   string
	plain  bool          // computes prompts in order of arrival
	wake   chan struct{} // work has come
	lag    []sample
	slow   float64
	faulty bool

	mu               sync.Mutex
	boot             int
	finished         int
	work             []*work
	cache            blockCache
	Violations       int // attempts beyond what it can carry
	Arrivals         int
	PeakColdAttempts int // most attempts at once before the first has finished
	HitBlocks        uint64
	RequestedBlocks  uint64
}

type work struct {
	id       string
	at       time.Time
	priority int64
	left     float64
	tokens   uint64
	output   int
	made     int
	blocks   []uint64
	out      *io.PipeWriter
}

type sample struct {
	at   time.Time
	load gate.Load
}

func newEngine(name string, plain bool) *Engine {
	return &Engine{name: name, plain: plain, wake: make(chan struct{}, 1), boot: 1, slow: 1, cache: newBlockCache(cacheBlocks)}
}

func (e *Engine) bootID() string  { return fmt.Sprintf("%s-%d", e.name, e.boot) }
func (e *Engine) admissible() int { return min(coldLimit+e.finished, concurrency) }

// Send implements gate.Endpoint.
func (e *Engine) Send(ctx context.Context, call *gate.Call) (*gate.Response, error) {
	call.OnWritten()
	time.Sleep(answerDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Arrivals++
	if e.faulty {
		return &gate.Response{Status: http.StatusInternalServerError, BootID: e.bootID(), Body: http.NoBody}, nil
	}
	if len(e.work) >= e.admissible() {
		e.Violations++
	}
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
	w := &work{id: call.Attempt, at: time.Now(), priority: call.Priority, tokens: call.PromptTokens,
		output: int(call.OutputTokens), blocks: decodeBlocks(call.Body), out: writer}
	held := e.cache.held(w.blocks)
	e.HitBlocks += uint64(held)
	e.RequestedBlocks += uint64(len(w.blocks))
	w.left = float64(call.PromptTokens) - float64(held*prompt.BlockTokens)
	e.work = append(e.work, w)
	if e.finished == 0 {
		e.PeakColdAttempts = max(e.PeakColdAttempts, len(e.work))
	}
	e.poke()
	return &gate.Response{Status: http.StatusOK, ContentType: "text/event-stream", BootID: e.bootID(), Body: reader}, nil
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run computes until ctx ends.
func (e *Engine) run(ctx context.Context) {
	for ctx.Err() == nil {
		took, parts := e.plan()
		if took == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			sleep(ctx, wakeTime) // all that comes at one moment is planned together
			continue
		}
		time.Sleep(took)
		e.apply(parts)
	}
}

type part struct {
	work   *work
	tokens float64
}

// plan chooses the next step's work and its time, 0 when there is none.
func (e *Engine) plan() (time.Duration, []part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slices.SortFunc(e.work, e.before)
	spare, streams := float64(chunkTokens), 0
	var parts []part
	for _, w := range e.work {
		if w.left <= 0 && w.made > 0 {
			streams++
			parts = append(parts, part{w, 0})
		} else if tokens := min(spare, max(w.left, 1)); tokens > 0 {
			spare -= tokens
			parts = append(parts, part{w, tokens})
		}
	}
	if len(parts) == 0 {
		return 0, nil
	}
	seconds := (chunkTokens - spare) / prefillRate
	took := stepTime + time.Duration(streams)*streamTime + time.Duration(seconds*float64(time.Second))
	return time.Duration(float64(took) * e.slow), parts
}

func (e *Engine) before(a, b *work) int {
	if e.plain {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
	}
	return cmp.Or(-cmp.Compare(a.priority, b.priority), a.at.Compare(b.at), cmp.Compare(a.id, b.id))
}

// apply takes a step's results. Of an answer only its first and last event are written.
func (e *Engine) apply(parts []part) {
	type event struct {
		work *work
		done bool
	}
	var events []event
	e.mu.Lock()
	for _, p := range parts {
		if !slices.Contains(e.work, p.work) {
			continue // cancelled
		}
		p.work.left -= p.tokens
		if p.work.left > 0 {
			continue
		}
		p.work.made++
		if p.work.made == 1 {
			e.cache.store(p.work.blocks)
		}
		done := p.work.made >= p.work.output
		if done {
			e.finished++
			e.work = slices.DeleteFunc(e.work, func(w *work) bool { return w == p.work })
		}
		if done || p.work.made == 1 {
			events = append(events, event{p.work, done})
		}
	}
	e.mu.Unlock()
	for _, v := range events {
		_, _ = fmt.Fprintf(v.work.out, "id: %d\ndata: t\n\n", v.work.made)
		if v.done {
			_, _ = fmt.Fprintf(v.work.out, "id: %d\ndata: [DONE]\n\n", v.work.made+1)
			_ = v.work.out.Close()
		}
	}
}

// sampleLoad keeps load reports, so that those given out lag.
func (e *Engine) sampleLoad(ctx context.Context) {
	sleep(ctx, samplePhase)
	for ctx.Err() == nil {
		e.mu.Lock()
		s := sample{time.Now(), gate.Load{BootID: e.bootID(), Admissible: e.admissible(), Report: e.load()}}
		e.lag = append(e.lag, s)
		if keep := int(loadLag/loadSampling) + 1; len(e.lag) > keep {
			e.lag = e.lag[len(e.lag)-keep:]
		}
		e.mu.Unlock()
		sleep(ctx, loadSampling)
	}
}

func (e *Engine) load() *wire.EndpointLoad {
	load := &wire.EndpointLoad{MemoryTokensTotal: memoryTokens, PrefillTokensPerSecond: MaxPrefillTokensPerSecond,
		DecodeMsPerToken: float64(stepTime) / float64(time.Millisecond)}
	for _, w := range e.work {
		load.MemoryTokensUsed += w.tokens
		if w.left > 0 {
			load.QueuedPrefillTokens += uint64(w.left)
		}
	}
	return load
}

// Load implements gate.Endpoint.
func (e *Engine) Load(context.Context) (*gate.Load, error) {
	time.Sleep(loadDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.lag) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	s := e.lag[0]
	s.load.Report.AgeMs = uint64(time.Since(s.at).Milliseconds())
	return &s.load, nil
}

// List implements gate.Endpoint.
func (e *Engine) List(context.Context) (*gate.Listing, error) {
	time.Sleep(answerDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	listing := &gate.Listing{BootID: e.bootID()}
	for _, w := range e.work {
		listing.Attempts = append(listing.Attempts, w.id)
	}
	return listing, nil
}

// Cancel implements gate.Endpoint.
func (e *Engine) Cancel(_ context.Context, id string) error {
	time.Sleep(answerDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.work = slices.DeleteFunc(e.work, func(w *work) bool {
		if w.id == id {
			_ = w.out.CloseWithError(io.ErrUnexpectedEOF)
		}
		return w.id == id
	})
	return nil
}

// Resume implements gate.Endpoint: streams do not break here.
func (e *Engine) Resume(context.Context, string, uint64) (*gate.Response, error) {
	return nil, io.ErrUnexpectedEOF
}

// Order implements gate.Endpoint: no orders are given here.
func (e *Engine) Order(context.Context, gate.OrderCall) (string, error) { return "", nil }

// DeleteBlock implements gate.Endpoint: no blocks are made here.
func (e *Engine) DeleteBlock(context.Context, string) error { return nil }

// restart turns the engine cold; its work is lost.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.finished, e.PeakColdAttempts = 0, 0
	for _, w := range e.work {
		_ = w.out.CloseWithError(io.ErrUnexpectedEOF)
	}
	e.work, e.lag = nil, nil
	e.cache = newBlockCache(cacheBlocks)
}

func encodeBlocks(blocks []uint64) []byte {
	var body []byte
	for _, b := range blocks {
		body = binary.BigEndian.AppendUint64(body, b)
	}
	return body
}

func decodeBlocks(body []byte) []uint64 {
	var blocks []uint64
	for ; len(body) >= 8; body = body[8:] {
		blocks = append(blocks, binary.BigEndian.Uint64(body))
	}
	return blocks
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
