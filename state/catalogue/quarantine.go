package catalogue

import (
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// maxQuarantined bounds the quarantines in the state.
const maxQuarantined = 1024

// QuarantinedPart is a part of prompts under which endpoints of a service ended.
type QuarantinedPart struct {
	Key     uint64 // of the service and the part's ID
	Service string // empty where unknown
	ID      string // shortened; empty where unknown
	Final   bool   // no request with the part is sent as a trial
}

func quarantinedToWire(all []QuarantinedPart) []*wire.QuarantinedPart {
	var messages []*wire.QuarantinedPart
	for _, q := range all {
		messages = append(messages, &wire.QuarantinedPart{Key: q.Key, Service: q.Service, Id: q.ID, Final: q.Final})
	}
	return messages
}

func quarantinedFromWire(messages []*wire.QuarantinedPart) []QuarantinedPart {
	var all []QuarantinedPart
	for _, m := range messages {
		all = append(all, QuarantinedPart{Key: m.Key, Service: m.Service, ID: m.Id, Final: m.Final})
	}
	return all
}

// setQuarantine adds a quarantine, makes one final or lifts it. A quarantine beyond
// maxQuarantined is refused; a final one is lifted by an operator only.
func (m *Machine) setQuarantine(index uint64, change *wire.QuarantineChange) any {
	now := m.State()
	at := slices.IndexFunc(now.Quarantined, func(q QuarantinedPart) bool { return q.Key == change.Key })
	known := at >= 0
	all := slices.Clone(now.Quarantined)
	switch {
	case change.Lift && !known, !change.Lift && known && (all[at].Final || !change.Final):
		return m.outcome(false)
	case change.Lift && all[at].Final && !change.ByOperator:
		return m.outcome(false)
	case change.Lift:
		all = slices.Delete(all, at, at+1)
	case known:
		all[at].Final = true
	case len(all) >= maxQuarantined:
		return fault.New(fault.Overloaded, "the state holds %d quarantines, lift some of them", len(all))
	default:
		all = append(all, QuarantinedPart{Key: change.Key, Service: change.Service, ID: change.Id, Final: change.Final})
	}
	next := *now
	next.Index, next.Quarantined = index, all
	m.publish(&next)
	return m.outcome(false)
}
