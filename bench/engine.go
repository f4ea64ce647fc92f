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
	chunkTokens = 2048 // prompt tokens that one step prefills at most

	// stepOverhead is the fixed part of each step, and so the least time for an output
	// token. MaxPrefillTokensPerSecond repeats it as 0.005 s, announceOnce as 5 ms.
	stepOverhead = 5 * time.Millisecond

	stepTimePerStream      = 50 * time.Microsecond  // added to a step by each request that decodes in it
	batchWindow            = 100 * time.Microsecond // requests that arrive within it start in one step
	loadCallDelay          = 313 * time.Microsecond // of a call for the load
	callDelay              = 537 * time.Microsecond // of every other call
	loadLag                = 200 * time.Millisecond // age of the load that a call returns
	loadSampleInterval     = 50 * time.Millisecond
	loadSampleOffset       = 7310 * time.Microsecond // no two timers of a gate fire at once: their order would differ between runs
	prefillTokensPerSecond = 40_000.0                // without stepOverhead
	memoryTokens           = 1_200_000
	concurrency            = 32
	coldConcurrency        = 4 // admitted by a cold engine; each finished request admits one more
	cacheBlocks            = 512
	cacheEventInterval     = 700 * time.Millisecond // between deliveries of cache events
	cacheEventLossPeriod   = 20                     // one delivery in so many is lost
)

// MaxPrefillTokensPerSecond is the prefill rate of an engine whose steps are all
// full and which decodes nothing.
const MaxPrefillTokensPerSecond = 1 / (1/prefillTokensPerSecond + 0.005/chunkTokens)

// Engine is a simulated endpoint with continuous batching: each step prefills a
// chunk of the waiting prompts, by priority, and decodes one token of each
// request that is past its prefill.
type Engine struct {
	name           string
	ignorePriority bool          // prefills in order of arrival
	wake           chan struct{} // a request has arrived
	samples        []loadSample
	stepTimeFactor float64
	faulty         bool // answers every request with status 500

	mu               sync.Mutex
	boot             int // incremented by each restart
	finished         int // requests since the restart
	work             []*workItem
	cache            blockCache
	Violations       int // attempts that arrived above the admissible number
	Arrivals         int
	PeakColdAttempts int    // most attempts at once before the first one finished
	HitBlocks        uint64 // prefix blocks found in the cache
	RequestedBlocks  uint64 // prefix blocks looked up
}

// workItem is one request at an engine.
type workItem struct {
	id           string
	arrived      time.Time
	priority     int64
	prefillLeft  float64 // prompt tokens not computed yet
	promptTokens uint64
	outputTokens int
	decoded      int // output tokens so far
	blocks       []uint64
	out          *io.PipeWriter
}

// loadSample is the load of an engine at one moment.
type loadSample struct {
	at   time.Time
	load gate.Load
}

func newEngine(name string, ignorePriority bool) *Engine {
	return &Engine{name: name, ignorePriority: ignorePriority, wake: make(chan struct{}, 1), boot: 1, stepTimeFactor: 1, cache: newBlockCache(cacheBlocks)}
}

func (e *Engine) bootID() string { return fmt.Sprintf("%s-%d", e.name, e.boot) }

// admissible is the number of attempts that the engine can run at once. It grows
// by one with each request finished since the restart.
func (e *Engine) admissible() int { return min(coldConcurrency+e.finished, concurrency) }

// Send implements gate.Endpoint. It counts attempts above the admissible number
// and runs them all the same.
func (e *Engine) Send(ctx context.Context, call *gate.Call) (*gate.Response, error) {
	call.OnWritten()
	time.Sleep(callDelay)
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
	w := &workItem{id: call.Attempt, arrived: time.Now(), priority: call.Priority, promptTokens: call.PromptTokens,
		outputTokens: int(call.OutputTokens), blocks: decodeBlocks(call.Body), out: writer}
	cached := e.cache.cachedPrefix(w.blocks)
	e.HitBlocks += uint64(cached)
	e.RequestedBlocks += uint64(len(w.blocks))
	w.prefillLeft = float64(call.PromptTokens) - float64(cached*prompt.BlockTokens)
	e.work = append(e.work, w)
	if e.finished == 0 {
		e.PeakColdAttempts = max(e.PeakColdAttempts, len(e.work))
	}
	e.notify()
	return &gate.Response{Status: http.StatusOK, ContentType: "text/event-stream", BootID: e.bootID(), Body: reader}, nil
}

// notify wakes run without blocking.
func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run computes steps until ctx ends.
func (e *Engine) run(ctx context.Context) {
	for ctx.Err() == nil {
		took, parts := e.planStep()
		if took == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			sleep(ctx, batchWindow)
			continue
		}
		time.Sleep(took)
		e.applyStep(parts)
	}
}

// stepPart is the share of one request in a step; tokens is 0 for a decode.
type stepPart struct {
	work   *workItem
	tokens float64
}

// planStep chooses the requests of the next step and returns how long it takes,
// 0 when the engine is idle.
func (e *Engine) planStep() (time.Duration, []stepPart) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slices.SortFunc(e.work, e.compare)
	spare, streams := float64(chunkTokens), 0
	var parts []stepPart
	for _, w := range e.work {
		if w.prefillLeft <= 0 && w.decoded > 0 {
			streams++
			parts = append(parts, stepPart{w, 0})
		} else if tokens := min(spare, max(w.prefillLeft, 1)); tokens > 0 {
			spare -= tokens
			parts = append(parts, stepPart{w, tokens})
		}
	}
	if len(parts) == 0 {
		return 0, nil
	}
	seconds := (chunkTokens - spare) / prefillTokensPerSecond
	took := stepOverhead + time.Duration(streams)*stepTimePerStream + time.Duration(seconds*float64(time.Second))
	return time.Duration(float64(took) * e.stepTimeFactor), parts
}

// compare orders requests for prefill.
func (e *Engine) compare(a, b *workItem) int {
	if e.ignorePriority {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
	}
	return cmp.Or(-cmp.Compare(a.priority, b.priority), a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
}

// applyStep applies the results of a step. To an answer it writes only the first
// token, the last one and the end marker [DONE]: callers measure nothing but the
// time to the first token and to the end.
func (e *Engine) applyStep(parts []stepPart) {
	type event struct {
		work *workItem
		done bool
	}
	var events []event
	e.mu.Lock()
	for _, p := range parts {
		if !slices.Contains(e.work, p.work) {
			continue // cancelled
		}
		p.work.prefillLeft -= p.tokens
		if p.work.prefillLeft > 0 {
			continue
		}
		p.work.decoded++
		if p.work.decoded == 1 {
			e.cache.store(p.work.blocks)
		}
		done := p.work.decoded >= p.work.outputTokens
		if done {
			e.finished++
			e.work = slices.DeleteFunc(e.work, func(w *workItem) bool { return w == p.work })
		}
		if done || p.work.decoded == 1 {
			events = append(events, event{p.work, done})
		}
	}
	e.mu.Unlock()
	for _, v := range events {
		_, _ = fmt.Fprintf(v.work.out, "id: %d\ndata: t\n\n", v.work.decoded)
		if v.done {
			_, _ = fmt.Fprintf(v.work.out, "id: %d\ndata: [DONE]\n\n", v.work.decoded+1)
			_ = v.work.out.Close()
		}
	}
}

// sampleLoad keeps the samples of the last loadLag, of which Load returns the
// oldest.
func (e *Engine) sampleLoad(ctx context.Context) {
	sleep(ctx, loadSampleOffset)
	for ctx.Err() == nil {
		e.mu.Lock()
		s := loadSample{time.Now(), gate.Load{BootID: e.bootID(), Admissible: e.admissible(), Report: e.loadReport()}}
		e.samples = append(e.samples, s)
		if keep := int(loadLag/loadSampleInterval) + 1; len(e.samples) > keep {
			e.samples = e.samples[len(e.samples)-keep:]
		}
		e.mu.Unlock()
		sleep(ctx, loadSampleInterval)
	}
}

// loadReport describes the present load. e.mu is held.
func (e *Engine) loadReport() *wire.EndpointLoad {
	load := &wire.EndpointLoad{MemoryTokensTotal: memoryTokens, PrefillTokensPerSecond: MaxPrefillTokensPerSecond,
		DecodeMsPerToken: float64(stepOverhead) / float64(time.Millisecond)}
	for _, w := range e.work {
		load.MemoryTokensUsed += w.promptTokens
		if w.prefillLeft > 0 {
			load.QueuedPrefillTokens += uint64(w.prefillLeft)
		}
	}
	return load
}

// Load implements gate.Endpoint. It returns a load that is loadLag old.
func (e *Engine) Load(context.Context) (*gate.Load, error) {
	time.Sleep(loadCallDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.samples) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	s := e.samples[0]
	s.load.Report.AgeMs = uint64(time.Since(s.at).Milliseconds())
	return &s.load, nil
}

// List implements gate.Endpoint.
func (e *Engine) List(context.Context) (*gate.Listing, error) {
	time.Sleep(callDelay)
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
	time.Sleep(callDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.work = slices.DeleteFunc(e.work, func(w *workItem) bool {
		if w.id == id {
			_ = w.out.CloseWithError(io.ErrUnexpectedEOF)
		}
		return w.id == id
	})
	return nil
}

// Resume implements gate.Endpoint. It fails, as no stream breaks here.
func (e *Engine) Resume(context.Context, string, uint64) (*gate.Response, error) {
	return nil, io.ErrUnexpectedEOF
}

// Order implements gate.Endpoint. No orders are issued here.
func (e *Engine) Order(context.Context, gate.OrderCall) (string, error) { return "", nil }

// DeleteBlock implements gate.Endpoint. No blocks are exported here.
func (e *Engine) DeleteBlock(context.Context, string) error { return nil }

// restart drops all work and the cache; the engine is cold afterwards.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.finished, e.PeakColdAttempts = 0, 0
	for _, w := range e.work {
		_ = w.out.CloseWithError(io.ErrUnexpectedEOF)
	}
	e.work, e.samples = nil, nil
	e.cache = newBlockCache(cacheBlocks)
}

// encodeBlocks gives the request body by which an engine learns the prefix
// blocks of a prompt.
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
