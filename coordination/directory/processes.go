package directory

import (
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// goneProcessKept is how long a process that is gone stays known, so that a late
// record can't bring it back.
const goneProcessKept = 5 * time.Minute

// process is the newest record of the process at one address.
type process struct {
	record *wire.ProcessRecord
	goneAt steady.Time // when the record said so first
}

// MergeProcesses takes records of processes and returns those that are news.
func (d *Directory) MergeProcesses(records []*wire.ProcessRecord) []*wire.ProcessRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var news []*wire.ProcessRecord
	for _, r := range records {
		old := d.processes[r.Address]
		if r.Address == "" || old == nil && r.Gone || old != nil && !supersedes(r, old.record) {
			continue
		}
		d.put(r)
		news = append(news, r)
	}
	return news
}

// supersedes reports whether a record is newer than another one of the same address.
func supersedes(r, old *wire.ProcessRecord) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Revision > old.Revision
}

// put stores a record. The caller holds the lock.
func (d *Directory) put(r *wire.ProcessRecord) {
	d.processes[r.Address] = &process{record: r, goneAt: steady.Now()}
	line := d.logger.Info().Str("process", r.Name).Str("address", r.Address).Str("data_centre", r.DataCentre).
		Uint64("incarnation", r.Incarnation).Uint32("revision", r.Revision).Bool("votes", r.Votes)
	if r.Gone {
		line.Msg("A process that was silent counts as gone.")
		return
	}
	line.Msg("A process is known anew.")
}

// MarkGone marks a process that was silent for long as gone. It returns the record
// that tells so, nil when another incarnation or none is known.
func (d *Directory) MarkGone(address string, incarnation uint64) *wire.ProcessRecord {
	return d.revise(address, incarnation, true)
}

// Revive takes back that a process is gone, as it was just heard. It returns the
// record that tells so, nil when it did not count as gone.
func (d *Directory) Revive(address string, incarnation uint64) *wire.ProcessRecord {
	return d.revise(address, incarnation, false)
}

func (d *Directory) revise(address string, incarnation uint64, gone bool) *wire.ProcessRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.processes[address]
	if p == nil || p.record.Incarnation != incarnation || p.record.Gone == gone {
		return nil
	}
	r := proto.CloneOf(p.record)
	r.Gone = gone
	r.Revision++
	d.put(r)
	return r
}

// Processes returns the records of the processes that are not gone.
func (d *Directory) Processes() []*wire.ProcessRecord {
	return d.listProcesses(false)
}

// ProcessRecords returns the records of all processes, those that are gone too,
// for others to merge.
func (d *Directory) ProcessRecords() []*wire.ProcessRecord {
	return d.listProcesses(true)
}

func (d *Directory) listProcesses(withGone bool) []*wire.ProcessRecord {
	now := steady.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	records := make([]*wire.ProcessRecord, 0, len(d.processes))
	for address, p := range d.processes {
		switch {
		case p.record.Gone && now.Sub(p.goneAt) > goneProcessKept:
			delete(d.processes, address)
		case !p.record.Gone || withGone:
			records = append(records, p.record)
		}
	}
	return records
}
