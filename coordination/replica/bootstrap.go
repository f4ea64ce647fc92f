package replica

import (
	"sync"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// bootstrapGuard prevents two replicas that discover each other at different
// times from creating one group each: a replica with a lower ID that has sent an
// inquiry must answer one itself before this replica creates a group, and a
// replica that inquires later is told that there is a group.
type bootstrapGuard struct {
	mu        sync.Mutex
	decided   bool
	inquirers map[string]string // replica IDs of the callers, by address
}

// recordInquiry records the caller of an inquiry and reports whether this replica
// has decided to create a group.
func (g *bootstrapGuard) recordInquiry(q *wire.JoinRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if q.InquireOnly && q.Address != "" && !g.decided {
		if g.inquirers == nil {
			g.inquirers = make(map[string]string)
		}
		g.inquirers[q.Address] = q.Id
	}
	return g.decided
}

// addresses returns the addresses of the replicas that have inquired.
func (g *bootstrapGuard) addresses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for address := range g.inquirers {
		addresses = append(addresses, address)
	}
	return addresses
}

// decide reports whether this replica may create the group, and records that it
// does. It may not if a replica with a lower ID has inquired whose address is
// not in answered.
func (g *bootstrapGuard) decide(id string, answered map[string]bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, inquirerID := range g.inquirers {
		if inquirerID < id && !answered[address] {
			return false
		}
	}
	g.decided = true
	return true
}
