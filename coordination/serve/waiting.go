package serve

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admissionqueue"
	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// waitingQueues holds the queue of each service whose routes differ in priority. There are
// as many as such services were in a catalogue since the start.
type waitingQueues struct {
	server *Server

	mu        sync.Mutex
	byService map[string]*waitingQueue
}

func newWaitingQueues(s *Server) *waitingQueues {
	return &waitingQueues{server: s, byService: make(map[string]*waitingQueue)}
}

// of returns the queue of a service, nil if its requests are placed without one.
func (w *waitingQueues) of(c *catalogue.Catalogue, service string) *waitingQueue {
	if w == nil || !c.HasPriorities(service) {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.byService[service]
	if q == nil {
		q = &waitingQueue{server: w.server, queue: admissionqueue.New(), turns: make(map[*admissionqueue.Waiter]*turn)}
		w.byService[service] = q
	}
	return q
}

// existing returns the queue of a service, nil while no request has joined one.
func (w *waitingQueues) existing(service string) *waitingQueue {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.byService[service]
}

func (w *waitingQueues) writeLengths(out io.Writer) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(w.byService)) {
		fmt.Fprintf(out, "serve_queue_length{service=%q} %d\n", service, w.byService[service].length())
	}
}

// waitingQueue lets the requests of one service that wait for a plan try placement in the
// order of the admission queue. The goroutine of whichever request wakes first tries for
// all of them.
type waitingQueue struct {
	server *Server

	mu       sync.Mutex
	queue    *admissionqueue.Queue
	turns    map[*admissionqueue.Waiter]*turn
	change   uint64          // counts the ends of work that a round has seen
	workEnds <-chan struct{} // from the scheduler, as the last round saw it
	version  uint64          // of the catalogue whose priorities the waiting requests have
	shedLog  shedLog
}

func (q *waitingQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Len()
}

// preview returns the place that a request would have if it joined, how many requests wait,
// and whether it would be tried now.
func (q *waitingQueue) preview(r *run) (place, waiting int, tried bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	change := q.change
	if q.server.scheduler.WorkEnded() != q.workEnds {
		change++
	}
	place, tried = q.queue.Preview(*r.newWaiter(r.placementDeadline()), time.Now(), change)
	return place, q.queue.Len(), tried
}

// turn is the place of one request in a waitingQueue. While it is registered, the request's
// own goroutine writes no field of the run that placement reads. The methods allow nil, for
// a request that is placed without a queue.
type turn struct {
	queue *waitingQueue
	run   *run
	ctx   context.Context // of the request; a round passes over one that has ended
	wake  chan struct{}   // receives when a decision was made by another goroutine

	// The queue's lock guards these fields.
	waiter     *admissionqueue.Waiter
	registered bool
	plan       *placement.Plan // chosen, not taken yet
	unsent     bool            // a plan was chosen, and nothing was sent by it yet
	refusal    *admissionqueue.Refusal
}

// joinQueue registers the request in the queue of its service. It returns nil if the
// service has none.
func (r *run) joinQueue(ctx context.Context, until time.Time) *turn {
	r.updatePriorities()
	return r.join(ctx, r.newWaiter(until))
}

// tryPlace returns a plan for another attempt beside one that runs, nil when no endpoint has
// capacity now, the state is not current, or requests that are ahead in the queue take it.
func (r *run) tryPlace() *placement.Plan {
	r.updatePriorities()
	w := r.newWaiter(r.deadline)
	w.Failover = true
	t := r.join(context.Background(), w)
	defer t.leave()
	return r.placeInTurn(t)
}

func (r *run) join(ctx context.Context, w *admissionqueue.Waiter) *turn {
	c := r.server.stateCache.State().Catalogue
	q := r.server.queues.of(c, r.service.Name)
	if q == nil {
		return nil
	}
	t := &turn{queue: q, run: r, ctx: ctx, wake: make(chan struct{}, 1), waiter: w}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.register(t)
	q.queue.Join(t.waiter, time.Now())
	return t
}

// newWaiter describes the request to the queue.
func (r *run) newWaiter(until time.Time) *admissionqueue.Waiter {
	now := time.Now()
	return &admissionqueue.Waiter{
		Priority: r.fullPriority, Organisation: r.organisation, Begun: r.headerWritten.Load(),
		Joined: now, Due: now.Add(r.objectiveLeft()), Until: until, Cost: r.predictedWork(),
	}
}

// predictedWork returns the time that the prefill of the request and its part of a full
// batch take an engine, in ms. It is 1 for a plain service.
func (r *run) predictedWork() float64 {
	engine := r.service.Engine
	if engine == nil {
		return 1
	}
	decodeMs := enginemodel.AnswerMs(engine, expectedOutputTokens(r.request, engine)) / float64(max(1, engine.Slots))
	return enginemodel.PrefillMs(engine, r.request.PromptTokens, 1) + decodeMs
}

func (q *waitingQueue) register(t *turn) {
	q.turns[t.waiter], t.registered = t, true
}

func (q *waitingQueue) unregister(t *turn) {
	delete(q.turns, t.waiter)
	t.registered = false
}

// take returns the plan of the request, if it is its turn. A request whose last plan was
// dropped registers again.
func (t *turn) take() *placement.Plan {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if !t.registered && t.plan == nil && t.refusal == nil {
		q.register(t)
		q.queue.Return(t.waiter, time.Now())
		t.unsent = false
	}
	if t.plan == nil && t.refusal == nil {
		q.round()
	}
	plan := t.plan
	t.plan = nil
	return plan
}

// refuse takes the request, which may wait no longer, out of the queue, so that it gets no
// plan after this. It returns false if it has been given one meanwhile, which take returns.
func (t *turn) refuse() bool {
	if t == nil {
		return true
	}
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	if t.plan != nil {
		return false
	}
	t.queue.queue.Leave(t.waiter)
	t.queue.unregister(t)
	return true
}

// markSent records that the plan that was taken is being sent.
func (t *turn) markSent() {
	if t == nil {
		return
	}
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.unsent = false
}

// round tries placement for all requests that are due, in their order, and sheds those that
// can't be served in time. The caller holds the lock.
func (q *waitingQueue) round() {
	now := time.Now()
	if workEnds := q.server.scheduler.WorkEnded(); workEnds != q.workEnds {
		q.workEnds = workEnds
		q.change++
	}
	q.applyPriorities()
	q.queue.SetAlone(q.server.settings.Load().EntryCount() == 1)
	tried := false
	for w := q.queue.Next(now, q.change); w != nil; w = q.queue.Next(now, q.change) {
		t := q.turns[w]
		tried = true
		if !t.mayBePlaced() {
			q.queue.Skip(w, now, q.change)
			continue
		}
		plan := t.run.choosePlan()
		if plan == nil {
			q.queue.DidNotFit(w, now, q.change)
			continue
		}
		q.queue.Placed(w, now)
		t.plan, t.unsent = plan, true
		q.unregister(t)
		t.notify()
	}
	if tried {
		q.refuseLate(now)
	}
}

// mayBePlaced reports whether the request has not ended, nor is about to be ended by the
// stop of this entry. What it was sent then would be cut.
func (t *turn) mayBePlaced() bool {
	return t.ctx.Err() == nil && (t.waiter.Begun || !t.queue.server.stop.isNear())
}

// applyPriorities gives the waiting requests the priorities of a new catalogue.
func (q *waitingQueue) applyPriorities() {
	c := q.server.stateCache.State().Catalogue
	if c == nil || c.Version == q.version {
		return
	}
	q.version = c.Version
	for w, t := range q.turns {
		w.Priority = t.run.prioritiesIn(c)
	}
	q.queue.Reorder()
}

// prioritiesIn returns the priorities of the request by a newer catalogue, those that it
// has if that has no such route.
func (r *run) prioritiesIn(c *catalogue.Catalogue) catalogue.Priority {
	route := c.Match(hostOnly(r.request.Host), r.request.Path)
	if route == nil {
		return r.fullPriority
	}
	var o *catalogue.Organisation
	if !route.Public && c.KeysRequired() {
		o = c.OrganisationByKey(r.request.APIKey)
	}
	return catalogue.PriorityOf(o, route)
}

// notify wakes the request after a decision about it.
func (t *turn) notify() {
	select {
	case t.wake <- struct{}{}:
	default: // it has yet to notice an earlier decision
	}
}

// decided returns the channel that receives when another request's round has decided about
// this one.
func (t *turn) decided() <-chan struct{} {
	if t == nil {
		return nil
	}
	return t.wake
}

// pause returns how long to wait at most until the next round.
func (t *turn) pause() time.Duration {
	if t == nil {
		return capacityPollInterval
	}
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	return t.queue.queue.Pause(time.Now())
}

// hasBegun reports whether the answer of a request in a queue has begun. Such a request is
// placed first, also if it is overdue.
func (t *turn) hasBegun() bool { return t != nil && t.waiter.Begun }

// leave takes the request out of the queue, drops a plan that it has not taken, and takes a
// plan that isn't sent out of the sums. If the priorities have changed meanwhile, the request
// gets the new ones.
func (t *turn) leave() {
	if t == nil {
		return
	}
	t.queue.mu.Lock()
	t.queue.queue.Leave(t.waiter)
	t.queue.unregister(t)
	if t.unsent {
		t.queue.queue.Withdraw(t.waiter, time.Now())
	}
	plan := t.plan
	t.plan = nil
	t.queue.mu.Unlock()
	if plan != nil {
		plan.Handle.Close()
	}
	t.run.updatePriorities()
	if !t.waiter.Failover {
		t.run.measureQueue(time.Since(t.waiter.Joined))
	}
}
