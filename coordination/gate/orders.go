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
	orderInterval = 250 * time.Millisecond // between looks at pending orders
	orderTimeout  = 2 * time.Minute
	reportTimeout = time.Second
	// weightPause is the least time between two orders that load weights.
	weightPause = time.Second
)

// OrderReporter takes the results of orders.
type OrderReporter interface {
	Done(ctx context.Context, request *wire.OrderDoneRequest) error
}

// orderLoop carries out pending orders one by one, in ascending number.
func (g *Gate) orderLoop(ctx context.Context) {
	every(ctx, orderInterval, func(ctx context.Context) {
		order, fence := g.nextOrder()
		if order == nil {
			return
		}
		if loadsWeights(order.Kind) {
			wait.For(ctx, weightPause-time.Since(g.weightsSent))
		}
		if done := g.carryOut(ctx, order, fence); done != nil {
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

// nextOrder returns the lowest pending order above the highest acted on.
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

// claimOrder marks an order as acted on, if the gate may still act under the lease.
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

// carryOut sends an order once; nil when the gate may not act. Control first
// records that this lease acts on it, so that a later gate does not.
func (g *Gate) carryOut(ctx context.Context, order *wire.Order, fence uint64) *wire.OrderDoneRequest {
	done := &wire.OrderDoneRequest{Endpoint: order.Endpoint, Number: order.Number, LeaseNumber: fence}
	err := g.startOrder(ctx, done)
	begunBefore := fault.KindOf(err) == fault.Conflict
	if err != nil && !begunBefore {
		return nil
	}
	if !g.claimOrder(order.Number, fence) {
		return nil
	}
	if begunBefore && !g.checksFencing() {
		done.Failed, done.Result = true, "outcome unknown: an earlier gate began it; check the endpoint before ordering again"
		return done
	}
	if loadsWeights(order.Kind) {
		g.weightsSent = time.Now()
	}
	done.Result, err = g.sendOrder(ctx, order, fence)
	switch {
	case errors.Is(err, ErrFenced):
		done.Result = "the endpoint has this number already"
	case err != nil:
		done.Result, done.Failed = err.Error(), true
	}
	return done
}

// startOrder asks control for leave to act; a Conflict when the order was begun
// under another lease.
func (g *Gate) startOrder(ctx context.Context, done *wire.OrderDoneRequest) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request := &wire.OrderDoneRequest{Endpoint: done.Endpoint, Number: done.Number, LeaseNumber: done.LeaseNumber, Started: true}
	return g.options.Orders.Done(ctx, request)
}

// sendOrder sends an order again after a lost answer only to an endpoint that
// checks numbers.
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

// reportOrder tells control until it takes the result, under the lease number
// of the moment, which may have changed since.
func (g *Gate) reportOrder(ctx context.Context, done *wire.OrderDoneRequest) {
	logOrder(done)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		done.LeaseNumber = g.leaseNumber()
		err := g.options.Orders.Done(call, done)
		cancel()
		if err == nil || fault.KindOf(err) == fault.NotFound {
			return
		}
		wait.For(ctx, acquirePause)
	}
}

func (g *Gate) leaseNumber() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.number
}
