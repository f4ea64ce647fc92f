package directory

import (
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// MergeProcesses takes records of processes and returns those that are new or
// were started anew.
func (d *Directory) MergeProcesses(records []*wire.ProcessRecord) []*wire.ProcessRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var news []*wire.ProcessRecord
	for _, r := range records {
		if r.Address == "" {
			continue
		}
		if old := d.processes[r.Address]; old != nil && old.Incarnation >= r.Incarnation {
			continue
		}
		d.processes[r.Address] = r
		news = append(news, r)
		d.logger.Info().Str("process", r.Name).Str("address", r.Address).Str("data_centre", r.DataCentre).
			Uint64("incarnation", r.Incarnation).Bool("votes", r.Votes).Msg("A process is known anew.")
	}
	return news
}

// Forget drops a process that was silent for long.
func (d *Directory) Forget(address string, incarnation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.processes[address]; r != nil && r.Incarnation == incarnation {
		delete(d.processes, address)
		d.logger.Info().Str("process", r.Name).Str("address", address).Msg("A process that was silent is forgotten.")
	}
}

// Processes returns the records of all processes.
func (d *Directory) Processes() []*wire.ProcessRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	records := make([]*wire.ProcessRecord, 0, len(d.processes))
	for _, r := range d.processes {
		records = append(records, r)
	}
	return records
}
