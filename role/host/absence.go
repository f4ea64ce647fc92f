package host

import (
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// absences remembers since when control processes run without a replica, so that a replica
// whose process serves without it counts as silent.
type absences struct {
	now   func() monotonic.Time
	mu    sync.Mutex
	since map[string]monotonic.Time // by address
}

func newAbsences(now func() monotonic.Time) *absences {
	return &absences{now: now, since: make(map[string]monotonic.Time)}
}

// silence returns for how long each linked process, or its replica, was not heard.
func (a *absences) silence(linked map[string]time.Duration, processes []*wire.ProcessRecord) map[string]time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := make(map[string]monotonic.Time)
	for _, p := range processes {
		if p.Votes {
			continue
		}
		began, known := a.since[p.Address]
		if !known {
			began = a.now()
		}
		since[p.Address] = began
		if heard, ok := linked[p.Address]; ok {
			linked[p.Address] = max(heard, a.now().Sub(began))
		}
	}
	a.since = since
	return linked
}
