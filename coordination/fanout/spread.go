// Package spread decides over which processes the news of one process reaches
// the others. In a small fleet a process tells all others itself. In a larger one
// it tells those of its own data centre, and links to a few entries of each other
// one, its relays, which pass the news on there.
package fanout

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	// MaxDirectProcesses is how many processes the largest data centre may have for each
	// process to tell all others. The rule is one for the whole fleet, so that any
	// two processes agree on how they hear of each other.
	MaxDirectProcesses = 6
	// RelaysPerDataCentre is how many relays of a data centre are linked to: one is in
	// use, the others take its place at once.
	RelaysPerDataCentre = 2
)

// Topology is whom one process tells its news.
type Topology struct {
	// Direct are the processes that are told directly.
	Direct []*wire.ProcessRecord
	// Relays holds, for each other data centre, the processes that may pass news on
	// there, the preferred ones first.
	Relays map[string][]*wire.ProcessRecord
}

// Plan divides the known processes. Each process prefers other relays, so that
// passing on is shared out evenly.
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
		case p.DataCentre == self.DataCentre || largest <= MaxDirectProcesses:
			t.Direct = append(t.Direct, p)
		case p.Entry:
			t.Relays[p.DataCentre] = append(t.Relays[p.DataCentre], p)
		}
	}
	ranks := make(map[string]uint64)
	for _, candidates := range t.Relays {
		for _, p := range candidates {
			ranks[p.Address] = preference(self.Address, p.Address)
		}
		slices.SortFunc(candidates, func(a, b *wire.ProcessRecord) int {
			return cmp.Compare(ranks[a.Address], ranks[b.Address])
		})
	}
	return t
}

// preference orders the relays of one process by a hash of the pair.
func preference(self, relay string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(self))
	h.Write([]byte{0})
	h.Write([]byte(relay))
	return mix(h.Sum64())
}

// mix spreads the difference of similar addresses over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
