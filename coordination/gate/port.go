package gate

import (
	"context"
	"io"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/fleet"
)

// EndpointInfo is what an endpoint announces about itself.
type EndpointInfo struct {
	Endpoint               string
	Address                string // host:port
	Service                string // empty for a model engine
	Models                 []string
	BootID                 string
	MemoryTokens           uint64
	Concurrency            int
	ColdConcurrency        int // concurrent attempts during cold start
	PrefillTokensPerSecond float64
	DecodeMsPerToken       float64
	ChecksFencing          bool
	Role                   string
}

// Call is one attempt in the form in which it is sent to the endpoint.
type Call struct {
	Attempt      string
	Method       string
	Path         string
	ContentType  string
	Body         []byte
	Priority     int64
	PromptTokens uint64
	OutputTokens uint32
	Fence        uint64
	KvImports    []string     // KV blocks at the endpoint that hold a prefix of the prompt
	BeforeSend   func() error // called immediately before the body is sent; an error aborts the call
	OnWritten    func()       // called once the whole request has been written
}

// Response is the response of the endpoint to a call.
type Response struct {
	Status      int
	ContentType string
	BootID      string
	NotRun      bool          // the endpoint states that it ran nothing
	RetryAfter  time.Duration // 0 when the endpoint gives none
	Body        io.ReadCloser

	EndsWithClose bool // the body has no length and no chunks: it ends with the connection
}

// Listing contains the attempts that an endpoint runs or has queued.
type Listing struct {
	BootID   string
	Attempts []string
	Blocks   []string // KV blocks stored at the endpoint
}

// Load is the load report of the endpoint. It is delayed.
type Load struct {
	BootID     string
	Admissible int // attempts that the endpoint can run at once; 0 when not reported
	Report     *wire.EndpointLoad
}

// OrderCall is one operator order in the form in which it is sent to the
// endpoint.
type OrderCall struct {
	Number   uint64
	Fence    uint64
	Kind     wire.OrderKind
	Argument string
}

// Endpoint is the interface through which a gate reaches its endpoint. Send
// returns an error that wraps ErrNotSent when the request is known not to have
// reached the endpoint.
type Endpoint interface {
	Send(ctx context.Context, call *Call) (*Response, error)
	Resume(ctx context.Context, attempt string, from uint64) (*Response, error)
	Cancel(ctx context.Context, attempt string) error
	List(ctx context.Context) (*Listing, error)
	Load(ctx context.Context) (*Load, error)
	Order(ctx context.Context, call OrderCall) (string, error)
	DeleteBlock(ctx context.Context, block string) error
}

// Configuration provides the fleet configuration. Current returns an error when
// the configuration is no longer known to be current.
type Configuration interface {
	Current() (*fleet.View, error)
	Revision() uint64
}
