package replica

import (
	"sync"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// founding keeps two replicas that learn of each other at different times from
// founding a group each: one that has asked is asked back before this one
// founds, and one that asks after that hears of a group.
type founding struct {
	mu      sync.Mutex
	decided bool
	rivals  map[string]string // identities of those that asked, by address
}

// answer notes the caller of an inquiry and reports whether this replica founds
// a group.
func (f *founding) answer(q *wire.JoinRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if q.InquireOnly && q.Address != "" && !f.decided {
		if f.rivals == nil {
			f.rivals = make(map[string]string)
		}
		f.rivals[q.Address] = q.Id
	}
	return f.decided
}

// addresses lists those that asked.
func (f *founding) addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address := range f.rivals {
		addresses = append(addresses, address)
	}
	return addresses
}

// decide reports whether this replica may found the group, as no caller with a
// lower identity has come that was not asked back.
func (f *founding) decide(id string, asked map[string]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, rival := range f.rivals {
		if rival < id && !asked[address] {
			return false
		}
	}
	f.decided = true
	return true
}
