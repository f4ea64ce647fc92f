// Package fakeendpoint simulates an endpoint: a model engine or a plain HTTP service. It
// implements the protocol of docs/ENDPOINT.md, enforces its limits and records every
// violation of them.
package fakeendpoint

import "time"

// Config describes one fake endpoint.
type Config struct {
	Name                   string
	Agent                  string // base URL of the agent's announce address; empty for none
	Models                 []string
	Service                string // name of the plain service; empty for a model engine
	MemoryTokens           uint64
	PrefillTokensPerSecond float64
	DecodePerToken         time.Duration // with a single stream
	ServiceTime            time.Duration // per request to a plain service
	Concurrency            int
	ColdConcurrency        int
	ChecksFencing          bool          // refuse orders with a number that is not above the highest seen
	LoadLag                time.Duration // age of the load reports
	WeightLoadTime         time.Duration // for each order that loads weights from the weight store
	Seed                   uint64
}

const (
	announceInterval        = time.Second
	announceRetryInterval   = 100 * time.Millisecond // after a failed announcement
	announceTimeout         = time.Second
	engineTick              = 2 * time.Millisecond
	loadSampleInterval      = 20 * time.Millisecond
	endedRetention          = 5 * time.Second // how long the stream of a finished attempt can be resumed
	decodeSlowdownPerStream = 0.01            // increase of the time per token, as a factor, for each further stream
	prefixCacheShare        = 0.5             // share of the memory that the prefix cache may use
	meanCacheEventDelay     = 200 * time.Millisecond
	cacheEventLossRate      = 0.02 // share of the cache events that are never published
	maxCacheEvents          = 4096
	maxBodyBytes            = 64 << 20 // of a request; reading a longer one fails
	maxCacheEventWait       = 5 * time.Second
)
