// Package serve proxies callers' requests to endpoints. For each request it
// matches a route, authenticates the organisation, has the scheduler choose
// endpoints, sends attempts with retries and failover, resumes interrupted
// streams at another endpoint, and writes the answer to the caller.
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
	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

// Request is a caller's request with its whole body.
type Request struct {
	ID               string
	Method           string
	Host             string
	Path             string
	Target           string      // path and query as the caller sent them
	Header           http.Header // sent to the endpoint unchanged
	Body             []byte
	APIKey           string // empty when the caller sent none
	Arrived          time.Time
	TimeLimit        time.Duration // from Arrived to the end of the answer, as the caller set it
	PromptTokens     int
	MaxOutputTokens  int      // 0 when the caller set no limit
	OutputTokensHint int      // the caller's estimate, 0 when unknown
	SharedParts      []string // IDs of the parts of the prompt that other requests may share
	LastEventID      string   // the stream resumes after this event; empty to start at the first one
}

// Attempt is a request as it is sent to one endpoint.
type Attempt struct {
	Request      *Request
	Endpoint     *directory.Endpoint
	Helpers      []Helper // endpoints that prefill parts of the prompt
	Organisation string
	TimeLimit    time.Duration // for the whole answer
	Priority     *int          // in the engine's queue, from 0 (most urgent) to 9; nil for services without an engine
	LastEventID  string        // the last event that the caller has; empty for none
}

// Helper is an endpoint that prefills a part of a prompt for another endpoint.
type Helper struct {
	Address string
	Ticket  string // of the memory reservation at the helper; empty when there is none
}

// Response is an endpoint's response, with a body that is still to be read.
type Response struct {
	Status         int
	Header         http.Header
	Body           io.ReadCloser // the receiver closes it
	Signed         bool          // the header carries the endpoint's signature
	MatchesAttempt bool          // the response header repeats the request's ID
	NotRun         bool          // the response declares that the endpoint has not run the request
	Misdirected    bool          // status 421: another endpoint has this address now
	Encoded        bool          // Content-Encoding is set, which no endpoint does
	RetryAfter     time.Duration // how long to send nothing to the endpoint; 0 when it names no time
	FailedHelper   string        // ID or address of the helper that caused the failure; empty when the endpoint itself did
	RateLimit      RateLimit
	EndsWithClose  bool // the header gives the body no length and no chunks: it ends with the connection
}

// RateLimit is what a response says of the rate limit of its endpoint, which holds for
// the requests of all entries together.
type RateLimit struct {
	Stated    bool
	Invalid   bool    // it was stated in a form that can't be read
	PerSecond float64 // requests a second
}

// Upstream sends attempts to endpoints.
type Upstream interface {
	// Send sends an attempt and returns once the response header has arrived.
	// A *NotSentError means that the endpoint could not be reached and has
	// received nothing.
	Send(ctx context.Context, a *Attempt) (*Response, error)
	// HasEnded reports whether the process of an endpoint has ended, as its host refuses
	// connections. It is false if nothing answers at all.
	HasEnded(ctx context.Context, e *directory.Endpoint) bool
	// Reaches reports whether an endpoint accepts a connection.
	Reaches(ctx context.Context, e *directory.Endpoint) bool
	// Reserve reserves KV cache memory at an endpoint for a prompt that several
	// endpoints prefill, or renews the reservation of that ticket. It expires
	// when ttl has passed since the endpoint received the call.
	Reserve(ctx context.Context, e *directory.Endpoint, ticket string, tokens int, ttl time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, e *directory.Endpoint, ticket string) error
	// Tickets returns the reservations that an endpoint reports, as they were some
	// hundred ms ago.
	Tickets(ctx context.Context, e *directory.Endpoint) ([]Ticket, error)
}

// TicketState says how far a reservation has come.
type TicketState int

// The states of a reservation.
const (
	TicketWaiting TicketState = iota // for memory
	TicketHeld                       // memory is reserved and no request uses it
	TicketUsed                       // a request uses the memory
)

// Ticket is a reservation as an endpoint reports it.
type Ticket struct {
	ID     string
	Tokens int
	State  TicketState
	Age    time.Duration
}

// Permits issues permits for requests to endpoints that have a rate limit or are cold.
type Permits interface {
	// Take takes a permit for one request, which is granted at once if the endpoint has no
	// rate limit. coldPerSecond is the rate that the endpoint accepts because it is cold,
	// in requests a second, infinite if it isn't. If there is no permit, retryAfter is when
	// to ask again.
	Take(ctx context.Context, e *directory.Endpoint, coldPerSecond float64) (granted bool, retryAfter time.Duration)
}

// NotSentError reports that an endpoint could not be reached, so that it has
// received no part of the request.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return "the endpoint could not be reached: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ResponseWriter writes the answer to the caller. A request gets at most one call
// of WriteHeader or WriteError.
type ResponseWriter interface {
	WriteHeader(status int, header http.Header, length int64) // a length of -1 starts a stream of events
	Write(p []byte) error                                     // flushes
	WriteError(err *fault.Error)                              // a whole answer of the entry's own
	Abort()                                                   // closes the connection, so that the caller sees an incomplete answer
	Interrupt()                                               // makes a Write that runs, and later ones, return an error; called by any goroutine
}

// Settings configures a Server. It can be replaced while requests run.
type Settings struct {
	DataCentre       string
	MaxStateAge      time.Duration // since its last confirmation by a quorum; 0 for no limit
	AnnounceInterval time.Duration // between two announcements of an endpoint; 0 when unknown
	RetryRatio       float64       // retries allowed for each request to a service
	RetrySlack       float64       // retries allowed beyond these in one window, for all entries together
	RetryWindow      time.Duration
	EntryCount       func() int // entries that share RetrySlack
	// ReservedUnusedFor bounds how long memory is reserved while no request has used it;
	// 0 for no bound.
	ReservedUnusedFor time.Duration
	// ReleasedWithin bounds how long memory stays reserved after the last request that
	// used it has ended; 0 for no bound.
	ReleasedWithin time.Duration
}

// Server serves callers' requests for one entry.
type Server struct {
	settings      atomic.Pointer[Settings]
	stop          stop
	stateCache    *statecache.Store
	directory     *directory.Directory
	scheduler     *placement.Scheduler
	upstream      Upstream
	permits       Permits
	parts         *quarantine.Guard
	budget        *retryBudget
	startedAt     time.Time
	retries       retrySchedule
	queues        *waitingQueues
	bufferedBytes answerBuffer // of plain answers, of events being read and in the queues of callers, over all requests
	callers       callers
	refusedMemory refusedMemory
	now           func() monotonic.Time // for the reservations
	logger        *logs.Logger
	metrics       *metrics.Registry
}

// NewServer returns a server that publishes its metrics in registry.
func NewServer(settings Settings, stateCache *statecache.Store, dir *directory.Directory, scheduler *placement.Scheduler, upstream Upstream, permits Permits, parts *quarantine.Guard, registry *metrics.Registry) *Server {
	s := &Server{
		stop:       newStop(),
		startedAt:  time.Now(),
		stateCache: stateCache,
		directory:  dir,
		scheduler:  scheduler,
		upstream:   upstream,
		permits:    permits,
		parts:      parts,
		now:        monotonic.Now,
		logger:     logs.For("serve"),
		metrics:    registry,
	}
	s.budget = newRetryBudget(s.settings.Load)
	s.queues = newWaitingQueues(s)
	s.SetSettings(settings)
	registry.AddCollector(s.writeCallerMetrics)
	registry.AddCollector(func(w io.Writer) {
		left := s.budget.remaining()
		for _, service := range slices.Sorted(maps.Keys(left)) {
			fmt.Fprintf(w, "repeats_left{service=%q} %d\n", service, left[service])
		}
		s.queues.writeLengths(w)
	})
	return s
}

// SetSettings replaces the settings, also for requests that are running.
func (s *Server) SetSettings(settings Settings) { s.settings.Store(&settings) }

// StateIsCurrent reports whether a quorum has confirmed the replicated state
// recently enough to act on it. Without a limit on its age (MaxStateAge 0) the state
// is current as soon as it has a catalogue.
func (s *Server) StateIsCurrent() bool {
	maxAge := s.settings.Load().MaxStateAge
	if maxAge == 0 {
		return s.stateCache.State().Catalogue != nil
	}
	return s.stateCache.ConfirmedWithin(maxAge)
}

// Serve serves one request and returns when its answer is written or has failed.
func (s *Server) Serve(ctx context.Context, q *Request, writer ResponseWriter) {
	r := &run{server: s, request: q, writer: writer, out: newCallerQueue(s, writer), tried: make(map[uint64]bool), lastEventID: q.LastEventID}
	untilStop, release := s.stop.bound(ctx, &r.headerWritten)
	defer release()
	err := r.admit(untilStop)
	if err == nil {
		withDeadline, cancel := context.WithDeadline(untilStop, r.deadline)
		err = r.settle(withDeadline, r.runAttempts(withDeadline))
		cancel()
	}
	r.finish(ctx, err)
}
