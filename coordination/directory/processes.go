package directory

import (
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// goneProcessRetention is how long the record of a gone process is kept, counted from
// when it was stored here, so that a late record can't bring the process back.
const goneProcessRetention = 5 * time.Minute

// process is the newest record of the process at one address.
type process struct {
	record   *wire.ProcessRecord
	storedAt monotonic.Time
}

// MergeProcesses merges records of processes and returns those that replaced an older
// record or were new.
func (d *Directory) MergeProcesses(records []*wire.ProcessRecord) []*wire.ProcessRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var accepted []*wire.ProcessRecord
	for _, r := range records {
		old := d.processes[r.Address]
		if r.Address == "" || old == nil && r.Gone || old != nil && !supersedes(r, old.record) {
			continue
		}
		d.putProcess(r)
		accepted = append(accepted, r)
	}
	return accepted
}

// supersedes reports whether r is newer than old, a record of the same address: by the
// incarnation, and within one by the revision.
func supersedes(r, old *wire.ProcessRecord) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Revision > old.Revision
}

// putProcess stores a record. The caller holds the lock.
func (d *Directory) putProcess(r *wire.ProcessRecord) {
	d.processes[r.Address] = &process{record: r, storedAt: d.now()}
	line := d.logger.Info().Str("process", r.Name).Str("address", r.Address).Str("data_centre", r.DataCentre).
		Uint64("incarnation", r.Incarnation).Uint32("revision", r.Revision).Bool("votes", r.Votes)
	if r.Gone {
		line.Msg("A silent process was marked as gone.")
		return
	}
	line.Msg("A process was added or has changed.")
}

// MarkGone marks a process as gone after a long silence. It returns the new record,
// nil when the incarnation is not the known one or is marked already.
func (d *Directory) MarkGone(address string, incarnation uint64) *wire.ProcessRecord {
	return d.setGone(address, incarnation, true)
}

// Revive marks a process as running that was marked as gone and then heard from. It
// returns the new record, nil when it was not marked as gone.
func (d *Directory) Revive(address string, incarnation uint64) *wire.ProcessRecord {
	return d.setGone(address, incarnation, false)
}

func (d *Directory) setGone(address string, incarnation uint64, gone bool) *wire.ProcessRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.processes[address]
	if p == nil || p.record.Incarnation != incarnation || p.record.Gone == gone {
		return nil
	}
	r := proto.CloneOf(p.record)
	r.Gone = gone
	r.Revision++
	d.putProcess(r)
	return r
}

// Processes returns the records of the processes that are not gone.
func (d *Directory) Processes() []*wire.ProcessRecord {
	return d.listProcesses(false)
}

// ProcessRecords returns the records of all processes, gone ones included, for others
// to merge.
func (d *Directory) ProcessRecords() []*wire.ProcessRecord {
	return d.listProcesses(true)
}

// listProcesses returns the records, gone ones only if withGone is set. It also deletes
// the expired records of gone processes, which happens nowhere else.
func (d *Directory) listProcesses(withGone bool) []*wire.ProcessRecord {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	records := make([]*wire.ProcessRecord, 0, len(d.processes))
	for address, p := range d.processes {
		switch {
		case p.record.Gone && now.Sub(p.storedAt) > goneProcessRetention:
			delete(d.processes, address)
		case !p.record.Gone || withGone:
			records = append(records, p.record)
		}
	}
	return records
}
