package rendezvous

import (
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

const (
	// unreachableWait is the time for which an entry that did not answer isn't asked
	// again. It doubles with each failure up to maxUnreachableWait.
	unreachableWait    = time.Second
	maxUnreachableWait = 8 * time.Second
)

// Outages knows which entries did not answer lately. It is safe for concurrent use.
type Outages struct {
	self   string
	now    func() monotonic.Time
	logger *logs.Logger

	mu          sync.Mutex
	unreachable map[string]outage // by address
}

// outage describes an entry that did not answer.
type outage struct {
	failures int // consecutive
	until    monotonic.Time
}

// NewOutages returns outages without an entry, for the process at the address self.
func NewOutages(self string, now func() monotonic.Time, logger *logs.Logger) *Outages {
	return &Outages{self: self, now: now, logger: logger, unreachable: make(map[string]outage)}
}

// MayAsk reports whether an entry is not known to be unreachable. This process is always
// reachable.
func (o *Outages) MayAsk(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return address == o.self || o.unreachable[address].until <= o.now()
}

// Any reports whether an entry has not answered since it was last asked.
func (o *Outages) Any() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.unreachable) > 0
}

// RecordFailure records that an entry did not answer. Calls that were made before it
// counted as unreachable count as one failure.
func (o *Outages) RecordFailure(address string, err error) {
	o.mu.Lock()
	known, now := o.unreachable[address], o.now()
	if known.until > now {
		o.mu.Unlock()
		return
	}
	wait := min(unreachableWait<<min(known.failures, 8), maxUnreachableWait)
	o.unreachable[address] = outage{failures: known.failures + 1, until: now.Add(wait)}
	o.mu.Unlock()
	o.logger.RateLimitedWarn(address).Str("asked", address).Int("failures", known.failures+1).Dur("wait", wait).Err(err).
		Msg("An entry did not answer; the next one in the order is asked.")
}

// RecordAnswer records that an entry answers.
func (o *Outages) RecordAnswer(address string) {
	o.mu.Lock()
	known, failed := o.unreachable[address]
	delete(o.unreachable, address)
	o.mu.Unlock()
	if failed {
		o.logger.Info().Str("asked", address).Int("failures", known.failures).Msg("An entry answers again.")
	}
}
