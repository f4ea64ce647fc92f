package wal_test

import (
	"crypto/rand"
	"fmt"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/wal"
)

// BenchmarkSave measures synced saves of 100-byte entries, one by one and in
// batches, and the bytes per entry in the log.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []int{1, 64} {
		b.Run(fmt.Sprintf("batch-%d", batch), func(b *testing.B) {
			l, _, err := wal.Open(b.TempDir(), wal.Disk{}, rand.Reader)
			if err != nil {
				b.Fatal(err)
			}
			before, index := l.Size(), uint64(0)
			data := make([]byte, 100)
			for b.Loop() {
				entries := make([]*wire.LogEntry, batch)
				for i := range entries {
					index++
					entries[i] = &wire.LogEntry{Index: index, Term: 1, Kind: wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND, Data: data}
				}
				if err := l.Save(nil, entries); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(l.Size()-before)/float64(index), "bytes/entry")
			b.ReportMetric(float64(index)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}
