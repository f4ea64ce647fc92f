package directory

import (
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	// gossipRecentWindow is how long a changed record is part of every gossip round.
	gossipRecentWindow = 10 * time.Second
	// gossipCycleRounds is the number of rounds in which each record that isn't part of
	// every round is sent once.
	gossipCycleRounds = 16
)

// EndpointRecords returns the records of all endpoints, gone ones included.
func (d *Directory) EndpointRecords() []*wire.EndpointRecord {
	return d.selectRecords(func(*Endpoint, monotonic.Time) bool { return true })
}

// GossipRecords returns the records to send in one round of gossip: those that changed
// within gossipRecentWindow or are not ready, and one in gossipCycleRounds of the
// others, selected by key, so that a message grows more slowly than the fleet.
func (d *Directory) GossipRecords(round uint64) []*wire.EndpointRecord {
	return d.selectRecords(func(e *Endpoint, now monotonic.Time) bool {
		return e.Condition != wire.EndpointCondition_ENDPOINT_CONDITION_READY ||
			now.Sub(e.changedAt) < gossipRecentWindow || e.Key%gossipCycleRounds == round%gossipCycleRounds
	})
}

func (d *Directory) selectRecords(wanted func(e *Endpoint, now monotonic.Time) bool) []*wire.EndpointRecord {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	records := make([]*wire.EndpointRecord, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		if wanted(e, now) {
			records = append(records, e.record(now))
		}
	}
	return records
}
