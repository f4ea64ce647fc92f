package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

const (
	queueEndpoints = engineEndpoints
	queueSlots     = 4
	queueFirstMs   = 40 // until the first event, once an answer has a slot
	queueAnswerMs  = 200
)

// queueBed is a testbed with one engine service, whose routes have the priorities 0 to 2.
// Its endpoints answer one request in each of their slots and let others wait in order of
// arrival.
type queueBed struct {
	*testbed
	slots map[string]chan struct{} // by ID of the endpoint
	held  map[string]chan error    // by ID: answers end when they receive from it; nil to end after queueAnswerMs
	sent  []string                 // IDs of requests in the order of their attempts, with the priority for the engine
}

// The objectives of the routes, by priority.
var queueObjectives = []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}

var queueEngine = &catalogue.Engine{
	Slots: queueSlots, MemoryTokens: 100_000, StepsPerPass: 10, StepMs: 4, PrefillTokensPerMs: 20, ChunkTokens: 500, MeanOutputTokens: 40,
}

// setPriorities puts a catalogue into force in which the routes have these priorities.
func (b *queueBed) setPriorities(t *testing.T, version uint64, engine *catalogue.Engine, priorities ...int) {
	c := &catalogue.Catalogue{Version: version, Services: map[string]*catalogue.Service{"engine": {Name: "engine", Engine: engine}}}
	for i, p := range priorities {
		c.Routes = append(c.Routes, catalogue.Route{
			Name: fmt.Sprint("r", i), Host: "h", PathPrefix: fmt.Sprintf("/r%d/", i), Kind: catalogue.Stream, Resumable: true, MaxEndpoints: 2, Priority: p,
			Timeout: 20 * time.Second, Objective: queueObjectives[i], PauseObjective: 5 * time.Second, CallerTimeout: 20 * time.Second,
			Split: []catalogue.Share{{Service: "engine", Weight: 1}},
		})
	}
	for i := range 4 {
		c.Organisations = append(c.Organisations, catalogue.Organisation{Name: fmt.Sprint("o", i), Keys: []string{fmt.Sprint("key", i)}})
	}
	built, err := catalogue.Build(c)
	if err != nil {
		t.Fatal(err)
	}
	b.stateCache.Update(&catalogue.State{Index: version, Catalogue: built}, "test")
}

func newQueueBed(t *testing.T, engine *catalogue.Engine) *queueBed {
	b := &queueBed{testbed: newEngineTestbed(t), slots: make(map[string]chan struct{})}
	for i := range queueEndpoints {
		b.slots[fmt.Sprint("long", i)] = make(chan struct{}, queueSlots)
	}
	b.setPriorities(t, 2, engine, 0, 1, 2)
	b.server.upstream = b
	return b
}

// Send implements Upstream.
func (b *queueBed) Send(ctx context.Context, a *Attempt) (*Response, error) {
	b.mu.Lock()
	id := a.Request.ID
	if a.Priority != nil {
		id = fmt.Sprint(id, " ", *a.Priority)
	}
	b.sent = append(b.sent, id)
	b.mu.Unlock()
	slots, held := b.slots[a.Endpoint.ID], b.held[a.Endpoint.ID]
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	time.Sleep(queueFirstMs * time.Millisecond)
	reader, writer := io.Pipe()
	go func() {
		defer func() { <-slots }()
		from := 1
		_, _ = fmt.Sscan(a.LastEventID, &from)
		_, _ = io.WriteString(writer, events(from+1, from+3))
		var err error
		if held == nil {
			time.Sleep((queueAnswerMs - queueFirstMs) * time.Millisecond)
		} else {
			err = <-held
		}
		_ = writer.CloseWithError(err)
	}()
	return &Response{Status: 200, Header: http.Header{}, Body: reader, Signed: true, MatchesAttempt: true}, nil
}

// queueRequest returns a request to the route with an index.
func queueRequest(id string, route, organisation int) *Request {
	path := fmt.Sprintf("/r%d/x", route)
	return &Request{
		ID: id, Method: "POST", Host: "h", Path: path, Target: path, Header: http.Header{}, APIKey: fmt.Sprint("key", organisation),
		Arrived: time.Now(), TimeLimit: 5 * time.Second, PromptTokens: 100, MaxOutputTokens: 40,
	}
}

// fill sends requests until no endpoint has capacity. Their answers are held.
func (b *queueBed) fill(t *testing.T, wg *sync.WaitGroup) {
	b.held = make(map[string]chan error)
	for _, e := range b.directory.Endpoints("engine") {
		b.held[e.ID] = make(chan error)
		b.scheduler.RecordSuccess(e.Key) // the scheduler's clock isn't virtual, so they would count as silent
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for i := range 4 * queueEndpoints * queueSlots { // each slot may have two requests waiting for it
		wg.Go(func() { b.server.Serve(ctx, queueRequest(fmt.Sprint("fill", i), 2, 0), &recorder{}) })
	}
	time.Sleep(250 * time.Millisecond) // those that found no capacity are refused
	synctest.Wait()
	b.sent = nil
}

// waitFor sends requests that wait, each to the route with the number in its ID, and
// returns their answers.
func (b *queueBed) waitFor(ctx context.Context, wg *sync.WaitGroup, ids ...string) map[string]*recorder {
	answers := make(map[string]*recorder)
	for _, id := range ids {
		g := &recorder{}
		answers[id] = g
		q := queueRequest(id, int(id[1]-'0'), 1)
		if id == "r1 brief" {
			q.TimeLimit = 30 * time.Millisecond
		}
		wg.Go(func() { b.server.Serve(ctx, q, g) })
		time.Sleep(time.Millisecond)
	}
	synctest.Wait()
	return answers
}

// offeredToAll is how long after the end of work its capacity is offered to all priorities.
const offeredToAll = 25 * time.Millisecond

// endAnswer ends a held answer of an endpoint.
func (b *queueBed) endAnswer(id string) {
	b.held[id] <- nil
	time.Sleep(offeredToAll)
	synctest.Wait()
}

// waiting returns the length of the queue.
func (b *queueBed) waiting() int {
	synctest.Wait()
	return b.server.queues.byService["engine"].length()
}

// inQueueBed runs a test whose endpoints have no capacity.
func inQueueBed(t *testing.T, test func(t *testing.T, b *queueBed, wg *sync.WaitGroup)) {
	bubble.Run(t, func(t *testing.T) {
		b, wg := newQueueBed(t, nil), &sync.WaitGroup{}
		b.fill(t, wg)
		test(t, b, wg)
		for _, held := range b.held {
			close(held)
		}
		wg.Wait()
		if left := len(b.scheduler.OwnEvents()); left != 0 || b.waiting() != 0 {
			t.Errorf("%d work items and %d waiting requests are left", left, b.waiting())
		}
	})
}

// Capacity must go to the request that is first in the order, not to the one that came
// first or comes just now, and by the priorities that the configuration has by then.
func TestWaitingRequestsArePlacedInOrder(t *testing.T) {
	for _, c := range []struct {
		priorities []int // of the catalogue that comes into force while they wait
		want       []string
	}{
		{[]int{0, 1, 2}, []string{"r0", "r1", "r2"}},
		{[]int{1, 2, 0}, []string{"r2", "r0", "r1"}},
	} {
		inQueueBed(t, func(t *testing.T, b *queueBed, wg *sync.WaitGroup) {
			b.waitFor(t.Context(), wg, "r2", "r1", "r0")
			b.setPriorities(t, 3, nil, c.priorities...)
			for range c.want {
				b.endAnswer("long0")
			}
			if !slices.Equal(b.sent, c.want) {
				t.Errorf("placed %v, want %v", b.sent, c.want)
			}
		})
	}
}

// A request that can't get an answer any more must leave the queue at once.
func TestRequestsLeaveTheQueueAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		id     string
		end    func(b *queueBed, cancel context.CancelFunc)
		status int
		stay   int
	}{
		"caller leaves":   {"r1", func(_ *queueBed, cancel context.CancelFunc) { cancel() }, 0, 1},
		"deadline passes": {"r1 brief", func(*queueBed, context.CancelFunc) { time.Sleep(30 * time.Millisecond) }, 503, 1},
		"the entry stops": {"r1", func(b *queueBed, _ context.CancelFunc) { b.server.stop.endNear() }, 503, 0},
	} {
		inQueueBed(t, func(t *testing.T, b *queueBed, wg *sync.WaitGroup) {
			b.waitFor(t.Context(), wg, "r2")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			leaves := b.waitFor(ctx, wg, c.id)[c.id]
			c.end(b, cancel)
			if waiting := b.waiting(); waiting != c.stay || leaves.status != c.status {
				t.Errorf("%s: %d wait, want %d; its status is %d, want %d", name, waiting, c.stay, leaves.status, c.status)
			}
		})
	}
}

// Capacity that was given to a request whose caller leaves before it learns of it must go to
// the next one.
func TestPlanOfALeavingRequestIsDropped(t *testing.T) {
	inQueueBed(t, func(t *testing.T, b *queueBed, wg *sync.WaitGroup) {
		b.waitFor(t.Context(), wg, "r2")
		r := &run{server: b.server, request: queueRequest("r1", 1, 1), tried: map[uint64]bool{}}
		if err := r.admit(t.Context()); err != nil {
			t.Fatal(err)
		}
		turn := r.joinQueue(t.Context(), r.placementDeadline())
		b.endAnswer("long1")
		if turn.plan == nil || len(b.sent) != 0 {
			t.Errorf("the leaving request has the plan %v, sent %v", turn.plan, b.sent)
		}
		turn.leave()
		time.Sleep(offeredToAll)
		synctest.Wait()
		if !slices.Equal(b.sent, []string{"r2"}) {
			t.Errorf("sent %v, want the other request", b.sent)
		}
	})
}

// A broken answer that has begun must get the next capacity before urgent requests that
// have not begun.
func TestBrokenAnswerGoesFirst(t *testing.T) {
	inQueueBed(t, func(t *testing.T, b *queueBed, wg *sync.WaitGroup) {
		b.waitFor(t.Context(), wg, "r0", "r0 again", "r0 once more")
		b.held["long0"] <- errors.New("reset") // nothing is sent to this endpoint for a time
		synctest.Wait()
		for _, id := range []string{"long1", "long2"} {
			b.endAnswer(id)
		}
		if len(b.sent) != 2 || !strings.HasPrefix(b.sent[0], "fill") || b.sent[1] != "r0" {
			t.Errorf("placed %v, want the broken answer and then an urgent request", b.sent)
		}
	})
}

// Without different priorities there must be no queue, and engines must be told the
// priorities that they were told before.
func TestNoQueueWithoutPriorities(t *testing.T) {
	b := newQueueBed(t, queueEngine)
	b.setPriorities(t, 3, queueEngine, 4, 4, 4)
	b.server.Serve(t.Context(), queueRequest("r0", 0, 0), &recorder{})
	if len(b.server.queues.byService) != 0 || !slices.Equal(b.sent, []string{"r0 4"}) {
		t.Errorf("%d queues; sent %v", len(b.server.queues.byService), b.sent)
	}
}
