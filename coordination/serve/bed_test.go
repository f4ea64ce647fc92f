package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

// bed is a server before endpoints that answer as a test says.
type bed struct {
	server    *Server
	store     *statecache.Store
	directory *directory.Directory
	book      *placement.Scheduler

	mu      sync.Mutex
	answers []func(ctx context.Context, a *Attempt) (*Response, error) // one for each sending
	sent    []*Attempt
	tickets map[string]int // tokens reserved, by endpoint
	orders  int
	refuses string // this endpoint reserves nothing
}

func newBed(t *testing.T, answers ...func(ctx context.Context, a *Attempt) (*Response, error)) *bed {
	t.Helper()
	b := &bed{store: statecache.NewStore(), directory: directory.New(), book: placement.NewScheduler(time.Now), answers: answers}
	settings := Settings{
		DataCentre: "dc1", MaxStateAge: time.Second, RetryRatio: 0.2, RetrySlack: 20,
		RetryWindow: 10 * time.Second, EntryCount: func() int { return 1 },
	}
	b.server = NewServer(settings, b.store, b.directory, b.book, b, metrics.New())
	c, err := catalogue.Build(&catalogue.Catalogue{
		Version: 1,
		Services: map[string]*catalogue.Service{"s": {Name: "s"}, "engine": {Name: "engine", Engine: &catalogue.Engine{
			Slots: 4, MemoryTokens: 1000, StepsPerPass: 34, StepMs: 1, ReadTokensPerMs: 1, ChunkTokens: 100, UsualAnswer: 10,
		}}},
		Routes: []catalogue.Route{
			route("once", catalogue.AtMostOnce, false, 1),
			route("again", catalogue.Idempotent, false, 2),
			route("stream", catalogue.Stream, true, 2),
			route("stream-once", catalogue.Stream, false, 2),
			{
				Name: "long", Host: "h", Prefix: "/long/", Kind: catalogue.Stream, Resumable: true, MaxEndpoints: 2,
				Timeout: 20 * time.Second, Objective: 10 * time.Second, PauseObjective: 10 * time.Second,
				Patience: 20 * time.Second, Split: []catalogue.Share{{Service: "engine", Weight: 1}},
			},
		},
		Organisations: []catalogue.Organisation{{Name: "boots", Keys: []string{"key"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	b.store.Update(&catalogue.State{Index: 1, Catalogue: c}, "test")
	b.store.Confirm(1, steady.Now())
	for i := range 3 {
		b.directory.Announce(&wire.EndpointRecord{
			Id: fmt.Sprintf("e%d", i), BornMs: 1, Sequence: 1, Service: "s", DataCentre: "dc1", Slots: 4,
			Address: fmt.Sprintf("10.0.0.%d:80", i),
		})
	}
	return b
}

func route(name string, kind catalogue.Repeatability, resumable bool, most int) catalogue.Route {
	return catalogue.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, MaxEndpoints: most,
		Timeout: 2 * time.Second, Objective: 100 * time.Millisecond, PauseObjective: 50 * time.Millisecond,
		Patience: 2 * time.Second, Split: []catalogue.Share{{Service: "s", Weight: 1}},
	}
}

// Send implements Upstream.
func (b *bed) Send(ctx context.Context, a *Attempt) (*Response, error) {
	b.mu.Lock()
	n := len(b.sent)
	b.sent = append(b.sent, a)
	b.mu.Unlock()
	if n >= len(b.answers) {
		return nil, errors.New("one sending too many")
	}
	return b.answers[n](ctx, a)
}

// Reserve implements Upstream.
func (b *bed) Reserve(_ context.Context, e *directory.Endpoint, _ string, tokens int, _ time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders++
	if e.ID == b.refuses {
		return errors.New("no memory")
	}
	if b.tickets == nil {
		b.tickets = make(map[string]int)
	}
	b.tickets[e.ID] = tokens
	return nil
}

// Release implements Upstream.
func (b *bed) Release(_ context.Context, e *directory.Endpoint, _ string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.tickets, e.ID)
	return nil
}

// reserved returns the tokens reserved at all endpoints.
func (b *bed) reserved() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, tokens := range b.tickets {
		total += tokens
	}
	return total
}

func (b *bed) sendings() []*Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent
}

// given is the answer that a caller got.
type given struct {
	status int
	body   strings.Builder
	fault  *fault.Error
	broken bool
	starts int
	writes func() error
}

func (g *given) WriteHeader(code int, _ http.Header, _ int64) { g.status, g.starts = code, g.starts+1 }

func (g *given) Write(p []byte) error {
	g.body.Write(p)
	if g.writes != nil {
		return g.writes()
	}
	return nil
}

func (g *given) WriteError(err *fault.Error) {
	g.status, g.fault, g.starts = err.Kind.Status(), err, g.starts+1
}

func (g *given) Abort() { g.broken = true }

func (b *bed) serve(ctx context.Context, route string) *given {
	g := &given{}
	b.server.Serve(ctx, b.request(route), g)
	return g
}

// request is one for a route.
func (b *bed) request(route string) *Request {
	return &Request{
		ID: "r1", Method: "POST", Host: "h", Path: "/" + route + "/x", Target: "/" + route + "/x",
		Header: http.Header{}, APIKey: "key", Arrived: time.Now(), TimeLimit: 2 * time.Second,
	}
}

func good(body string) func(context.Context, *Attempt) (*Response, error) {
	return func(context.Context, *Attempt) (*Response, error) {
		return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Signed: true, MatchesAttempt: true}, nil
	}
}

// breaking answers with a body that breaks off.
func breaking(body string) func(context.Context, *Attempt) (*Response, error) {
	return func(context.Context, *Attempt) (*Response, error) {
		r := io.MultiReader(strings.NewReader(body), failing{})
		return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(r), Signed: true, MatchesAttempt: true}, nil
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("reset") }

func full(context.Context, *Attempt) (*Response, error) {
	return &Response{Status: 503, Header: http.Header{}, Body: http.NoBody, NotRun: true}, nil
}

func unreachable(context.Context, *Attempt) (*Response, error) {
	return nil, &NotSentError{Cause: errors.New("refused")}
}

func reset(context.Context, *Attempt) (*Response, error) { return nil, errors.New("reset") }

func status(code int, signed bool) func(context.Context, *Attempt) (*Response, error) {
	return func(context.Context, *Attempt) (*Response, error) {
		return &Response{Status: code, Header: http.Header{}, Body: http.NoBody, Signed: signed, MatchesAttempt: true}, nil
	}
}

// silent answers nothing until the sending is given up.
func silent(ctx context.Context, _ *Attempt) (*Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// currentFor sets how long a state may be acted on.
func (b *bed) currentFor(d time.Duration) {
	settings := *b.server.settings.Load()
	settings.MaxStateAge = d
	b.server.SetSettings(settings)
}
