// Package serve carries one caller's request to endpoints and its answer back:
// route, organisation, placement, attempts, resumption and the final answer.
package serve

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

// Request is a caller's request, read whole.
type Request struct {
	ID               string
	Method           string
	Host             string
	Path             string
	Target           string      // path and query as sent
	Header           http.Header // handed on unchanged
	Body             []byte
	APIKey           string // of the organisation, empty when none was sent
	Arrived          time.Time
	TimeLimit        time.Duration // that the caller still waits
	PromptTokens     int
	MaxOutputTokens  int    // tokens
	OutputTokensHint int    // the caller's estimate of output tokens, 0 when unknown
	LastEventID      string // the stream goes on after this event
}

// Attempt is one sending of a request.
type Attempt struct {
	Request      *Request
	Endpoint     *directory.Endpoint
	Helpers      []Helper // endpoints that read parts of the prompt
	Organisation string
	TimeLimit    time.Duration // that the endpoint may take
	Priority     *int          // among the prompts that wait at an engine, 0 to 9, 0 first; nil elsewhere
	LastEventID  string
}

// Helper is an endpoint that reads a part of a prompt for another one.
type Helper struct {
	Address string
	Ticket  string // of the memory reserved there; empty without one
}

// Response is the beginning of an endpoint's answer.
type Response struct {
	Status         int
	Header         http.Header
	Body           io.ReadCloser // to be closed by the caller
	Signed         bool          // it bears the endpoint's signature
	MatchesAttempt bool          // it answers this very attempt
	NotRun         bool          // the endpoint states that it has not run the request
	Misdirected    bool          // another endpoint has this address
	Encoded        bool          // the body is encoded, so not the endpoint's own
	RetryAfter     time.Duration // nothing may be sent to the endpoint for so long; 0 when it names no time
	FailedHelper   string        // the endpoint whose failure this is, when another one than the sender
}

// Upstream sends attempts to endpoints.
type Upstream interface {
	// Send returns the beginning of the answer. A *NotSent error means that
	// the endpoint took no byte.
	Send(ctx context.Context, a *Attempt) (*Response, error)
	// Reserve sets memory of an endpoint aside for a prompt that is read by
	// several, or renews it. It lasts for the time given, from its arrival.
	Reserve(ctx context.Context, e *directory.Endpoint, ticket string, tokens int, hold time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, e *directory.Endpoint, ticket string) error
}

// NotSentError is the failure to reach an endpoint at all.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return "the endpoint took no byte: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ResponseWriter is the way back to the caller. Exactly one of Refuse or Begin starts it.
type ResponseWriter interface {
	WriteHeader(status int, header http.Header, length int64) // length -1: in events
	Write(p []byte) error                                     // sent at once
	WriteError(err *fault.Error)                              // a final answer of our own
	Abort()                                                   // ends the connection: the answer is not complete
}

// Settings are the bounds of one entry.
type Settings struct {
	DataCentre       string
	MaxStateAge      time.Duration // how long a state may be acted on after its last confirmation; 0 for ever
	AnnounceInterval time.Duration // in which each endpoint announces itself again; 0 when unknown
	RetryRatio       float64       // repeats for each request of a service
	RetrySlack       float64       // repeats beside these, of all entries, in one window
	RetryWindow      time.Duration
	EntryCount       func() int // entries that share the slack
}

// Server serves requests.
type Server struct {
	settings  atomic.Pointer[Settings]
	stopsAt   atomic.Pointer[time.Time] // nil while the entry stays
	current   *statecache.Store
	directory *directory.Directory
	book      *placement.Scheduler
	upstream  Upstream
	budget    *repeatBudget
	startedAt time.Time
	returns   returns
	held      atomic.Int64 // bytes of plain answers that are held
	logger    *logs.Logger
	metrics   *metrics.Registry
}

// NewServer returns a server.
func NewServer(settings Settings, store *statecache.Store, dir *directory.Directory, book *placement.Scheduler, upstream Upstream, registry *metrics.Registry) *Server {
	s := &Server{
		startedAt: time.Now(),
		current:   store,
		directory: dir,
		book:      book,
		upstream:  upstream,
		logger:    logs.For("serve"),
		metrics:   registry,
	}
	s.budget = newRepeatBudget(s.settings.Load)
	s.SetSettings(settings)
	registry.Func(func(w io.Writer) {
		left := s.budget.left()
		for _, service := range slices.Sorted(maps.Keys(left)) {
			fmt.Fprintf(w, "repeats_left{service=%q} %d\n", service, left[service])
		}
	})
	return s
}

// SetSettings puts other settings in force, for requests that run as well.
func (s *Server) SetSettings(settings Settings) { s.settings.Store(&settings) }

// StopAt tells that this entry cuts what still runs at a moment.
func (s *Server) StopAt(at time.Time) { s.stopsAt.Store(&at) }

// StateIsCurrent reports whether the state may be acted on.
func (s *Server) StateIsCurrent() bool {
	currentFor := s.settings.Load().MaxStateAge
	if currentFor == 0 {
		return s.current.State().Catalogue != nil
	}
	return s.current.ConfirmedWithin(currentFor)
}

// Serve brings the request to its final answer.
func (s *Server) Serve(ctx context.Context, q *Request, answer ResponseWriter) {
	r := &run{server: s, request: q, answer: answer, tried: make(map[uint64]bool), lastEvent: q.LastEventID}
	err := r.admit(ctx)
	if err == nil {
		bounded, cancel := context.WithDeadline(ctx, r.limit)
		err = r.attempts(bounded)
		cancel()
	}
	r.finish(ctx, err)
}
