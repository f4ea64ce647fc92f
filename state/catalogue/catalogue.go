// Package catalogue holds what the operator configures for a fleet that serves
// routes: routes, services, organisations and limits. A catalogue is built
// whole, checked and then never altered.
package catalogue

import (
	"strings"
	"time"
)

// RouteKind says how often a request of a route may run.
type RouteKind int

// The kinds of routes.
const (
	AtMostOnce RouteKind = iota
	Idempotent
	Stream // at most once unless the route allows to resume
)

// Catalogue is one version of the configuration.
type Catalogue struct {
	Version       uint64
	Routes        []Route
	Services      map[string]*Service
	Organisations []Organisation
	Limits        Limits

	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Organisation
}

// Route binds a host and a path prefix to services.
type Route struct {
	Name           string
	Host           string
	PathPrefix     string // begins and ends with a slash
	Kind           RouteKind
	Resumable      bool          // a stream may go on at another endpoint
	Timeout        time.Duration // longest time to the final answer
	Objective      time.Duration // to the answer, of streams to the first event
	PauseObjective time.Duration // between events; 0 where none is set
	CallerTimeout  time.Duration // silence after which callers leave
	Priority       int           // 0 is the most urgent
	MaxEndpoints   int           // endpoints that one request may be sent to
	Public         bool          // no key is asked for
	SharesPrefixes bool          // requests describe the parts of their prompt
	Split          []Share
}

// Share is one service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of endpoints that can answer the same requests.
type Service struct {
	Name                  string
	HealthPath            string
	MaxConnections        int           // of each endpoint, from all processes together
	ColdStart             time.Duration // after a start
	ColdRequestsPerSecond float64       // requests that a cold endpoint can take; 0 without limit
	Engine                *Engine       // nil for plain services
}

// Engine describes how the endpoints of a service read and write tokens.
type Engine struct {
	Slots                      int     // requests that run at once
	MemoryTokens               int     // of one endpoint
	StepsPerPass               int     // of a pass with writers
	StepMs                     float64 // one token step
	StepPerSequenceMs          float64 // more for each writer
	StepPerContextMs           float64 // more for each 1,000 tokens of a writer's context
	PrefillTokensPerMs         float64
	AttentionMsPerMillionPairs float64 // for each million pairs of a token and an earlier one
	ChunkTokens                int     // read in one step at most
	HopMs                      float64 // each step of an answer read by several endpoints
	MeanPromptTokens           float64 // mean tokens
	MeanOutputTokens           float64 // mean tokens
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority *int // goes before that of the route; nil when none is set
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Match returns the route of a host and path, nil when there is none.
func (c *Catalogue) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// OrganisationByKey returns the holder of a key, nil when nobody holds it.
func (c *Catalogue) OrganisationByKey(key string) *Organisation { return c.byKey[key] }

// KeysRequired reports whether requests of routes that are not public need a key.
func (c *Catalogue) KeysRequired() bool { return len(c.Organisations) > 0 }
