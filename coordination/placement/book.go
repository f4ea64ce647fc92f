// Package placement decides which endpoints carry a request. Its book holds the
// work in flight of all entries, from which it predicts the passes of each
// endpoint.
package placement

import (
	"encoding/binary"
	"hash/fnv"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

// arrivalWindow is the span over which arrivals at a cold endpoint are counted.
const arrivalWindow = time.Second

// The bias of predictions follows what is seen in steps, within bounds.
const (
	biasStep  = 0.05
	biasLeast = 0.8
	biasMost  = 3
)

// Scheduler is the ledger of work in flight, of this entry and of the others.
type Scheduler struct {
	now    func() time.Time
	logger *logs.Logger

	mu       sync.Mutex
	accounts map[uint64]*account // by endpoint key
	works    map[enginemodel.WorkID]*work
	settling []*work // own
	sequence uint64
	order    uint64  // seed of this entry's order of endpoints that are alike
	bias     float64 // of the time to the first event over its prediction, lately
	spread   func(*wire.WorkEvent, Scope)
	reported map[string][]uint64 // endpoints in the last report of each data centre that reports sums
	engineOf func(key uint64) *catalogue.Engine
	after    enginemodel.Forecast // scratch
	loads    []candidate          // scratch
	changed  chan struct{}        // closed and replaced when work ends
}

// NewScheduler returns an empty book.
func NewScheduler(now func() time.Time) *Scheduler {
	return &Scheduler{
		now:      now,
		logger:   logs.For("placement"),
		accounts: make(map[uint64]*account),
		works:    make(map[enginemodel.WorkID]*work),
		bias:     1,
		spread:   func(*wire.WorkEvent, Scope) {},
		reported: make(map[string][]uint64),
		engineOf: func(uint64) *catalogue.Engine { return nil },
		changed:  make(chan struct{}),
	}
}

// OnWorkEvent sets the function that tells the other entries of this one's work. It
// must not block.
func (b *Scheduler) OnWorkEvent(f func(*wire.WorkEvent, Scope)) { b.spread = f }

// SetEngineLookup sets the function that finds the engine of an endpoint, nil when
// there is none or it isn't known yet. With it the reading of other entries'
// work is followed before this entry has chosen any endpoint itself.
func (b *Scheduler) SetEngineLookup(f func(key uint64) *catalogue.Engine) { b.engineOf = f }

// SetTieBreakSeed gives this entry its own order of endpoints that are alike, before it
// knows any. Entries that all choose at one moment, as after a restart of all, would
// else choose the same one.
func (b *Scheduler) SetTieBreakSeed(seed uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.order = seed
}

// rank is an endpoint's place in this entry's order.
func (b *Scheduler) rank(key uint64) uint64 {
	hash := fnv.New64a()
	var text [16]byte
	binary.BigEndian.PutUint64(text[:8], b.order)
	binary.BigEndian.PutUint64(text[8:], key)
	_, _ = hash.Write(text[:]) // a hash takes all
	return hash.Sum64()
}

func (b *Scheduler) account(key uint64) *account {
	a := b.accounts[key]
	if a == nil {
		a = &account{rank: b.rank(key)}
		b.accounts[key] = a
	}
	return a
}

// open enters a plan that was just made. The caller holds the lock.
func (b *Scheduler) open(p *Plan, d *Request) *Handle {
	now := b.now()
	b.sequence++
	w := &work{
		id:          enginemodel.WorkID{Number: b.sequence},
		reading:     p.reading,
		held:        p.HeldTokens,
		prompt:      d.PromptTokens,
		output:      d.OutputTokens,
		openedAt:    now,
		firstDue:    now.Add(d.ObjectiveLeft),
		pause:       d.PauseObjective,
		expires:     now.Add(d.TimeLimit),
		credit:      float64(creditMilli(d.Credit)) / creditUnit,
		predictedMs: p.PredictedFirstMs,
		firstAt:     now.Add(enginemodel.FromMs(p.PredictedFirstMs)),
		audience:    audienceOf(p, d.DataCentre),
	}
	for _, e := range p.Endpoints {
		w.endpoints = append(w.endpoints, e.Key)
	}
	b.enter(w)
	if isLong(d) || d.isOverdue() {
		b.settling = append(b.settling, w)
		p.AwaitConflicts = true
	}
	b.spread(w.event(now), w.audience)
	return &Handle{book: b, work: w}
}

// WorkEnded returns a channel that is closed when some work ends.
func (b *Scheduler) WorkEnded() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Stats are counts for the metrics.
type Stats struct {
	Own, Remote int // pieces of work in flight
	BackingOff  int // endpoints that are left alone after a failure
	Bias        float64
}

// Stats counts what the book holds.
func (b *Scheduler) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := Stats{Bias: b.bias}
	for id := range b.works {
		if id.Sender == 0 {
			f.Own++
		} else {
			f.Remote++
		}
	}
	now := b.now()
	for _, a := range b.accounts {
		if now.Before(a.health.restUntil) {
			f.BackingOff++
		}
	}
	return f
}
