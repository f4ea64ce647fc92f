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
	Index   uint64 // log index at which it was recorded as it is
}

func quarantinedToWire(all []QuarantinedPart) []*wire.QuarantinedPart {
	var messages []*wire.QuarantinedPart
	for _, q := range all {
		messages = append(messages, &wire.QuarantinedPart{Key: q.Key, Service: q.Service, Id: q.ID, Final: q.Final, Index: q.Index})
	}
	return messages
}

func quarantinedFromWire(messages []*wire.QuarantinedPart) []QuarantinedPart {
	var all []QuarantinedPart
	for _, m := range messages {
		all = append(all, QuarantinedPart{Key: m.Key, Service: m.Service, ID: m.Id, Final: m.Final, Index: m.Index})
	}
	return all
}

// setQuarantine adds a quarantine, makes one final or lifts it. A quarantine beyond
// maxQuarantined is refused; a final one is lifted by an operator only. A lift that was
// decided on a state before the quarantine was recorded changes nothing.
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
	case change.Lift && change.GivenAt != nil && *change.GivenAt < all[at].Index:
		return m.overtaken()
	case change.Lift:
		all = slices.Delete(all, at, at+1)
	case known:
		all[at].Final, all[at].Index = true, index
	case len(all) >= maxQuarantined:
		return fault.New(fault.Overloaded, "the state holds %d quarantines, lift some of them", len(all))
	default:
		all = append(all, QuarantinedPart{Key: change.Key, Service: change.Service, ID: change.Id, Final: change.Final, Index: index})
	}
	next := *now
	next.Index, next.Quarantined = index, all
	m.publish(&next)
	return m.outcome(false)
}
