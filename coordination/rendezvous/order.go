// Package rendezvous chooses one entry for each key, so that all entries ask the same one.
// Each derives the order from the list of processes alone, by rendezvous hashing.
package rendezvous

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// rank is the place of an entry in the order for a key. The entries of the preferred data
// centre come first; among them rendezvous hashing spreads the keys over the entries.
type rank struct {
	remote  bool // in another data centre than the preferred one
	hash    uint64
	address string
}

func rankOf(p *wire.ProcessRecord, key uint64, dataCentre string) rank {
	hash := fnv.New64a()
	_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte(p.Address), key)) // a hash write never fails
	return rank{remote: p.DataCentre != dataCentre, hash: hash.Sum64(), address: p.Address}
}

func (r rank) isBefore(other rank) bool {
	if r.remote != other.remote {
		return other.remote
	}
	if r.hash != other.hash {
		return r.hash < other.hash
	}
	return r.address < other.address
}

// First returns the address of the first entry for a key that may be asked, empty if there
// is none. Entries of the given data centre come first; an empty one prefers none.
func First(key uint64, dataCentre string, processes []*wire.ProcessRecord, mayAsk func(address string) bool) string {
	var best rank
	for _, p := range processes {
		if !p.Entry || !mayAsk(p.Address) {
			continue
		}
		if r := rankOf(p, key, dataCentre); best.address == "" || r.isBefore(best) {
			best = r
		}
	}
	return best.address
}

// Place returns the number of entries that come before the one at an address. It is 0 for
// an entry that isn't among the processes.
func Place(address string, key uint64, dataCentre string, processes []*wire.ProcessRecord) int {
	var own rank
	for _, p := range processes {
		if p.Address == address {
			own = rankOf(p, key, dataCentre)
		}
	}
	place := 0
	for _, p := range processes {
		if own.address != "" && p.Entry && rankOf(p, key, dataCentre).isBefore(own) {
			place++
		}
	}
	return place
}
