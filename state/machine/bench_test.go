package machine

import (
	"fmt"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// newLoadedMachine returns a machine with the given numbers of contracts and gate
// leases, and its last log index.
func newLoadedMachine(contracts, endpoints int) (*Machine, uint64) {
	m := New()
	index := uint64(0)
	for i := range contracts {
		index++
		apply(m, index, 1, fmt.Sprint(i), &wire.Change{Of: &wire.Change_PutContract{PutContract: testContract(fmt.Sprint("o", i), 1)}})
	}
	for i := range endpoints {
		index++
		request := &wire.GateLeaseRequest{Endpoint: fmt.Sprint("e", i), GateInstance: "g", GateAddress: "127.0.0.1:1"}
		m.Apply(index, &wire.Command{Of: &wire.Command_GateLease{GateLease: request}})
	}
	return m, index
}

func BenchmarkClaimAndSettle(b *testing.B) {
	m, index := newLoadedMachine(960, 920)
	for n := 0; b.Loop(); n++ {
		key := fmt.Sprint(n)
		m.Apply(index+1, &wire.Command{TimeMs: uint64(n), Of: &wire.Command_Claim{Claim: &wire.ClaimRequest{Organisation: "o", Key: key, Attempt: key, RequestDigest: []byte("d")}}})
		m.Apply(index+2, &wire.Command{TimeMs: uint64(n), Of: &wire.Command_Settle{Settle: &wire.SettleRequest{Organisation: "o", Key: key, Attempt: key, State: wire.ClaimState_CLAIM_STATE_DONE}}})
		index += 2
	}
}

func BenchmarkChange(b *testing.B) {
	m, index := newLoadedMachine(960, 920)
	version := m.Published().View.Contract("o0").Version
	for n := 0; b.Loop(); n++ {
		index++
		change := &wire.Change{ExpectedVersion: version, Of: &wire.Change_PutContract{PutContract: testContract("o0", float64(1+n%5))}}
		version = apply(m, index, 1, fmt.Sprint("b", n), change).Revision
	}
}

func BenchmarkSnapshot(b *testing.B) {
	m, _ := newLoadedMachine(960, 920)
	size := 0
	for b.Loop() {
		snapshot, err := m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(snapshot)
	}
	b.ReportMetric(float64(size), "snapshot-bytes")
}
