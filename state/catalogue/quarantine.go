package catalogue

import (
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	// maxQuarantined bounds the quarantines in the state.
	maxQuarantined = 1024
	// maxQuarantinedParts bounds the parts of one quarantine.
	maxQuarantinedParts = 256
)

// QuarantinedParts are parts of prompts that end the endpoints of a service when they are in
// one prompt together.
type QuarantinedParts struct {
	Keys    []uint64 // sorted; of the service and the part's ID
	Service string
	IDs     []string // in the order of the keys, shortened; empty where unknown
}

func quarantinedToWire(all []QuarantinedParts) []*wire.QuarantinedParts {
	var messages []*wire.QuarantinedParts
	for _, q := range all {
		messages = append(messages, &wire.QuarantinedParts{Keys: q.Keys, Service: q.Service, Ids: q.IDs})
	}
	return messages
}

func quarantinedFromWire(messages []*wire.QuarantinedParts) []QuarantinedParts {
	var all []QuarantinedParts
	for _, m := range messages {
		all = append(all, QuarantinedParts{Keys: m.Keys, Service: m.Service, IDs: m.Ids})
	}
	return all
}

// setQuarantine adds a quarantine, or lifts all that hold one of the keys. A quarantine
// beyond maxQuarantined is refused.
func (m *Machine) setQuarantine(index uint64, change *wire.QuarantineChange) any {
	now := m.State()
	next := *now
	next.Index = index
	if change.Lift {
		next.Quarantined = slices.DeleteFunc(slices.Clone(now.Quarantined), func(q QuarantinedParts) bool {
			return slices.ContainsFunc(change.Keys, func(key uint64) bool { return slices.Contains(q.Keys, key) })
		})
		if len(next.Quarantined) == len(now.Quarantined) {
			return m.outcome(false)
		}
		m.publish(&next)
		return m.outcome(false)
	}
	if len(change.Keys) == 0 || len(change.Keys) > maxQuarantinedParts {
		return fault.New(fault.InvalidRequest, "a quarantine of %d parts", len(change.Keys))
	}
	if slices.ContainsFunc(now.Quarantined, func(q QuarantinedParts) bool { return slices.Equal(q.Keys, change.Keys) }) {
		return m.outcome(false)
	}
	if len(now.Quarantined) >= maxQuarantined {
		return fault.New(fault.Overloaded, "the state holds %d quarantines, lift some of them", len(now.Quarantined))
	}
	next.Quarantined = append(slices.Clone(now.Quarantined), QuarantinedParts{Keys: change.Keys, Service: change.Service, IDs: change.Ids})
	m.publish(&next)
	return m.outcome(false)
}
