package gate

import (
	"context"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	orderPollInterval  = 250 * time.Millisecond // between checks for pending orders
	orderTimeout       = 2 * time.Minute        // of sending one order, with its retry
	orderReportTimeout = time.Second            // of one call to the control group
	// minWeightLoadInterval is the least time between two orders that load
	// weights.
	minWeightLoadInterval = time.Second
)

// OrderReporter receives the start and the result of orders.
type OrderReporter interface {
	Done(ctx context.Context, request *wire.OrderDoneRequest) error
}

// orderLoop executes pending orders one at a time, in ascending number.
func (g *Gate) orderLoop(ctx context.Context) {
	runEvery(ctx, orderPollInterval, func(ctx context.Context) {
		order, fence := g.nextOrder()
		if order == nil {
			return
		}
		if loadsWeights(order.Kind) {
			wait.For(ctx, minWeightLoadInterval-time.Since(g.weightOrderSentAt))
		}
		if done := g.executeOrder(ctx, order, fence); done != nil {
			g.reportOrder(ctx, done)
		}
	})
}

func loadsWeights(kind wire.OrderKind) bool {
	switch kind {
	case wire.OrderKind_ORDER_KIND_LOAD_MODEL, wire.OrderKind_ORDER_KIND_LOAD_ADAPTER, wire.OrderKind_ORDER_KIND_LOAD_VERSION:
		return true
	}
	return false
}

// nextOrder returns the lowest pending order above the last claimed one, and
// the lease number under which to execute it.
func (g *Gate) nextOrder() (*wire.Order, uint64) {
	view, err := g.options.Configuration.Current()
	if err != nil {
		return nil, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.announcedAt.IsZero() || !g.lease.held(time.Now()) {
		return nil, 0
	}
	for _, o := range view.Orders(g.info.Endpoint) {
		if !o.Done && o.Number > g.lastOrder {
			return o, g.lease.number
		}
	}
	return nil, 0
}

// claimOrder marks an order as claimed. It returns false when the gate may no
// longer execute it under the lease.
func (g *Gate) claimOrder(number, fence uint64) bool {
	if _, err := g.options.Configuration.Current(); err != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if number <= g.lastOrder || g.lease.number != fence || !g.lease.held(time.Now()) {
		return false
	}
	g.lastOrder = number
	return true
}

// executeOrder executes an order and returns its result, or nil when the gate
// may not execute it. The control group first records that this lease executes
// the order, so that a later gate does not execute it again.
func (g *Gate) executeOrder(ctx context.Context, order *wire.Order, fence uint64) *wire.OrderDoneRequest {
	done := &wire.OrderDoneRequest{Endpoint: order.Endpoint, Number: order.Number, LeaseNumber: fence}
	err := g.recordOrderStart(ctx, done)
	startedBefore := fault.KindOf(err) == fault.Conflict
	if err != nil && !startedBefore {
		return nil
	}
	if !g.claimOrder(order.Number, fence) {
		return nil
	}
	if startedBefore && !g.checksFencing() {
		done.Failed, done.Result = true, "outcome unknown: an earlier gate started it; check the endpoint before you issue the order again"
		return done
	}
	if loadsWeights(order.Kind) {
		g.weightOrderSentAt = time.Now()
	}
	done.Result, err = g.sendOrder(ctx, order, fence)
	switch {
	case errors.Is(err, ErrFenced):
		done.Result = "the endpoint has already received this order number"
	case err != nil:
		done.Result, done.Failed = err.Error(), true
	}
	return done
}

// recordOrderStart records the start of an order with the control group. The
// error is Conflict when the order was started under another lease.
func (g *Gate) recordOrderStart(ctx context.Context, done *wire.OrderDoneRequest) error {
	ctx, cancel := context.WithTimeout(ctx, orderReportTimeout)
	defer cancel()
	request := &wire.OrderDoneRequest{Endpoint: done.Endpoint, Number: done.Number, LeaseNumber: done.LeaseNumber, Started: true}
	return g.options.Orders.Done(ctx, request)
}

// sendOrder sends an order. After an error it retries once, but only if the
// endpoint checks order numbers and so cannot execute the order twice.
func (g *Gate) sendOrder(ctx context.Context, order *wire.Order, fence uint64) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	call := OrderCall{Number: order.Number, Fence: fence, Kind: order.Kind, Argument: order.Argument}
	result, err := g.options.Endpoint.Order(ctx, call)
	if err != nil && g.checksFencing() && !errors.Is(err, ErrFenced) {
		return g.options.Endpoint.Order(ctx, call)
	}
	return result, err
}

func (g *Gate) checksFencing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.info.ChecksFencing
}

// reportOrder reports the result until the control group accepts it. Each retry
// carries the current lease number, which may have changed.
func (g *Gate) reportOrder(ctx context.Context, done *wire.OrderDoneRequest) {
	logOrder(done)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, orderReportTimeout)
		done.LeaseNumber = g.leaseNumber()
		err := g.options.Orders.Done(call, done)
		cancel()
		if err == nil || fault.KindOf(err) == fault.NotFound {
			return
		}
		wait.For(ctx, acquireRetryInterval)
	}
}

func (g *Gate) leaseNumber() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.number
}
