// Package fanout decides over which links the updates of one process reach all others.
// In a small fleet, each process sends to all others directly. In a larger one, it
// sends to those of its own data centre and to one relay in each other data centre. A
// relay is an entry, a process that accepts requests from callers, which also forwards
// updates to the processes of its data centre.
package fanout

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	// MaxFullMeshProcesses is compared with the number of processes in the largest data
	// centre. Up to it, each process of the fleet sends to all others directly; above
	// it, relays are used between all data centres. The rule depends on the whole fleet, so that any
	// two processes agree on how updates pass between them. A larger number means more
	// links and more messages between data centres, a smaller one a second hop for more
	// updates.
	MaxFullMeshProcesses = 6
	// RelaysPerDataCentre is the number of relays in each data centre to keep links
	// to. One is in use; the others replace it at once when it fails.
	RelaysPerDataCentre = 2
)

// Topology lists the processes to which one process sends its updates.
type Topology struct {
	// Direct are the processes it sends to directly.
	Direct []*wire.ProcessRecord
	// Relays holds, for each other data centre, the entries that can forward updates
	// there, the preferred ones first.
	Relays map[string][]*wire.ProcessRecord
}

// Plan computes the topology of self. Each process ranks the relays of a data centre in
// its own order, so that the forwarding load is spread evenly over them.
func Plan(self *wire.ProcessRecord, processes []*wire.ProcessRecord) *Topology {
	size := make(map[string]int)
	largest := 0
	for _, p := range processes {
		size[p.DataCentre]++
		largest = max(largest, size[p.DataCentre])
	}
	t := &Topology{Relays: make(map[string][]*wire.ProcessRecord)}
	for _, p := range processes {
		switch {
		case p.Address == self.Address:
		case p.DataCentre == self.DataCentre || largest <= MaxFullMeshProcesses:
			t.Direct = append(t.Direct, p)
		case p.Entry:
			t.Relays[p.DataCentre] = append(t.Relays[p.DataCentre], p)
		}
	}
	ranks := make(map[string]uint64)
	for _, candidates := range t.Relays {
		for _, p := range candidates {
			ranks[p.Address] = relayRank(self.Address, p.Address)
		}
		slices.SortFunc(candidates, func(a, b *wire.ProcessRecord) int {
			return cmp.Compare(ranks[a.Address], ranks[b.Address])
		})
	}
	return t
}

// relayRank orders the relays of a process by a hash of both addresses.
func relayRank(self, relay string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(self))
	h.Write([]byte{0})
	h.Write([]byte(relay))
	return mix(h.Sum64())
}

// mix is the 64-bit finalizer of MurmurHash3 (fmix64). It makes each input bit affect all
// output bits, as FNV alone leaves the hashes of similar addresses close together.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
