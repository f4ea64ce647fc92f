package permits

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// rank orders the entries that may be the issuer of an endpoint: those of its data centre
// come first, since an entry that can't reach them can hardly reach the endpoint either.
// Among them rendezvous hashing spreads the endpoints over the entries.
type rank struct {
	remote  bool // in another data centre than the endpoint
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

// firstIssuer returns the address of the first entry that may be asked for permits for an
// endpoint, empty if there is none.
func firstIssuer(key uint64, dataCentre string, processes []*wire.ProcessRecord, mayAsk func(address string) bool) string {
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

// placeOf returns the number of entries that come before the one at an address. It is 0
// for an entry that isn't among the processes.
func placeOf(address string, key uint64, dataCentre string, processes []*wire.ProcessRecord) int {
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
