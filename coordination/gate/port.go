package gate

import (
	"context"
	"io"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/fleet"
)

// EndpointInfo is what an endpoint announces of itself.
type EndpointInfo struct {
	Endpoint               string
	Address                string // host:port
	Service                string // empty for a model engine
	Models                 []string
	BootID                 string
	MemoryTokens           uint64
	Concurrency            int
	ColdConcurrency        int     // attempts carried at once in cold start
	PrefillTokensPerSecond float64 // tokens per second
	DecodeMsPerToken       float64 // per token
	ChecksFencing          bool
	Role                   string
}

// Call is one attempt as it is sent to the endpoint.
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
	KvImports    []string     // blocks at the endpoint that are the prompt's prefix
	BeforeSend   func() error // asked right before the body leaves; an error stops the call
	OnWritten    func()       // called once the whole request has been written
}

// Response is the endpoint's answer to a call.
type Response struct {
	Status      int
	ContentType string
	BootID      string
	NotRun      bool          // the endpoint says that nothing ran
	RetryAfter  time.Duration // 0 when not given
	Body        io.ReadCloser
}

// Listing is the attempts that an endpoint runs or holds waiting.
type Listing struct {
	BootID   string
	Attempts []string
	Blocks   []string // KV blocks kept there
}

// Load is the endpoint's own load report. It lags.
type Load struct {
	BootID     string
	Admissible int // attempts that it can carry at once, 0 when not told
	Report     *wire.EndpointLoad
}

// OrderCall is one order as it is sent to the endpoint.
type OrderCall struct {
	Number   uint64
	Fence    uint64
	Kind     wire.OrderKind
	Argument string
}

// Endpoint is what a gate asks of its endpoint. Send returns ErrNotSent (by
// errors.Is) when the request provably never left.
type Endpoint interface {
	Send(ctx context.Context, call *Call) (*Response, error)
	Resume(ctx context.Context, attempt string, from uint64) (*Response, error)
	Cancel(ctx context.Context, attempt string) error
	List(ctx context.Context) (*Listing, error)
	Load(ctx context.Context) (*Load, error)
	Order(ctx context.Context, call OrderCall) (string, error)
	DeleteBlock(ctx context.Context, block string) error
}

// Configuration is the fleet configuration with its freshness lease.
type Configuration interface {
	Current() (*fleet.View, error)
	Revision() uint64
}
