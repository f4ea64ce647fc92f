// Package catalogue holds the operator's configuration of a fleet that serves
// routes: routes, services, organisations and limits. A catalogue is built and
// checked as a whole and never modified afterwards.
package catalogue

import (
	"strings"
	"time"
)

// RouteKind says whether a route's requests may run more than once, and whether their
// answers are streams of events.
type RouteKind int

// The kinds of routes.
const (
	AtMostOnce RouteKind = iota // not sent again once an endpoint may have run the request
	Idempotent                  // may be sent again after an endpoint may have run the request
	Stream                      // answered with events; sent again as Idempotent if Route.Resumable is set, otherwise AtMostOnce
)

// Catalogue is one version of the configuration.
type Catalogue struct {
	Version       uint64
	Routes        []Route
	Services      map[string]*Service
	Organisations []Organisation
	// ListsOrganisations is set if the configuration lists its organisations, also while there
	// are none: then nobody holds a key, and requests need one.
	ListsOrganisations bool
	Limits             Limits

	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Organisation
	// priorities holds the different priorities of the requests of each service whose routes
	// differ in priority, by the service's name, sorted. routePriorities holds those of the
	// routes alone.
	priorities                map[string][]Priority
	routePriorities           map[string][]int
	hasOrganisationPriorities bool // some organisation has a priority
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string // begins and ends with a slash
	Kind           RouteKind
	Resumable      bool          // a broken stream may continue at another endpoint; for routes of kind Stream only
	Timeout        time.Duration // time limit of the whole answer
	Objective      time.Duration // time to the answer or, for streams, to the first event
	PauseObjective time.Duration // longest pause between events; 0 for none
	CallerTimeout  time.Duration // silence after which a caller gives up
	Priority       int           // 0 is the most urgent
	MaxEndpoints   int           // that may run one request, if it may run more than once; attempts known not to have run don't count
	Public         bool          // no API key is required
	SharesPrefixes bool          // the requests describe the parts of their prompt; not used yet
	Split          []Share
}

// Share is the weight of one service in a route's traffic split.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name                  string
	HealthPath            string
	MaxConnections        int           // to each endpoint, from all processes together
	ColdStart             time.Duration // how long an endpoint is cold after its start
	ColdRequestsPerSecond float64       // that one cold endpoint can take; 0 for no limit
	Engine                *Engine       // nil for plain services
}

// Engine describes the prefill and decode performance of a service's endpoints.
type Engine struct {
	Slots                      int     // requests that run at once
	MemoryTokens               int     // KV cache of one endpoint
	StepsPerPass               int     // decode steps in one pass
	StepMs                     float64 // one decode step
	StepPerSequenceMs          float64 // added for each sequence of the batch
	StepPerContextMs           float64 // added for each 1,000 tokens of context in the batch
	PrefillTokensPerMs         float64
	AttentionMsPerMillionPairs float64 // of prefill, for each million pairs of a token and an earlier one
	ChunkTokens                int     // longest part of a prompt that one step prefills
	HopMs                      float64 // added to each decode step of an answer whose prompt several endpoints prefilled; not used yet
	MeanPromptTokens           float64
	MeanOutputTokens           float64
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int // overrides that of the route, see PriorityOf; nil for none
}

// Limits bound the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Match returns the route with the longest prefix for a host and path, or nil.
func (c *Catalogue) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// OrganisationByKey returns the organisation that holds an API key, or nil. Nobody holds the
// empty key, which stands for a request without one.
func (c *Catalogue) OrganisationByKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}

// KeysRequired reports whether requests of routes that are not public need an API key.
// They don't if the configuration has no list of organisations.
func (c *Catalogue) KeysRequired() bool { return c.ListsOrganisations || len(c.Organisations) > 0 }
