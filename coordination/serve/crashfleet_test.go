package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// The users' rule: of the requests with a part under which crashesToNotice endpoints have
// ended, at most mostSendsAfterwards are sent later than crashGrace after that.
const (
	crashesToNotice     = 5
	crashGrace          = 3 * time.Second
	mostSendsAfterwards = 3
)

// deadlyRequest is the body of a request that ends each endpoint that runs it, whoever
// sends it under whatever attempt ID.
const deadlyRequest = "deadly"

const (
	fleetEndpoints = 20
	fleetLasting   = 20 * time.Second
	requestGap     = 20 * time.Millisecond
	firstEventTime = 250 * time.Millisecond
	eventGap       = 60 * time.Millisecond
	fleetEvents    = 6
	crashNoticed   = 500 * time.Millisecond // until the directory drops the endpoint
	crashReturn    = 2 * time.Second
	callTime       = 6 * time.Millisecond
	eventTime      = 12 * time.Millisecond
)

// crashFleet is a fleet in virtual time whose endpoints end when they begin to write an
// answer on one of the bad parts. All entries share the directory of endpoints.
type crashFleet struct {
	began      time.Time
	directory  *directory.Directory
	stateCache *statecache.Store
	processes  []*wire.ProcessRecord
	guards     map[string]*quarantine.Guard // by address
	servers    []*Server
	bad        []string // parts
	wg         sync.WaitGroup

	mu        sync.Mutex
	born      uint64
	running   map[uint64]chan struct{} // by endpoint key, closed when the endpoint ends
	ids       map[uint64]string        // by endpoint key
	ends      map[string][]time.Time   // of endpoints, by the part
	sends     map[string][]time.Time   // of requests, by the part
	outcomes  map[string]map[int]int   // by kind of request and status
	recovered map[string]map[int]int   // the same for requests after the last end

	wronglyRefused int // sound requests, as if they ended endpoints
}

func newCrashFleet(entries int, bad ...string) *crashFleet {
	f := &crashFleet{
		began: time.Now(), directory: directory.New(), stateCache: statecache.NewStore(), guards: make(map[string]*quarantine.Guard), bad: bad,
		running: make(map[uint64]chan struct{}), ids: make(map[uint64]string), ends: make(map[string][]time.Time), sends: make(map[string][]time.Time),
		outcomes: make(map[string]map[int]int), recovered: make(map[string]map[int]int),
	}
	c, err := catalogue.Build(&catalogue.Catalogue{
		Version: 1, Services: map[string]*catalogue.Service{"s": {Name: "s"}},
		Routes: []catalogue.Route{{
			Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: catalogue.Stream, Resumable: true, MaxEndpoints: 2, Timeout: 10 * time.Second,
			Objective: 500 * time.Millisecond, PauseObjective: 250 * time.Millisecond, CallerTimeout: 5 * time.Second, Split: []catalogue.Share{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		panic(err) // a mistake in the test
	}
	f.stateCache.Update(&catalogue.State{Index: 1, Catalogue: c}, "test")
	for i := range entries {
		f.processes = append(f.processes, &wire.ProcessRecord{Entry: true, Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), DataCentre: "dc1"})
	}
	for _, p := range f.processes {
		f.startEntry(p.Address)
	}
	for range fleetEndpoints {
		f.startEndpoint()
	}
	return f
}

// now is the clock of the trackers.
func (f *crashFleet) now() monotonic.Time { return monotonic.Time(time.Since(f.began)) }

// startEntry starts an entry that knows nothing of parts.
func (f *crashFleet) startEntry(address string) *Server {
	tracker := quarantine.NewTracker(f.now)
	tracker.OnEvents(func(events []*wire.PartEvent) {
		f.after(eventTime, func() {
			for other, g := range f.guards {
				if other != address {
					g.Apply(events)
				}
			}
		})
	})
	guard := quarantine.NewGuard(address, tracker, func() []*wire.ProcessRecord { return f.processes }, leaseCalls{f}, f.now)
	f.guards[address] = guard
	settings := Settings{DataCentre: "dc1", RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second, EntryCount: func() int { return len(f.processes) }}
	scheduler := placement.NewScheduler(time.Now)
	scheduler.SetTieBreakSeed(rand.Uint64())
	server := NewServer(settings, f.stateCache, f.directory, scheduler, f, f, guard, metrics.New())
	f.servers = append(f.servers, server)
	return server
}

func (f *crashFleet) after(wait time.Duration, do func()) {
	f.wg.Go(func() {
		time.Sleep(wait)
		do()
	})
}

func (f *crashFleet) startEndpoint() {
	f.mu.Lock()
	f.born++
	born := f.born
	id := fmt.Sprintf("e%d", born)
	f.running[directory.KeyOf(id, born)] = make(chan struct{})
	f.ids[directory.KeyOf(id, born)] = id
	f.mu.Unlock()
	f.directory.Announce(&wire.EndpointRecord{Id: id, BornMs: born, Sequence: 1, Service: "s", DataCentre: "dc1", Slots: 16, Address: id + ":1"})
}

// leaseCalls carries the calls for leases. It implements quarantine.Calls.
type leaseCalls struct{ fleet *crashFleet }

// Take implements quarantine.Calls.
func (c leaseCalls) Take(_ context.Context, address string, q *wire.TrialRequest) (*wire.TrialResponse, error) {
	time.Sleep(callTime)
	return c.fleet.guards[address].Answer(q), nil
}

// End implements quarantine.Calls.
func (c leaseCalls) End(_ context.Context, address string, q *wire.TrialEnd) error {
	time.Sleep(callTime)
	c.fleet.guards[address].AnswerEnd(q)
	return nil
}

// Take implements Permits and is never asked, as no endpoint is limited.
func (f *crashFleet) Take(context.Context, *directory.Endpoint, float64) (bool, time.Duration) {
	return true, 0
}

// Reaches implements Upstream.
func (f *crashFleet) Reaches(context.Context, *directory.Endpoint) bool { return true }

// HasEnded implements Upstream.
func (f *crashFleet) HasEnded(_ context.Context, e *directory.Endpoint) bool {
	time.Sleep(callTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[e.Key] == nil
}

// Reserve implements Upstream.
func (f *crashFleet) Reserve(context.Context, *directory.Endpoint, string, int, time.Duration) error {
	return nil
}

// Release implements Upstream.
func (f *crashFleet) Release(context.Context, *directory.Endpoint, string) error { return nil }

// Tickets implements Upstream.
func (f *crashFleet) Tickets(context.Context, *directory.Endpoint) ([]Ticket, error) { return nil, nil }

// Send implements Upstream.
func (f *crashFleet) Send(ctx context.Context, a *Attempt) (*Response, error) {
	bad := f.badPart(a.Request)
	f.mu.Lock()
	ended := f.running[a.Endpoint.Key]
	if ended != nil && bad != "" {
		f.sends[bad] = append(f.sends[bad], time.Now())
	}
	f.mu.Unlock()
	if ended == nil {
		return nil, &NotSentError{Cause: errors.New("connection refused")}
	}
	body, writer := io.Pipe()
	f.wg.Go(func() { f.answer(ctx, a, bad, ended, writer) })
	return &Response{Status: 200, Header: http.Header{}, Body: body, Signed: true, MatchesAttempt: true}, nil
}

// badPart returns the bad part of a request's prompt, or deadlyRequest.
func (f *crashFleet) badPart(q *Request) string {
	if string(q.Body) == deadlyRequest {
		return deadlyRequest
	}
	for _, part := range q.SharedParts {
		if slices.Contains(f.bad, part) {
			return part
		}
	}
	return ""
}

// answer writes the events of an answer until it is whole, the endpoint ends or the entry
// gives up. It ends the endpoint if the prompt has a bad part.
func (f *crashFleet) answer(ctx context.Context, a *Attempt, bad string, ended <-chan struct{}, w *io.PipeWriter) {
	for i := range fleetEvents {
		wait := eventGap
		if i == 0 {
			wait = firstEventTime
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ended:
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			return
		case <-ctx.Done():
			_ = w.CloseWithError(ctx.Err())
			return
		}
		if bad != "" {
			f.crash(a.Endpoint.Key, bad)
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1); err != nil {
			return
		}
	}
	_ = w.Close()
}

func (f *crashFleet) crash(key uint64, part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ended := f.running[key]; ended != nil {
		close(ended)
		delete(f.running, key)
		f.ends[part] = append(f.ends[part], time.Now())
		id := f.ids[key]
		f.after(crashNoticed, func() { f.directory.Leave(id, 0) })
		f.after(crashReturn, f.startEndpoint)
	}
}

// request serves one request at an entry.
func (f *crashFleet) request(ctx context.Context, server *Server, kind, id string, parts ...string) {
	g := &recorder{}
	began := time.Now()
	body := []byte(id)
	if kind == deadlyRequest {
		body = []byte(deadlyRequest)
	}
	server.Serve(ctx, &Request{
		Body: body, ID: id, Method: "POST", Host: "h", Path: "/stream/x", Target: "/stream/x", Header: http.Header{}, Arrived: time.Now(), TimeLimit: 8 * time.Second, SharedParts: parts,
	}, g)
	status := g.status
	if g.aborted || status == 200 && strings.Count(g.body.String(), "id: ") != fleetEvents {
		status = -1
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == "sound" && g.fault != nil && g.fault.Kind == fault.PromptQuarantined {
		f.wronglyRefused++
	}
	count := func(outcomes map[string]map[int]int) {
		if outcomes[kind] == nil {
			outcomes[kind] = make(map[int]int)
		}
		outcomes[kind][status]++
	}
	count(f.outcomes)
	if began.Sub(f.began) > 3*crashGrace {
		count(f.recovered)
	}
}

// run sends requests to entries drawn at random: a fifth has a bad part. Sound ones share
// the first part with them, and now and then another part that is rare.
func (f *crashFleet) run(ctx context.Context, random *rand.Rand) {
	for i := 0; time.Since(f.began) < fleetLasting; i++ {
		server := f.servers[random.IntN(len(f.servers))]
		first, other := fmt.Sprintf("first%d", random.IntN(3)), fmt.Sprintf("rare%d", random.IntN(60))
		isBad := i%5 == 0 && time.Since(f.began) > time.Second
		if isBad && len(f.bad) == 0 {
			f.wg.Go(func() { f.request(ctx, server, deadlyRequest, fmt.Sprint("d", i), first) })
		} else if isBad {
			bad := f.bad[random.IntN(len(f.bad))]
			f.wg.Go(func() { f.request(ctx, server, "bad", fmt.Sprint("b", i), first, bad) })
		} else {
			f.wg.Go(func() { f.request(ctx, server, "sound", fmt.Sprint("g", i), first, other) })
		}
		time.Sleep(requestGap)
	}
	f.wg.Wait()
	time.Sleep(time.Second) // for the ends of leases, which nobody waits for
}

// culprits returns the bad parts, or deadlyRequest if there are none.
func (f *crashFleet) culprits() []string {
	if len(f.bad) == 0 {
		return []string{deadlyRequest}
	}
	return f.bad
}

// check checks the users' rule for each part, and that sound requests are served.
func (f *crashFleet) check(t *testing.T, mostEnds int) {
	t.Helper()
	for _, part := range f.culprits() {
		ends, late := f.ends[part], 0
		if len(ends) >= crashesToNotice {
			limit := ends[crashesToNotice-1].Add(crashGrace)
			for _, at := range f.sends[part] {
				if at.After(limit) {
					late++
				}
			}
		}
		t.Logf("%s: %d endpoints ended, %d sends, %d late", part, len(ends), len(f.sends[part]), late)
		if late > mostSendsAfterwards {
			t.Errorf("%s: %d sends later than %v after %d endpoints ended", part, late, crashGrace, crashesToNotice)
		}
		if len(ends) == 0 || len(ends) > mostEnds {
			t.Errorf("%s: %d endpoints ended, want 1 to %d", part, len(ends), mostEnds)
		}
	}
	t.Logf("outcomes %v, later %v", f.outcomes, f.recovered)
	if f.wronglyRefused > 0 {
		t.Errorf("%d sound requests were refused as if they ended endpoints", f.wronglyRefused)
	}
	sound := f.recovered["sound"]
	total := 0
	for _, n := range sound {
		total += n
	}
	if total < 20 || sound[200] < total*9/10 {
		t.Errorf("sound requests by status, after the ends: %v", sound)
	}
}

// Requests with bad parts come to entries of all numbers, no two alike; few endpoints may
// end, and sound requests that share their other parts must be served.
func TestPartThatCrashesEndpointsInFleetsOfAllSizes(t *testing.T) {
	const endsOfOnePart = 5 // the aim of issue 41
	for _, entries := range []int{1, 2, 8, 25, 70, 300} {
		for _, bad := range [][]string{{"bad"}, {"bad", "worse"}} {
			t.Run(fmt.Sprintf("%d entries, %d parts", entries, len(bad)), func(t *testing.T) {
				bubble.Run(t, func(t *testing.T) {
					f := newCrashFleet(entries, bad...)
					f.run(t.Context(), rand.New(rand.NewPCG(uint64(entries), 1)))
					f.check(t, endsOfOnePart)
				})
			})
		}
	}
}

// Guards against one request that, repeated under new attempt IDs at any entries, ends one
// endpoint after the other while all its parts are shared by sound requests.
func TestRepeatedRequestThatCrashesEndpointsIsStopped(t *testing.T) {
	const mostEnds, endsToStop = 5, 3 // the aims of issue 41
	for _, entries := range []int{1, 8, 25, 70} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				f := newCrashFleet(entries)
				f.run(t.Context(), rand.New(rand.NewPCG(uint64(entries), 1)))
				f.check(t, mostEnds)
				late := 0
				if ends := f.ends[deadlyRequest]; len(ends) >= endsToStop {
					for _, at := range f.sends[deadlyRequest] {
						if at.Sub(ends[endsToStop-1]) > crashGrace {
							late++
						}
					}
				}
				if late > 0 {
					t.Errorf("%d sends later than %v after the third end", late, crashGrace)
				}
			})
		})
	}
}
