package catalogue

import (
	"slices"
	"strings"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// maxOrders bounds the orders in the state. Beyond it the oldest order for a data centre
// in service is forgotten.
const maxOrders = 256

// order is an operator's latest order for a data centre, which takes it out of service or
// puts it back, also if that changed nothing.
type order struct {
	dataCentre string
	index      uint64 // log index at which it took effect
	operation  uint64 // of its change
}

// compareOrder orders by data centre.
func compareOrder(o order, dataCentre string) int { return strings.Compare(o.dataCentre, dataCentre) }

// latestOrder returns the latest order for a data centre, which has the index 0 if there
// was none.
func (s *State) latestOrder(dataCentre string) order {
	at, found := slices.BinarySearchFunc(s.orders, dataCentre, compareOrder)
	if !found {
		return order{dataCentre: dataCentre}
	}
	return s.orders[at]
}

// ReturnIndex returns the log index at which a data centre that is in service was last put
// back, 0 if it never was or is out of service.
func (s *State) ReturnIndex(dataCentre string) uint64 {
	if !s.InService(dataCentre) {
		return 0
	}
	return s.latestOrder(dataCentre).index
}

// withOrder returns the orders with o in place of the one for the same data centre.
func (s *State) withOrder(o order) []order {
	orders := slices.Clone(s.orders)
	at, found := slices.BinarySearchFunc(orders, o.dataCentre, compareOrder)
	if found {
		orders[at] = o
		return orders
	}
	orders = slices.Insert(orders, at, o)
	if len(orders) > maxOrders {
		orders = s.withoutOldest(orders)
	}
	return orders
}

// withoutOldest removes the oldest order for a data centre in service, if there is one.
func (s *State) withoutOldest(orders []order) []order {
	oldest := -1
	for i, o := range orders {
		if s.InService(o.dataCentre) && (oldest < 0 || o.index < orders[oldest].index) {
			oldest = i
		}
	}
	if oldest < 0 {
		return orders
	}
	return slices.Delete(orders, oldest, oldest+1)
}

func ordersToWire(orders []order) []*wire.DataCentreOrder {
	var messages []*wire.DataCentreOrder
	for _, o := range orders {
		messages = append(messages, &wire.DataCentreOrder{DataCentre: o.dataCentre, Index: o.index, Operation: o.operation})
	}
	return messages
}

func ordersFromWire(messages []*wire.DataCentreOrder) []order {
	var orders []order
	for _, m := range messages {
		orders = append(orders, order{dataCentre: m.DataCentre, index: m.Index, operation: m.Operation})
	}
	return orders
}

// setDataCentre carries out an operator's order. An order that was given on a state
// before the latest order for the same data centre is overtaken and changes nothing: its
// caller may have given it up before the later one was acknowledged. A second copy of the
// latest order changes nothing either.
func (m *Machine) setDataCentre(index uint64, change *wire.DataCentreChange) any {
	now := m.State()
	latest := now.latestOrder(change.DataCentre)
	if change.Operation != 0 && change.Operation == latest.operation {
		return m.outcome(false)
	}
	if change.GivenAt != nil && *change.GivenAt < latest.index {
		return m.overtaken()
	}
	next := *now
	// The index also grows if the order changes nothing, so that orders that were given
	// before it are overtaken.
	next.Index = index
	next.DataCentresOut = slices.DeleteFunc(slices.Clone(now.DataCentresOut), func(name string) bool { return name == change.DataCentre })
	if change.Out {
		next.DataCentresOut = slices.Sorted(slices.Values(append(next.DataCentresOut, change.DataCentre)))
	}
	next.orders = now.withOrder(order{dataCentre: change.DataCentre, index: index, operation: change.Operation})
	m.publish(&next)
	return m.outcome(false)
}
