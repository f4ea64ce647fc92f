package permits

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// candidate is an entry that may be the issuer of an endpoint.
type candidate struct {
	address string
	local   bool // in the data centre of the endpoint
	rank    uint64
}

// issuerOrder returns the addresses of the entries in the order in which they are asked
// for permits for an endpoint: those of its data centre first, since an entry that can't
// reach them can hardly reach the endpoint either, and by rendezvous hashing among them,
// which spreads the endpoints over the entries.
func issuerOrder(key uint64, dataCentre string, processes []*wire.ProcessRecord) []string {
	var candidates []candidate
	for _, p := range processes {
		if p.Entry {
			candidates = append(candidates, candidate{p.Address, p.DataCentre == dataCentre, hashOf(key, p.Address)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.local != b.local {
			if a.local {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address))
	})
	order := make([]string, 0, len(candidates))
	for _, c := range candidates {
		order = append(order, c.address)
	}
	return order
}

func hashOf(key uint64, address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte(address), key)) // a hash write never fails
	return hash.Sum64()
}
