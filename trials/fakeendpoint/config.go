// Package fakeendpoint is the stand-in for a model engine and for a plain
// service. It keeps the protocol of docs/ENDPOINT.md, enforces its own limits
// and records every breach of them.
package fakeendpoint

import "time"

// Config describes one stand-in.
type Config struct {
	Name                   string
	Agent                  string // base URL of the agent's announce address; empty for none
	Models                 []string
	Service                string // name of the plain service; empty for a model engine
	MemoryTokens           uint64
	PrefillTokensPerSecond float64
	DecodePerToken         time.Duration // per token and stream
	ServiceTime            time.Duration // per request to a plain service
	Concurrency            int
	ColdConcurrency        int
	ChecksFencing          bool
	LoadLag                time.Duration
	WeightLoadTime         time.Duration // time that the weight store takes for one order
	Seed                   uint64
}

const (
	announceInterval   = time.Second
	announceRetry      = 100 * time.Millisecond
	announceTimeout    = time.Second
	tick               = 2 * time.Millisecond
	loadSampleInterval = 20 * time.Millisecond
	keepEnded          = 5 * time.Second // how long an ended attempt can be resumed
	decodeGrowth       = 0.01            // slowdown of decoding for each further stream
	cacheShare         = 0.5             // part of the memory that the prefix cache may use
	cacheEventDelay    = 200 * time.Millisecond
	cacheEventLoss     = 0.02 // part of the cache events that are never published
	keptCacheEvents    = 4096
	maxBodyBytes       = 64 << 20
	maxCacheWait       = 5 * time.Second
)
