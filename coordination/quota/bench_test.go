package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Measures one lease request, by the number of entries that share the contract.
func BenchmarkLease(b *testing.B) {
	for _, entries := range []int{2, 8, 32} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			contract := &wire.Contract{Organisation: "o", RequestsPerSecond: 100, RequestBurst: 100, TokensPerSecond: 1e6, TokenBurst: 1e6, Concurrency: 64}
			ledger := NewLedger(epoch.Add(-time.Hour))
			demand := &wire.QuotaDemand{Organisation: "o", Requests: 20, Tokens: 1e5, ConcurrencyWanted: 8}
			names := make([]string, entries)
			for i := range names {
				names[i] = fmt.Sprint("entry", i)
			}
			now := epoch
			for n := 0; b.Loop(); n++ {
				now = now.Add(200 * time.Millisecond / time.Duration(entries))
				ledger.Lease(now, names[n%entries], demand, contract)
			}
		})
	}
}
