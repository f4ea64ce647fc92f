// Package fleet holds the fleet configuration as an immutable view, which
// goroutines that serve requests read without locks.
package fleet

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strings"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// KeyHash is the SHA-256 hash of a bearer key.
type KeyHash [sha256.Size]byte

// View is the configuration at one revision. It never changes once built.
type View struct {
	revision    uint64
	contracts   map[string]*wire.Contract
	keys        map[KeyHash]*wire.Contract
	dataCentres map[string]*wire.DataCentre
	endpoints   map[string]*wire.EndpointPolicy
	orders      map[string][]*wire.Order // by endpoint, in ascending order of number
	members     map[string]*wire.Member
}

// NewView returns a view of a whole configuration.
func NewView(config *wire.FleetConfig) *View {
	v := &View{
		contracts:   make(map[string]*wire.Contract),
		dataCentres: make(map[string]*wire.DataCentre),
		endpoints:   make(map[string]*wire.EndpointPolicy),
		orders:      make(map[string][]*wire.Order),
		members:     make(map[string]*wire.Member),
	}
	v.merge(&wire.ConfigDelta{
		Revision:    config.GetRevision(),
		Contracts:   config.GetContracts(),
		DataCentres: config.GetDataCentres(),
		Endpoints:   config.GetEndpoints(),
		Orders:      config.GetOrders(),
		Members:     config.GetMembers(),
	})
	v.indexKeys()
	return v
}

// Apply returns the view with the deltas applied, which are in ascending order of
// revision. Deltas that the view already contains are skipped.
func (v *View) Apply(deltas []*wire.ConfigDelta) *View {
	next := v.clone()
	for _, d := range deltas {
		if d.Revision > next.revision {
			next.merge(d)
		}
	}
	next.indexKeys()
	return next
}

func (v *View) clone() *View {
	return &View{
		revision:    v.revision,
		contracts:   maps.Clone(v.contracts),
		dataCentres: maps.Clone(v.dataCentres),
		endpoints:   maps.Clone(v.endpoints),
		orders:      maps.Clone(v.orders),
		members:     maps.Clone(v.members),
	}
}

func (v *View) merge(d *wire.ConfigDelta) {
	v.revision = max(v.revision, d.Revision)
	for _, c := range d.Contracts {
		if c.Deleted {
			delete(v.contracts, c.Organisation)
			continue
		}
		v.contracts[c.Organisation] = c
	}
	for _, dc := range d.DataCentres {
		v.dataCentres[dc.Name] = dc
	}
	for _, e := range d.Endpoints {
		v.endpoints[e.Endpoint] = e
	}
	for _, o := range d.Orders {
		v.mergeOrder(o)
	}
	for _, m := range d.Members {
		if m.Removed {
			delete(v.members, m.Id)
			continue
		}
		v.members[m.Id] = m
	}
}

// mergeOrder adds, replaces or removes the order with that number. It copies the
// slice, which earlier views share.
func (v *View) mergeOrder(o *wire.Order) {
	orders := slices.Clone(v.orders[o.Endpoint])
	at, found := slices.BinarySearchFunc(orders, o.Number, func(have *wire.Order, number uint64) int {
		return int(int64(have.Number) - int64(number)) // numbers are log indexes, far below the overflow of int64
	})
	switch {
	case found && o.Removed:
		orders = slices.Delete(orders, at, at+1)
	case found:
		orders[at] = o
	case !o.Removed:
		orders = slices.Insert(orders, at, o)
	}
	v.orders[o.Endpoint] = orders
}

// indexKeys rebuilds the map from key hashes to contracts. The state machine accepts no
// contract with a hash of another length or with another organisation's key. Such a hash
// is skipped all the same, because the conversion to KeyHash would panic; of two
// contracts with the same key, either may be found.
func (v *View) indexKeys() {
	v.keys = make(map[KeyHash]*wire.Contract, len(v.contracts))
	for _, c := range v.contracts {
		for _, h := range c.KeyHashes {
			if len(h) == sha256.Size {
				v.keys[KeyHash(h)] = c
			}
		}
	}
}

// Revision returns the log index of the last change in the view.
func (v *View) Revision() uint64 { return v.revision }

// Contract returns the contract of an organisation, or nil.
func (v *View) Contract(organisation string) *wire.Contract { return v.contracts[organisation] }

// ContractByKey returns the contract of a bearer key, or nil. It compares hashes
// only, so that its timing reveals nothing about the keys.
func (v *View) ContractByKey(key string) *wire.Contract {
	return v.keys[sha256.Sum256([]byte(key))]
}

// DataCentreOut reports whether operators have taken the data centre out of service.
func (v *View) DataCentreOut(name string) bool { return v.dataCentres[name].GetOut() }

// EndpointState returns the state that operators set for an endpoint. The default is
// in service.
func (v *View) EndpointState(endpoint string) wire.EndpointState {
	return v.endpoints[endpoint].GetState()
}

// Orders returns the orders of an endpoint in ascending order of number.
func (v *View) Orders(endpoint string) []*wire.Order { return v.orders[endpoint] }

// Members returns the control replicas in order of ID.
func (v *View) Members() []*wire.Member {
	return sorted(v.members, func(m *wire.Member) string { return m.Id })
}

// Config returns the configuration as one message, with its objects in a fixed order.
func (v *View) Config() *wire.FleetConfig {
	config := &wire.FleetConfig{
		Revision:    v.revision,
		Contracts:   sorted(v.contracts, func(c *wire.Contract) string { return c.Organisation }),
		DataCentres: sorted(v.dataCentres, func(d *wire.DataCentre) string { return d.Name }),
		Endpoints:   sorted(v.endpoints, func(e *wire.EndpointPolicy) string { return e.Endpoint }),
		Members:     v.Members(),
	}
	for _, endpoint := range slices.Sorted(maps.Keys(v.orders)) {
		config.Orders = append(config.Orders, v.orders[endpoint]...)
	}
	return config
}

func sorted[T any](objects map[string]T, name func(T) string) []T {
	list := slices.Collect(maps.Values(objects))
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return list
}

// DataCentre returns the state that operators set for a data centre, or nil.
func (v *View) DataCentre(name string) *wire.DataCentre { return v.dataCentres[name] }

// Endpoint returns the policy that operators set for an endpoint, or nil.
func (v *View) Endpoint(name string) *wire.EndpointPolicy { return v.endpoints[name] }

// ContractByHash returns the contract of the bearer key with this hash, or nil.
func (v *View) ContractByHash(hash KeyHash) *wire.Contract { return v.keys[hash] }

// Contracts returns all contracts in order of organisation.
func (v *View) Contracts() []*wire.Contract {
	return sorted(v.contracts, func(c *wire.Contract) string { return c.Organisation })
}
