package machine

import (
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/contract"
	"github.com/apricotspoke/apricotspoke/state/fleet"
	"google.golang.org/protobuf/proto"
)

const (
	maxOrderArgumentBytes = 1024
	maxOrderResultBytes   = 4096
	maxUnfinishedOrders   = 64 // per endpoint, started or not
	maxFinishedOrders     = 32 // per endpoint
)

// planOrder returns the delta of a new order. Its number is the log index, which is
// also its fencing number.
func planOrder(view *fleet.View, index uint64, order *wire.Order) (*wire.ConfigDelta, error) {
	if err := contract.CheckName("endpoint", order.GetEndpoint()); err != nil {
		return nil, err
	}
	_, known := wire.OrderKind_name[int32(order.Kind)]
	if !known || order.Kind == wire.OrderKind_ORDER_KIND_UNSPECIFIED {
		return nil, fault.New(fault.InvalidRequest, "order kind %d is unknown", order.Kind)
	}
	if order.Argument == "" || len(order.Argument) > maxOrderArgumentBytes {
		return nil, fault.New(fault.InvalidRequest, "the order needs an argument of 1 to %d bytes", maxOrderArgumentBytes)
	}
	orders := view.Orders(order.Endpoint)
	pruned := prunedOrders(orders)
	if unfinished := countUnfinished(orders); unfinished >= maxUnfinishedOrders {
		return nil, fault.New(fault.Overloaded, "%d orders wait for endpoint %q already", unfinished, order.Endpoint)
	}
	next := &wire.Order{Number: index, Endpoint: order.Endpoint, Kind: order.Kind, Argument: order.Argument}
	return &wire.ConfigDelta{Orders: append(pruned, next)}, nil
}

// countUnfinished counts the orders without a result, also those that have been started.
func countUnfinished(orders []*wire.Order) int {
	unfinished := 0
	for _, order := range orders {
		if !order.Done {
			unfinished++
		}
	}
	return unfinished
}

// prunedOrders returns the removals of the oldest finished orders that are no longer
// kept.
func prunedOrders(orders []*wire.Order) []*wire.Order {
	extra := len(orders) - countUnfinished(orders) - maxFinishedOrders
	var removals []*wire.Order
	for _, order := range orders {
		if extra <= 0 {
			break
		}
		if order.Done {
			removals = append(removals, &wire.Order{Number: order.Number, Endpoint: order.Endpoint, Removed: true})
			extra--
		}
	}
	return removals
}

// reportOrder records the start or the first result of an order. Only the gate that
// holds the endpoint's lease may report either.
func (m *Machine) reportOrder(index uint64, request *wire.OrderDoneRequest) *wire.OrderDoneResponse {
	delta, err := m.planOrderReport(request)
	if err != nil {
		return &wire.OrderDoneResponse{Failure: fault.ToWire(err)}
	}
	if delta != nil {
		m.commit(index, delta)
	}
	return &wire.OrderDoneResponse{}
}

func (m *Machine) planOrderReport(request *wire.OrderDoneRequest) (*wire.ConfigDelta, error) {
	published := m.Published()
	order := findOrder(published.View.Orders(request.Endpoint), request.Number)
	if order == nil {
		return nil, fault.New(fault.NotFound, "endpoint %q has no order %d", request.Endpoint, request.Number)
	}
	if order.Done && request.Started {
		return nil, fault.New(fault.Conflict, "order %d is already done", order.Number)
	}
	if order.Done {
		return nil, nil
	}
	if lease := published.Leases[request.Endpoint]; lease.GetNumber() != request.LeaseNumber {
		return nil, fault.New(fault.Conflict, "endpoint %q is held under lease %d, not %d", request.Endpoint, lease.GetNumber(), request.LeaseNumber)
	}
	if request.Started {
		return planOrderStart(order, request.LeaseNumber)
	}
	next := proto.CloneOf(order)
	next.Done = true
	next.Failed = request.Failed
	next.Result = request.Result[:min(len(request.Result), maxOrderResultBytes)]
	return &wire.ConfigDelta{Orders: []*wire.Order{next}}, nil
}

// planOrderStart records the lease under which an order is started. A gate with a
// later lease must not start it again, because the order may have taken effect.
func planOrderStart(order *wire.Order, lease uint64) (*wire.ConfigDelta, error) {
	switch order.StartedLease {
	case lease:
		return nil, nil
	case 0:
		next := proto.CloneOf(order)
		next.StartedLease = lease
		return &wire.ConfigDelta{Orders: []*wire.Order{next}}, nil
	}
	return nil, fault.New(fault.Conflict, "order %d was started under lease %d", order.Number, order.StartedLease)
}

func findOrder(orders []*wire.Order, number uint64) *wire.Order {
	for _, order := range orders {
		if order.Number == number {
			return order
		}
	}
	return nil
}
