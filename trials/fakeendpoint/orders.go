package fakeendpoint

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

type orderRecord struct {
	Number   uint64 `json:"number"`
	Fence    uint64 `json:"fence"`
	Kind     string `json:"kind"`
	Argument string `json:"argument"`

	Arrived time.Time `json:"arrived"` // set by the fake endpoint
}

type orderResult struct {
	Result string `json:"result"`
}

var errStaleOrder = errors.New("the number of the order is not above the highest seen")

func (e *Endpoint) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order orderRecord
	if err := readJSON(w, r, &order); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	if err := e.acceptOrder(order); err != nil {
		refuse(w, http.StatusConflict, err)
		return
	}
	e.execute(order)
	writeJSON(w, http.StatusOK, orderResult{Result: fmt.Sprintf("%s %s", order.Kind, order.Argument)})
}

func (e *Endpoint) acceptOrder(order orderRecord) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && order.Number <= e.highestOrderNumber {
		return errStaleOrder
	}
	e.highestOrderNumber = max(e.highestOrderNumber, order.Number)
	order.Arrived = time.Now()
	e.orders = append(e.orders, order)
	return nil
}

// execute executes an order. The weight store serves one load at a time.
func (e *Endpoint) execute(order orderRecord) {
	if order.Kind != "change_role" {
		e.weightStore.Lock()
		time.Sleep(e.config.WeightLoadTime)
		e.weightStore.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch order.Kind {
	case "load_model":
		if !slices.Contains(e.models, order.Argument) {
			e.models = append(e.models, order.Argument)
		}
	case "change_role":
		e.role = order.Argument
	}
	notify(e.reannounce)
}
